package bramblespool.sim;

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
public final class SimWorld {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The first pause before a message that met a cut is sent again, and the longest. */
    private static final long RESEND_MS = 200;

    private static final long RESENT_MS = 7000;

    private record Event(long at, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    public final Random random;
    private long now = 1_000_000;
    private long order;
    private final Map<String, Machine> machines = new HashMap<>();
    private long step;
    /** The share of messages, and of answers, that are lost, or that arrive twice; how much later than others one may be. */
    public double lose;

    public double twice;
    public long spreadMs;
    /** Whether the length of messages matters: to a link's rate, to a processor's work or to whoever counts bytes. */
    public boolean weighs = true;

    private boolean repeats;
    /** The share of what meets a cut that is sent again, as TCP does, until it gets through. */
    public double resent;
    /** Sees each message as it is sent, and each write as it has reached a disk. */
    public Tap tap;

    /** Who watches the world without taking part in it. */
    public interface Tap {
        void sent(Machine from, String kind, ObjectNode body);

        void answered(Machine by, String kind, JsonNode request, JsonNode answer);

        void wrote(
                Machine at,
                DurableStore.Change change,
                DurableStore.PersistentState before,
                DurableStore.PersistentState after);
    }

    public Runnable afterEach = () -> {};
    public long messages;
    public long bytes;
    /** Keeps a message in the net, which may be delivered at any later time or never. */
    public interface Keeper {
        boolean keeps(String from, String to, String kind, ObjectNode body, Runnable deliver);
    }

    /** Who keeps messages back. */
    public Keeper keeper = (from, to, kind, body, deliver) -> false;
    /** Messages and their bytes, answers included, by kind; filled where it is not null. */
    public Map<String, long[]> kinds;

    public SimWorld(long seed) {
        random = new Random(seed);
    }

    public long now() {
        return now;
    }

    /** Counts what has happened: of two moments the earlier has the lower number. */
    public long step() {
        return ++step;
    }

    public void at(long ms, Runnable task) {
        events.add(new Event(now + ms, order++, task));
    }

    public void run(long ms) {
        long end = now + ms;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = e.at;
            e.task.run();
            afterEach.run();
        }
        now = end;
    }

    private void count(String kind, int calls, int length) {
        if (kinds != null) {
            long[] k = kinds.computeIfAbsent(kind, x -> new long[2]);
            k[0] += calls;
            k[1] += length;
        }
    }

    public java.util.Collection<Machine> machines() {
        return machines.values();
    }

    public Machine machine(String peer) {
        return machines.computeIfAbsent(peer, Machine::new);
    }

    /** Cuts what goes from one machine to another, in that direction. */
    public void cut(String from, String to, boolean on) {
        if (on) {
            machine(from).cutTo.add(to);
        } else {
            machine(from).cutTo.remove(to);
        }
    }

    public void isolate(String who, boolean on) {
        for (String other : List.copyOf(machines.keySet())) {
            cut(who, other, on);
            cut(other, who, on);
        }
    }

    /** A machine with one process at a time; each start is a new life. */
    public final class Machine implements PeerTransport, Clock {
        public final String peer;
        /** Bytes that its link carries in a millisecond, each way; 0: any number. */
        public double linkRate;
        /** Milliseconds of its processor for one message, and for each of its kilobytes. */
        public double messageMs;

        public double kilobyteMs;
        /** Messages it has taken or answered, and the processor time that took. */
        public long handled;

        public long sentBytes;
        public double worked;
        private double outFree;
        private double inFree;
        private double busyUntil;
        private long frozenUntil;
        private boolean timersFirst;
        private final Set<String> cutTo = new HashSet<>();
        /** Without power: nobody says that nobody is here. */
        public boolean dark;

        private int life;
        private boolean up;
        private RequestHandler service;
        public final Disk disk = new Disk(this);

        private Machine(String peer) {
            this.peer = peer;
        }

        public boolean up() {
            return up;
        }

        public void boot() {
            life++;
            outFree = 0;
            inFree = 0;
            busyUntil = 0;
            frozenUntil = 0;
            dark = false;
            up = true;
        }

        public void serve(RequestHandler s) {
            service = s;
        }

        /** Ends the process; {@code power}: what was not yet synced is lost with it. */
        public void kill(boolean power) {
            up = false;
            life++;
            service = null;
            disk.crash(power);
        }

        /** Its processes stand still for so long; what comes meanwhile waits. */
        public void freeze(long ms) {
            freeze(ms, false);
        }

