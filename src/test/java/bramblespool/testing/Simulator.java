package bramblespool.testing;

import bramblespool.state.DurableStore;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A clock with its queue of events, and machines with disks on one network, that exist only in this object. Everything
 * follows from the seed; one thread runs it all.
 *
 * <p>The public fields are the faults of the network, which a test sets at any time, and what it watches.
 */
public final class Simulator {
    /** A time that no timer takes for unset. */
    private static final long START_MS = 1_000_000;

    /** Sees what happens without taking part in it. */
    public interface Observer {
        /** A request is sent. */
        void onSent(SimulatedMachine from, String kind, ObjectNode body);

        /** A request has been answered, whether or not the answer arrives. */
        void onAnswered(SimulatedMachine by, String kind, JsonNode request, JsonNode answer);

        /** A change has reached a disk. */
        void onWritten(
                SimulatedMachine at,
                DurableStore.Change change,
                DurableStore.PersistentState before,
                DurableStore.PersistentState after);
    }

    /** Keeps requests in the network, which may be delivered at any later time or never. */
    public interface MessageInterceptor {
        /** Whether the request is kept; {@code deliver} delivers it. */
        boolean intercept(String from, String to, String kind, ObjectNode body, Runnable deliver);
    }

    private record Event(long atMs, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(sequence, other.sequence);
        }
    }

    /** The one source of chance. */
    public final Random random;
    /** The share of messages, and of answers, that are lost. */
    public double lossProbability;
    /** The share of messages, and of answers, that arrive twice. */
    public double duplicationProbability;
    /** How much later than others some messages arrive at most. */
    public long maxExtraDelayMs;
    /** The share of what meets a partition that is sent again, as TCP does, until it gets through. */
    public double resendProbability;
    /** Whether the length of messages matters: to a link's rate, to a processor's work or to whoever counts bytes. */
    public boolean accountsForSize = true;
    /** Null for none. */
    public Observer observer;
    /** By default it keeps nothing. */
    public MessageInterceptor interceptor = (from, to, kind, body, deliver) -> false;
    /** Runs after each event. */
    public Runnable afterEach = () -> {};
    /** Requests sent so far, and their bytes. */
    public long messageCount;

    public long byteCount;
    /** Messages and their bytes, answers included, by kind; filled where it is not null. */
    public Map<String, long[]> trafficByKind;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, SimulatedMachine> machines = new HashMap<>();
    private final SimulatedNetwork network;
    private long nowMs = START_MS;
    private long nextSequence;
    private long logicalTime;

    /** @param seed from which everything follows */
    public Simulator(long seed) {
        random = new Random(seed);
        network = new SimulatedNetwork(this);
    }

    // ---- time

    /** The time of all machines, in milliseconds. */
    public long nowMs() {
        return nowMs;
    }

    /** Counts what has happened: of two moments the earlier has the lower number. */
    public long logicalTime() {
        return ++logicalTime;
    }

    /** Runs the task later, after those scheduled before for the same moment. */
    public void scheduleEvent(long delayMs, Runnable task) {
        events.add(new Event(nowMs + delayMs, nextSequence++, task));
    }

    /** Runs all that happens within this time. */
    public void run(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!events.isEmpty() && events.peek().atMs <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.task.run();
            afterEach.run();
        }
        nowMs = endMs;
    }

    // ---- machines and network

    /** All machines so far. */
    public Collection<SimulatedMachine> machines() {
        return machines.values();
    }

    /** The machine of that peer address; a new one without a process if there was none. */
    public SimulatedMachine machine(String peer) {
        return machines.computeIfAbsent(peer, address -> new SimulatedMachine(this, address));
    }

    /** The machine of that peer address, or null. */
    SimulatedMachine findMachine(String peer) {
        return machines.get(peer);
    }

    SimulatedNetwork network() {
        return network;
    }

    /** Cuts what goes from one machine to another, in that direction. */
    public void setLinkCut(String from, String to, boolean isCut) {
        machine(from).setCutFrom(to, isCut);
    }

    /** Cuts a machine from all others, in both directions. */
    public void setIsolated(String peer, boolean isIsolated) {
        for (String other : List.copyOf(machines.keySet())) {
            setLinkCut(peer, other, isIsolated);
            setLinkCut(other, peer, isIsolated);
        }
    }

    void countCall(String kind, int sizeBytes) {
        messageCount++;
        byteCount += sizeBytes;
        countTraffic(kind, 1, sizeBytes);
    }

    void countAnswer(String kind, int sizeBytes) {
        countTraffic(kind, 0, sizeBytes);
    }

    private void countTraffic(String kind, int calls, int sizeBytes) {
        if (trafficByKind != null) {
            long[] traffic = trafficByKind.computeIfAbsent(kind, first -> new long[2]);
            traffic[0] += calls;
            traffic[1] += sizeBytes;
        }
    }
}
