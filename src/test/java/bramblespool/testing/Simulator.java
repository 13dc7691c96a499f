package bramblespool.testing;

import bramblespool.state.DurableStore;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/** A network, a clock and disks that exist only in this object; everything follows from the seed. */
public final class Simulator {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The first pause before a message that met a cut is sent again, and the longest. */
    private static final long FIRST_RESEND_DELAY_MS = 200;

    private static final long MAX_RESEND_DELAY_MS = 7000;

    private record Event(long atMs, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return atMs != o.atMs ? Long.compare(atMs, o.atMs) : Long.compare(sequence, o.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    public final Random random;
    private long nowMs = 1_000_000;
    private long nextSequence;
    private final Map<String, Machine> machines = new HashMap<>();
    private long logicalTime;
    /**
     * The share of messages, and of answers, that are lost, or that arrive twice; how much later than others one may
     * be.
     */
    public double lossProbability;

    public double duplicationProbability;
    public long maxExtraDelayMs;
    /** Whether the length of messages matters: to a link's rate, to a processor's work or to whoever counts bytes. */
    public boolean accountsForSize = true;

    private boolean hasDuplicates;
    /** The share of what meets a cut that is sent again, as TCP does, until it gets through. */
    public double resendProbability;
    /** Sees each message as it is sent, and each write as it has reached a disk. */
    public Observer observer;

    /** Who watches the world without taking part in it. */
    public interface Observer {
        void onSent(Machine from, String kind, ObjectNode body);

        void onAnswered(Machine by, String kind, JsonNode request, JsonNode answer);

        void onWritten(
                Machine at,
                DurableStore.Change change,
                DurableStore.PersistentState before,
                DurableStore.PersistentState after);
    }

    public Runnable afterEach = () -> {};
    public long messageCount;
    public long byteCount;
    /** Keeps a message in the net, which may be delivered at any later time or never. */
    public interface MessageInterceptor {
        boolean intercept(String from, String to, String kind, ObjectNode body, Runnable deliver);
    }

    /** Who keeps messages back. */
    public MessageInterceptor interceptor = (from, to, kind, body, deliver) -> false;
    /** Messages and their bytes, answers included, by kind; filled where it is not null. */
    public Map<String, long[]> trafficByKind;

    public Simulator(long seed) {
        random = new Random(seed);
    }

    public long nowMs() {
        return nowMs;
    }

    /** Counts what has happened: of two moments the earlier has the lower number. */
    public long logicalTime() {
        return ++logicalTime;
    }

    public void scheduleEvent(long delayMs, Runnable task) {
        events.add(new Event(nowMs + delayMs, nextSequence++, task));
    }

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

    private void countTraffic(String kind, int calls, int length) {
        if (trafficByKind != null) {
            long[] traffic = trafficByKind.computeIfAbsent(kind, x -> new long[2]);
            traffic[0] += calls;
            traffic[1] += length;
        }
    }

    public java.util.Collection<Machine> machines() {
        return machines.values();
    }

    public Machine machine(String peer) {
        return machines.computeIfAbsent(peer, Machine::new);
    }

    /** Cuts what goes from one machine to another, in that direction. */
    public void setLinkCut(String from, String to, boolean isCut) {
        if (isCut) {
            machine(from).blockedDestinations.add(to);
        } else {
            machine(from).blockedDestinations.remove(to);
        }
    }

    public void setIsolated(String peer, boolean isIsolated) {
        for (String other : List.copyOf(machines.keySet())) {
            setLinkCut(peer, other, isIsolated);
            setLinkCut(other, peer, isIsolated);
        }
    }

    /** A machine with one process at a time; each start is a new incarnation. */
    public final class Machine implements PeerTransport, Clock {
        public final String peer;
        /** Bytes that its link carries in a millisecond, each way; 0: any number. */
        public double linkBytesPerMs;
        /** Milliseconds of its processor for one message, and for each of its kilobytes. */
        public double cpuMsPerMessage;

        public double cpuMsPerKilobyte;
        /** Messages it has taken or answered, and the processor time that took. */
        public long handledMessages;

        public long sentBytes;
        public double cpuMsUsed;
        private double uplinkFreeAtMs;
        private double downlinkFreeAtMs;
        private double busyUntilMs;
        private long frozenUntilMs;
        private boolean runsTimersFirst;
        private final Set<String> blockedDestinations = new HashSet<>();
        /** Without power: nobody says that nobody is here. */
        public boolean isPoweredOff;

        private int incarnation;
        private boolean isUp;
        private RequestHandler service;
        public final Disk disk = new Disk(this);

        private Machine(String peer) {
            this.peer = peer;
        }

        public boolean isUp() {
            return isUp;
        }

        public void boot() {
            incarnation++;
            uplinkFreeAtMs = 0;
            downlinkFreeAtMs = 0;
            busyUntilMs = 0;
            frozenUntilMs = 0;
            isPoweredOff = false;
            isUp = true;
        }

        public void serve(RequestHandler newService) {
            service = newService;
        }

        /** Ends the process; {@code power}: what was not yet synced is lost with it. */
        public void kill(boolean losesPower) {
            isUp = false;
            incarnation++;
            service = null;
            disk.crash(losesPower);
        }

        /** Its processes stand still for so long; what comes meanwhile waits. */
        public void freeze(long durationMs) {
            freeze(durationMs, false);
        }

        /** {@code timersFirst}: whether what came due goes before what came in once it thaws. */
        public void freeze(long durationMs, boolean timersFirst) {
            busyUntilMs = Math.max(busyUntilMs, nowMs + durationMs + (timersFirst ? 1 : 0));
            frozenUntilMs = Math.max(frozenUntilMs, nowMs + durationMs + (timersFirst ? 0 : 1));
            this.runsTimersFirst = timersFirst;
        }

        public boolean isFrozen() {
            return nowMs < frozenUntilMs;
        }

        /** Runs the task, or once the process has thawed. */
        private void runWhenThawed(Runnable task) {
            if (isFrozen()) {
                scheduleForIncarnation(frozenUntilMs - nowMs, () -> runWhenThawed(task));
            } else {
                task.run();
            }
        }

        void scheduleForIncarnation(long delayMs, Runnable task) {
            int scheduledIncarnation = incarnation;
            scheduleEvent(delayMs, () -> {
                if (isUp && incarnation == scheduledIncarnation) {
                    task.run();
                }
            });
        }

        @Override
        public long nowMs() {
            return nowMs;
        }

        /** How wrong its time of day is. */
        public long clockSkewMs;

        Simulator simulator() {
            return Simulator.this;
        }

        @Override
        public long wallTimeMs() {
            return 1_000_000_000L + nowMs + clockSkewMs;
        }

        @Override
        public Timer schedule(long ms, Runnable task) {
            boolean[] off = new boolean[1];
            scheduleTimer(ms, task, off);
            return () -> off[0] = true;
        }

        /** A timer that comes due while the processor is busy goes off when it is free. */
        private void scheduleTimer(long delayMs, Runnable task, boolean[] isCancelled) {
            scheduleForIncarnation(delayMs, () -> {
                if (isCancelled[0]) {
                    return;
                }
                long waitMs = runsTimersFirst && busyUntilMs <= frozenUntilMs + 1
                        ? frozenUntilMs - nowMs
                        : Math.max((long) (busyUntilMs - nowMs), frozenUntilMs - nowMs);
                if (waitMs > 0) {
                    scheduleTimer(waitMs, task, isCancelled);
                } else {
                    task.run();
                }
            });
        }

        @Override
        public double random() {
            return random.nextDouble();
        }

        @Override
        public void call(String destination, String kind, ObjectNode body, long timeoutMs, Consumer<JsonNode> answer) {
            messageCount++;
            boolean[] isDone = new boolean[1];
            Consumer<JsonNode> answerOnce = received -> {
                if (!isDone[0]) {
                    isDone[0] = true;
                    answer.accept(received);
                }
            };
            scheduleForIncarnation(timeoutMs, () -> runWhenThawed(() -> answerOnce.accept(null)));
            MessageInTransit request = new MessageInTransit(body);
            int sizeBytes = request.length;
            byteCount += sizeBytes;
            sentBytes += sizeBytes;
            countTraffic(kind, 1, sizeBytes);
            if (observer != null) {
                observer.onSent(this, kind, body);
            }
            int callerIncarnation = incarnation;
            Runnable deliver = () -> deliver(destination, kind, request, callerIncarnation, answerOnce);
            if (!interceptor.intercept(
                    peer, destination, kind, body, () -> passLink(this, destination, FIRST_RESEND_DELAY_MS, deliver))) {
                transmit(this, destination, sizeBytes, deliver);
            }
        }

        private void deliver(
                String destination,
                String kind,
                MessageInTransit message,
                int callerIncarnation,
                Consumer<JsonNode> answerOnce) {
            Machine receiver = machines.get(destination);
            if (receiver == null || receiver.isPoweredOff) {
                return;
            }
            if (!receiver.isUp || receiver.service == null) {
                scheduleEvent(1, () -> deliverAnswer(callerIncarnation, answerOnce, null));
                return;
            }
            int calleeIncarnation = receiver.incarnation;
            receiver.process(message.length, () -> {
                if (receiver.incarnation != calleeIncarnation) {
                    return;
                }
                JsonNode request = message.read();
                receiver.service.handleRequest(kind, request, response -> {
                    if (observer != null && response != null) {
                        observer.onAnswered(receiver, kind, request, response);
                    }
                    MessageInTransit responseInTransit = new MessageInTransit(response);
                    receiver.sentBytes += responseInTransit.length;
                    countTraffic(kind, 0, responseInTransit.length);
                    transmit(
                            receiver,
                            peer,
                            responseInTransit.length,
                            () -> process(
                                    responseInTransit.length,
                                    () -> deliverAnswer(callerIncarnation, answerOnce, responseInTransit)));
                });
            });
        }

        /** Brings a message to the other end, if it gets there, and as often as it does. */
        private void transmit(Machine from, String to, int sizeBytes, Runnable onArrival) {
            int copies = duplicationProbability > 0 && random.nextDouble() < duplicationProbability ? 2 : 1;
            hasDuplicates |= copies > 1;
            for (int i = 0; i < copies; i++) {
                if (lossProbability > 0 && random.nextDouble() < lossProbability) {
                    continue;
                }
                long extraDelayMs =
                        maxExtraDelayMs > 0 && random.nextInt(4) == 0 ? random.nextLong(maxExtraDelayMs) : 0;
                scheduleEvent(
                        from.transmitDelayMs(sizeBytes) + extraDelayMs,
                        () -> passLink(from, to, FIRST_RESEND_DELAY_MS, onArrival));
            }
        }

        private void passLink(Machine from, String to, long retryDelayMs, Runnable onArrival) {
            if (!from.blockedDestinations.contains(to)) {
                onArrival.run();
            } else if (resendProbability > 0
                    && retryDelayMs < MAX_RESEND_DELAY_MS
                    && random.nextDouble() < resendProbability) {
                scheduleEvent(retryDelayMs, () -> passLink(from, to, retryDelayMs * 2, onArrival));
            }
        }

        /**
         * After how long the last byte of a message sent now has arrived at the other end of its own link and the
         * net.
         */
        private long transmitDelayMs(int sizeBytes) {
            uplinkFreeAtMs = Math.max(nowMs, uplinkFreeAtMs) + (linkBytesPerMs > 0 ? sizeBytes / linkBytesPerMs : 0);
            return (long) (uplinkFreeAtMs - nowMs) + 1 + random.nextInt(3);
        }

        /** Runs the task when its bytes are through this machine's link and its processor has come to it. */
        private void process(int sizeBytes, Runnable task) {
            downlinkFreeAtMs =
                    Math.max(nowMs, downlinkFreeAtMs) + (linkBytesPerMs > 0 ? sizeBytes / linkBytesPerMs : 0);
            double costMs = cpuMsPerMessage + cpuMsPerKilobyte * sizeBytes / 1024;
            busyUntilMs = Math.max(downlinkFreeAtMs, busyUntilMs) + costMs;
            handledMessages++;
            cpuMsUsed += costMs;
            long waitMs = (long) (busyUntilMs - nowMs);
            if (waitMs > 0) {
                scheduleEvent(waitMs, task);
            } else {
                task.run();
            }
        }

        private void deliverAnswer(int callerIncarnation, Consumer<JsonNode> answerOnce, MessageInTransit message) {
            if (isUp && incarnation == callerIncarnation) {
                answerOnce.accept(message == null ? null : message.read());
            }
        }
    }

    /** A message under way: as text, or as a copy where nobody asks how long it is. */
    private final class MessageInTransit {
        private final String text;
        private final ObjectNode copy;
        final int length;

        MessageInTransit(ObjectNode body) {
            text = body == null || !accountsForSize ? null : body.toString();
            copy = body == null || accountsForSize ? null : body.deepCopy();
            length = text == null ? 0 : text.length();
        }

        JsonNode read() {
            if (text == null) {
                return copy == null || !hasDuplicates ? copy : copy.deepCopy();
            }
            try {
                return JSON.readTree(text);
            } catch (JsonProcessingException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** A disk that syncs a little later, and may be full, slow or lost. */
    public final class Disk implements DurableStore {
        private final Machine machine;
        private PersistentState held;
        private final java.util.Map<String, StoredRegister> registers = new java.util.LinkedHashMap<>();
        private final ArrayDeque<Object[]> pendingWrites = new ArrayDeque<>();
        /** Milliseconds that a sync takes beyond the usual. */
        public long extraSyncMs;

        private long pendingSinceMs = -1;
        public boolean isFull;
        /** Until when it does nothing at all. */
        public long hangsUntilMs;
        /** Whether a loss of power may take all of a disk on which nothing was ever said to be durable. */
        public boolean mayLoseUnacknowledged;

        private boolean hasAcknowledged;

        private Disk(Machine machine) {
            this.machine = machine;
        }

        public void wipe() {
            held = null;
            hasAcknowledged = false;
            registers.clear();
        }

        private void crash(boolean losesPower) {
            // Writes handed over and not yet said to be durable may be there, in order, as far as the disk had come.
            while (!pendingWrites.isEmpty()) {
                Object write = pendingWrites.poll()[0];
                if (random.nextBoolean() && !isFull) {
                    write(write);
                } else {
                    pendingWrites.clear();
                }
            }
            pendingSinceMs = -1;
            if (losesPower && mayLoseUnacknowledged && !hasAcknowledged) {
                wipe();
            }
        }

        @Override
        public boolean isEmpty() {
            return held == null;
        }

        @Override
        public PersistentState load() {
            if (held == null) {
                throw new IllegalStateException("the disk is empty");
            }
            return held;
        }

        @Override
        public void initialize(String incarnation, List<LogEntry> first) {
            held = new PersistentState(incarnation, 0, null, 0, null, new ArrayList<>(first));
        }

        @Override
        public void save(Change change, Runnable onDurable) {
            enqueue(change, onDurable);
        }

        @Override
        public void saveRegisters(List<StoredRegister> more, Runnable durable) {
            enqueue(List.copyOf(more), durable);
        }

        @Override
        public List<StoredRegister> loadRegisters() {
            return new ArrayList<>(registers.values());
        }

        @Override
        public void expireRegisters(int parts) {}

        private void enqueue(Object write, Runnable onDurable) {
            pendingWrites.add(new Object[] {write, onDurable});
            if (pendingWrites.size() == 1) {
                pendingSinceMs = nowMs;
                machine.scheduleForIncarnation(1 + random.nextInt(4) + extraSyncMs, this::sync);
            }
        }

        private void sync() {
            if (isFull || nowMs < hangsUntilMs) {
                machine.scheduleForIncarnation(Math.max(100, hangsUntilMs - nowMs), this::sync);
                return;
            }
            // One sync for all that waits.
            List<Object[]> batch = new ArrayList<>(pendingWrites);
            pendingWrites.clear();
            pendingSinceMs = -1;
            batch.forEach(write -> write(write[0]));
            machine.runWhenThawed(() -> batch.forEach(write -> {
                hasAcknowledged = true;
                ((Runnable) write[1]).run();
            }));
        }

        @SuppressWarnings("unchecked")
        private void write(Object write) {
            if (!(write instanceof Change c)) {
                ((List<StoredRegister>) write).forEach(k -> registers.put(k.registerId(), k));
                return;
            }
            List<LogEntry> entries = new ArrayList<>(held.entries());
            if (c.truncateFrom() > 0) {
                entries.removeIf(e -> e.index() >= c.truncateFrom());
            }
            Snapshot snapshot = held.snapshot();
            if (c.snapshot() != null) {
                snapshot = c.snapshot();
                entries.removeIf(e -> e.index() <= c.snapshot().index());
            }
            entries.addAll(c.appendedEntries());
            PersistentState before = held;
            held = new PersistentState(
                    held.incarnation(), c.currentTerm(), c.votedFor(), c.commitIndex(), snapshot, entries);
            if (observer != null) {
                observer.onWritten(machine, c, before, held);
            }
        }

        @Override
        public long pendingSinceMs() {
            return pendingSinceMs;
        }

        @Override
        public boolean isFailing() {
            return isFull && !pendingWrites.isEmpty();
        }
    }
}