        /** {@code timersFirst}: whether what came due goes before what came in once it thaws. */
        public void freeze(long ms, boolean timersFirst) {
            busyUntil = Math.max(busyUntil, now + ms + (timersFirst ? 1 : 0));
            frozenUntil = Math.max(frozenUntil, now + ms + (timersFirst ? 0 : 1));
            this.timersFirst = timersFirst;
        }

        public boolean frozen() {
            return now < frozenUntil;
        }

        /** Runs the task, or once the process has thawed. */
        private void thawed(Runnable task) {
            if (frozen()) {
                mine(frozenUntil - now, () -> thawed(task));
            } else {
                task.run();
            }
        }

        void mine(long ms, Runnable task) {
            int then = life;
            at(ms, () -> {
                if (up && life == then) {
                    task.run();
                }
            });
        }

        @Override
        public long nowMs() {
            return now;
        }

        /** How wrong its time of day is. */
        public long skewMs;

        SimWorld world() {
            return SimWorld.this;
        }

        @Override
        public long wallTimeMs() {
            return 1_000_000_000L + now + skewMs;
        }

        @Override
        public Timer schedule(long ms, Runnable task) {
            boolean[] off = new boolean[1];
            timer(ms, task, off);
            return () -> off[0] = true;
        }

        /** A timer that comes due while the processor is busy goes off when it is free. */
        private void timer(long ms, Runnable task, boolean[] off) {
            mine(ms, () -> {
                if (off[0]) {
                    return;
                }
                long wait = timersFirst && busyUntil <= frozenUntil + 1
                        ? frozenUntil - now
                        : Math.max((long) (busyUntil - now), frozenUntil - now);
                if (wait > 0) {
                    timer(wait, task, off);
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
        public void call(String address, String kind, ObjectNode body, long timeoutMs, Consumer<JsonNode> answer) {
            messages++;
            boolean[] over = new boolean[1];
            Consumer<JsonNode> once = a -> {
                if (!over[0]) {
                    over[0] = true;
                    answer.accept(a);
                }
            };
            mine(timeoutMs, () -> thawed(() -> once.accept(null)));
            Letter wire = new Letter(body);
            int length = wire.length;
            bytes += length;
            sentBytes += length;
            count(kind, 1, length);
            if (tap != null) {
                tap.sent(this, kind, body);
            }
            int caller = life;
            Runnable deliver = () -> deliver(address, kind, wire, caller, once);
            if (!keeper.keeps(peer, address, kind, body, () -> pass(this, address, RESEND_MS, deliver))) {
                travel(this, address, length, deliver);
            }
        }

        private void deliver(String address, String kind, Letter wire, int caller, Consumer<JsonNode> once) {
            Machine to = machines.get(address);
            if (to == null || to.dark) {
                return;
            }
            if (!to.up || to.service == null) {
                at(1, () -> back(caller, once, null));
                return;
            }
            int callee = to.life;
            to.handle(wire.length, () -> {
                if (to.life != callee) {
                    return;
                }
                JsonNode request = wire.read();
                to.service.handleRequest(kind, request, out -> {
                    if (tap != null && out != null) {
                        tap.answered(to, kind, request, out);
                    }
                    Letter answered = new Letter(out);
                    to.sentBytes += answered.length;
                    count(kind, 0, answered.length);
                    travel(
                            to,
                            peer,
                            answered.length,
                            () -> handle(answered.length, () -> back(caller, once, answered)));
                });
            });
        }

        /** Brings a message to the other end, if it gets there, and as often as it does. */
        private void travel(Machine from, String to, int length, Runnable arrived) {
            int copies = twice > 0 && random.nextDouble() < twice ? 2 : 1;
            repeats |= copies > 1;
            for (int i = 0; i < copies; i++) {
                if (lose > 0 && random.nextDouble() < lose) {
                    continue;
                }
                long late = spreadMs > 0 && random.nextInt(4) == 0 ? random.nextLong(spreadMs) : 0;
                at(from.leaves(length) + late, () -> pass(from, to, RESEND_MS, arrived));
            }
        }

        private void pass(Machine from, String to, long again, Runnable arrived) {
            if (!from.cutTo.contains(to)) {
                arrived.run();
            } else if (resent > 0 && again < RESENT_MS && random.nextDouble() < resent) {
                at(again, () -> pass(from, to, again * 2, arrived));
            }
        }

        /** After how long the last byte of a message sent now has arrived at the other end of its own link and the net. */
        private long leaves(int length) {
            outFree = Math.max(now, outFree) + (linkRate > 0 ? length / linkRate : 0);
            return (long) (outFree - now) + 1 + random.nextInt(3);
        }

        /** Runs the task when its bytes are through this machine's link and its processor has come to it. */
        private void handle(int length, Runnable task) {
            inFree = Math.max(now, inFree) + (linkRate > 0 ? length / linkRate : 0);
            double cost = messageMs + kilobyteMs * length / 1024;
            busyUntil = Math.max(inFree, busyUntil) + cost;
            handled++;
            worked += cost;
            long wait = (long) (busyUntil - now);
            if (wait > 0) {
                at(wait, task);
            } else {
                task.run();
            }
        }

        private void back(int caller, Consumer<JsonNode> once, Letter letter) {
            if (up && life == caller) {
                once.accept(letter == null ? null : letter.read());
            }
        }
    }

    /** A message under way: as text, or as a copy where nobody asks how long it is. */
    private final class Letter {
        private final String text;
        private final ObjectNode copy;
        final int length;

        Letter(ObjectNode body) {
            text = body == null || !weighs ? null : body.toString();
            copy = body == null || weighs ? null : body.deepCopy();
            length = text == null ? 0 : text.length();
        }

        JsonNode read() {
            if (text == null) {
                return copy == null || !repeats ? copy : copy.deepCopy();
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
        private final java.util.Map<String, StoredRegister> words = new java.util.LinkedHashMap<>();
        private final ArrayDeque<Object[]> jobs = new ArrayDeque<>();
        /** Milliseconds that a sync takes beyond the usual. */
        public long slowMs;

        private long waitingSince = -1;
        public boolean full;
        /** Until when it does nothing at all. */
        public long hangsUntil;
        /** Whether a loss of power may take all of a disk on which nothing was ever said to be durable. */
        public boolean tears;

        private boolean promised;

        private Disk(Machine machine) {
            this.machine = machine;
        }

        public void wipe() {
            held = null;
            promised = false;
            words.clear();
        }

        private void crash(boolean power) {
            // Writes handed over and not yet said to be durable may be there, in order, as far as the disk had come.
            while (!jobs.isEmpty()) {
                Object c = jobs.poll()[0];
                if (random.nextBoolean() && !full) {
                    write(c);
                } else {
                    jobs.clear();
                }
            }
            waitingSince = -1;
            if (power && tears && !promised) {
                wipe();
            }
        }

        @Override
        public PersistentState load() {
            return held;
        }

        @Override
        public void initialize(String incarnation, List<LogEntry> first) {
            held = new PersistentState(incarnation, 0, null, 0, null, new ArrayList<>(first));
        }

        @Override
        public void save(Change change, Runnable durable) {
            add(change, durable);
        }

        @Override
        public void saveRegisters(List<StoredRegister> more, Runnable durable) {
            add(List.copyOf(more), durable);
        }

        @Override
        public List<StoredRegister> loadRegisters() {
            return new ArrayList<>(words.values());
        }

        @Override
        public void expireRegisters(int parts) {}

        private void add(Object job, Runnable durable) {
            jobs.add(new Object[] {job, durable});
            if (jobs.size() == 1) {
                waitingSince = now;
                machine.mine(1 + random.nextInt(4) + slowMs, this::sync);
            }
        }

        private void sync() {
            if (full || now < hangsUntil) {
                machine.mine(Math.max(100, hangsUntil - now), this::sync);
                return;
            }
            // One sync for all that waits.
            List<Object[]> batch = new ArrayList<>(jobs);
            jobs.clear();
            waitingSince = -1;
            batch.forEach(j -> write(j[0]));
            machine.thawed(() -> batch.forEach(j -> {
                promised = true;
                ((Runnable) j[1]).run();
            }));
        }

        @SuppressWarnings("unchecked")
        private void write(Object job) {
            if (!(job instanceof Change c)) {
                ((List<StoredRegister>) job).forEach(k -> words.put(k.registerId(), k));
                return;
            }
            List<LogEntry> entries = new ArrayList<>(held.entries());
            if (c.truncateFrom() > 0) {
                entries.removeIf(e -> e.index() >= c.truncateFrom());
            }
            Snapshot snap = held.snapshot();
            if (c.snapshot() != null) {
                snap = c.snapshot();
                entries.removeIf(e -> e.index() <= c.snapshot().index());
            }
            entries.addAll(c.appendedEntries());
            PersistentState before = held;
            held = new PersistentState(
                    held.incarnation(), c.currentTerm(), c.votedFor(), c.commitIndex(), snap, entries);
            if (tap != null) {
                tap.wrote(machine, c, before, held);
            }
        }

        @Override
        public long pendingSinceMs() {
            return waitingSince;
        }

        @Override
        public boolean isFailing() {
            return full && !jobs.isEmpty();
        }
    }
}
