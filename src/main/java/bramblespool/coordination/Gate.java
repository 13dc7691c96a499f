package bramblespool.coordination;

import bramblespool.protocol.Beat;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import it.unimi.dsi.fastutil.longs.LongArrayFIFOQueue;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The one gate to this machine's server: identity, capacity, warm-up, draining, evacuation. A refusal here is no
 * arrival at the server, and a promise that the request has not run.
 */
public final class Gate {
    /** Why a request was not let through, and when to come back. */
    public record Refusal(String why, long retryMs) {}

    /**
     * Figures of the rules, as the settings give them. {@code beat} is 0 where servers send none but stand on a list;
     * {@code serveOn}: how long a draining server is still sent to, until callers have learned of it.
     */
    public record Rules(long beat, long serveOn, long drain, double warmExcess, double warmSlack) {
        /** For a server that beats to the daemon beside it. */
        public static Rules beating(Settings s) {
            Settings.Bounds b = s.bounds();
            return new Rules(
                    s.heartbeatIntervalMs(), b.drainMs() / 3, b.drainMs(), b.slowStartExcess(), b.slowStartAllowance());
        }

        /** For a server known from a list: what the list shows is late already. */
        public static Rules listed(Settings s) {
            Settings.Bounds b = s.bounds();
            return new Rules(0, 0, b.drainMs(), b.slowStartExcess(), b.slowStartAllowance());
        }

        private boolean beats() {
            return beat > 0;
        }

        /** When to look again after a server that is not there. */
        private long lookAgain() {
            return beats() ? beat / 3 : drain / 12;
        }
    }

    /** One request at the gate. */
    public final class Ticket {
        private final String route;
        /** When its turn comes: a step of rank is worth a part of its aim, so that no rank starves another for good. */
        private final long turn;

        private final Runnable go;
        private final Consumer<Refusal> refused;
        private long started;
        private String server;
        private Clock.Timer late;

        private Ticket(String route, long turn, Runnable go, Consumer<Refusal> refused) {
            this.route = route;
            this.turn = turn;
            this.go = go;
            this.refused = refused;
        }

        /** The id of the server it was let through to. */
        public String server() {
            return server;
        }

        /** Frees the slot; {@code worked} where the time it took tells how long such requests work. */
        public void done(boolean worked) {
            if (server == null) {
                return;
            }
            boolean same = server.equals(id);
            server = null;
            if (same) {
                running--;
                if (worked) {
                    learn(route, clock.now() - started);
                }
            }
            drainQueue();
        }

        /** Tells how the server dealt with it. */
        public void outcome(boolean good) {
            if (server != null && server.equals(id)) {
                feel(good);
            }
        }

        private void cancel() {
            if (late != null) {
                late.cancel();
                late = null;
            }
        }
    }

    /** Queue at most this many times the capacity: beyond it no deadline in use could be kept. */
    private static final int QUEUE_PER_SLOT = 4;
    /** Share of a cold server's hard bound that is used, so that a late arrival never crosses it. */
    private static final double WARM_SHARE = 0.92;
    /** A step of rank is worth this part of a request's aim in waiting. */
    private static final int RANK_PART = 4;
    /** A request whose work alone takes longer than its aim may still wait this part of its work. */
    private static final double LEAST_ROOM = 1.1;
    /** Mean deviations above the mean within which a request is counted on to be done. */
    private static final double DEVIATIONS = 1.5;

    private static final long SECOND = 1000;
    /** How much one outcome weighs in a server's illness. */
    private static final double FEEL = 0.15;
    /** Steps in which illness is told: one failure among many sound answers stays below the first. */
    private static final int ILL_STEPS = 5;

    private static final double LEARN = 0.1;
    private static final double FIRST_GUESS_MS = 100;
    /** After so many beats' time without one the server may have gone cold unnoticed. */
    private static final double DOUBTED_BEATS = 1.5;
    /** A server at most this much older than this process was not there in the last one's time: no start is quicker. */
    private static final long YOUNGER_MS = 200;
    /** Beats missed before the server is taken for silent. */
    private static final double SILENT_BEATS = 2.4;

    private final Clock clock;
    private final EventLog log;
    private final Rules rules;
    private final String address;
    private final String target;
    private final Runnable changed;
    private String id;
    private int capacity;
    private boolean draining;
    private long drainingSince;
    private boolean down;
    private long downSince;
    private boolean evacuated;
    private boolean doubt = true;
    private long coldUntil;
    private double warmPerS;
    private long warmup;
    private final long born;
    private long lastBeat;
    private long lastSeq = -1;
    private int running;
    /** Lives that will never be heard of again: they have left, or said that they are about to. */
    private final Set<String> ended = new HashSet<>();
    /** Lives that another one has followed, each with its last {@code callSeq}. */
    private final Map<String, Long> followed = new HashMap<>();

    private final List<Ticket> queue = new ArrayList<>();
    private final LongArrayFIFOQueue arrivals = new LongArrayFIFOQueue();
    private final Object2DoubleOpenHashMap<String> work = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> deviation = new Object2DoubleOpenHashMap<>();
    private double meanWork = FIRST_GUESS_MS;
    private double ill;
    private long illAt;
    private int illTold;
    private final Pace pace;
    private int slowTold;
    private Clock.Timer warmTimer;

    public Gate(Clock clock, Rules rules, String address, String target, Runnable changed, EventLog log) {
        this.clock = clock;
        this.rules = rules;
        this.address = address;
        this.target = target;
        this.changed = changed;
        this.log = log;
        this.born = clock.now();
        this.pace = new Pace(rules.drain);
        work.defaultReturnValue(-1);
    }

    // ---- what the server says

    /** Takes a beat; null where it is acknowledged, else what is wrong with it. */
    public String beat(Beat b) {
        if (!b.target().equals(target)) {
            return "target: this machine's server is of " + target;
        }
        if (!b.address().equals(address)) {
            return "address: this machine's server is at " + address;
        }
        if (ended.contains(b.id()) || b.id().equals(id) && b.callSeq() <= lastSeq || late(b)) {
            return null;
        }
        boolean fresh = !b.id().equals(id);
        if (fresh) {
            if (draining) {
                ended.add(id);
            } else if (id != null) {
                followed.put(id, lastSeq);
            }
            id = b.id();
            running = 0;
            ill = 0;
            pace.forget();
            draining = false;
            if (followed.remove(id) == null) {
                arrivals.clear();
            }
            log.log(Event.SERVER_REGISTERED, "server", id, "capacity", b.capacity(), "slowStartLeftMs", b.warmupLeft());
        } else if (down) {
            log.log(Event.SERVER_RECOVERED, "server", id);
        }
        long now = clock.now();
        boolean wasCold = cold(now);
        boolean news = fresh || down || b.draining() && !draining || b.capacity() != capacity;
        down = false;
        doubt = false;
        lastBeat = now;
        lastSeq = b.callSeq();
        capacity = b.capacity();
        coldUntil = b.warmupLeft() > 0 ? now + b.warmupLeft() : 0;
        if (b.draining() && !draining) {
            draining = true;
            // One that is draining at the first word may have been acknowledged by an earlier life of this process.
            drainingSince = fresh ? now - rules.drain : now;
            log.log(Event.SERVER_DRAINING, "server", id);
        }
        if (news || wasCold != cold(now)) {
            changed.run();
        }
        drainQueue();
        return null;
    }

    /**
     * Whether it is a late word of a life that another one has followed. After a restart of this process the order of
     * lives is not known, and it may be the other one that was late: that one does not answer, and this one goes on.
     */
    private boolean late(Beat b) {
        Long last = followed.get(b.id());
        if (last == null) {
            return false;
        }
        if (b.draining()) {
            followed.remove(b.id());
            ended.add(b.id());
            return true;
        }
        return !down || b.callSeq() <= last;
    }

    /** Takes the word of the platform's list, which knows this server by the id the gate was made for. */
    public void listed(String which, int slots, boolean drains, long warmupLeft) {
        boolean fresh = id == null;
        boolean news = fresh || drains && !draining || slots != capacity;
        id = which;
        capacity = slots;
        lastBeat = clock.now();
        doubt = false;
        coldUntil = warmupLeft > 0 ? lastBeat + warmupLeft : 0;
        if (drains && !draining) {
            draining = true;
            drainingSince = lastBeat;
            log.log(Event.SERVER_DRAINING, "server", id);
        }
        if (news) {
            changed.run();
            refuseAll();
        }
    }

    /** The list shows that it is about to end; whoever says so, it is never taken back. */
    void leaving() {
        if (!draining) {
            draining = true;
            drainingSince = clock.now();
            log.log(Event.SERVER_DRAINING, "server", id);
            changed.run();
            refuseAll();
        }
    }

    /** No longer this daemon's: nothing more goes there, and what waits is refused. */
    public void close() {
        if (id != null) {
            ended.add(id);
            down = true;
            downSince = Long.MAX_VALUE / 2;
            refuseAll();
        }
    }

    /** Takes the word of a probe where no beat has come since this process started. */
    public void probed(String who, int slots, long warmupLeft) {
        if (id != null || ended.contains(who)) {
            return;
        }
        id = who;
        capacity = slots;
        doubt = false;
        down = false;
        lastBeat = clock.now();
        coldUntil = warmupLeft > 0 ? lastBeat + warmupLeft : 0;
        log.log(
                Event.SERVER_REGISTERED,
                "server",
                id,
                "capacity",
                slots,
                "slowStartLeftMs",
                warmupLeft,
                "source",
                "probe");
        changed.run();
    }

    public void leave(String which) {
        followed.remove(which);
        ended.add(which);
        if (which.equals(id)) {
            gone(Event.SERVER_DEREGISTERED);
        }
    }

    /** Its port refused or stayed silent: nothing more goes there until it beats again. */
    public void unreachable(String which) {
        if (which.equals(id) && !down) {
            gone(Event.SERVER_UNRESPONSIVE);
        }
    }

    private void gone(Event event) {
        if (!down) {
            log.log(event, "server", id);
        }
        down = true;
        downSince = clock.now();
        doubt = true;
        changed.run();
        refuseAll();
    }

    /** The share of requests that it fails, of late; forgotten by half in each {@code drain} without one. */
    private double illness() {
        return ill * Math.pow(0.5, (double) (clock.now() - illAt) / rules.drain);
    }

    private void feel(boolean good) {
        ill = illness() * (1 - FEEL) + (good ? 0 : FEEL);
        illAt = clock.now();
        tellHealth();
    }

    private void tellHealth() {
        int step = (int) (illness() * ILL_STEPS);
        int slow = pace.step(clock.now(), slowTold);
        if (step != illTold || slow != slowTold) {
            illTold = step;
            slowTold = slow;
            changed.run();
        }
    }

    /** Illness as others are told, from 0 to 1. Health answers may lie and have no part in it. */
    public double ill() {
        return (double) illTold / ILL_STEPS;
    }

    /** How much slower it has become than it usually is, in steps as others are told: 0 not, 1 some times, 2 many times. */
    public int slow() {
        return slowTold;
    }

    /** What its illness and slowness are worth in load of itself: at these gates and at those who choose among them. */
    double burden() {
        return ill() * Fleet.ILL_COST + slowTold * Fleet.SLOW_COST;
    }

    /** To be called now and then. */
    public void check() {
        long now = clock.now();
        tellHealth();
        if (id != null && !down && rules.beats() && now - lastBeat > rules.beat * SILENT_BEATS) {
            gone(Event.SERVER_UNRESPONSIVE);
        } else if (down && !rules.beats() && now - downSince > rules.drain / 4) {
            // Nobody will say that it is back: the next request finds out.
            down = false;
            doubt = false;
            changed.run();
        }
    }

    /** This process itself stood still: what the server said before may no longer be true. */
    public void paused() {
        doubt = true;
    }

    public void evacuated(boolean on) {
        if (evacuated && !on) {
            // It may have gone cold meanwhile: the next beat tells.
            doubt = true;
        }
        evacuated = on;
        if (on) {
            refuseAll();
        }
    }

    public void warming(double perS, long lasts) {
        warmPerS = perS;
        warmup = lasts;
    }

    // ---- what others may know

    public String id() {
        return id;
    }

    /** Whether callers should send here at all. */
    public boolean open() {
        return id != null && !down && !draining;
    }

    public int capacity() {
        return capacity;
    }

    public String target() {
        return target;
    }

    /** Where the server is reached. */
    public String address() {
        return address;
    }

    public int load() {
        return running + queue.size();
    }

    public long coldLeft() {
        long now = clock.now();
        return doubt && rules.beats() ? rules.beat : Math.max(0, coldUntil - now);
    }

    private boolean cold(long now) {
        return coldUntil > now || rules.beats() && (doubt || now - lastBeat > rules.beat * DOUBTED_BEATS);
    }

    /**
     * Whether an earlier process here may have sent to this cold server within the last second: it did if the server
     * is older than this process, and nobody remembers how much.
     */
    private boolean inherited(long now) {
        long age = doubt ? Long.MAX_VALUE : warmup - (coldUntil - now);
        return now - born < SECOND && age > now - born + YOUNGER_MS;
    }

    /** How long a request that came now would wait for a slot. */
    public long waitNow() {
        if (running < capacity && queue.isEmpty()) {
            return 0;
        }
        return (long) (meanWork * (queue.size() + 1) / Math.max(1, capacity));
    }

    /** Whether a request would rather come here than to the other gate of the same service. */
    boolean before(Gate other) {
        if (open() != other.open()) {
            return open();
        }
        return (load() + 1.0) / capacity + burden() < (other.load() + 1.0) / other.capacity + other.burden();
    }

    // ---- requests

    /** Lets a request through, queues it, or refuses it at once. */
    public Ticket offer(String route, int rank, long goal, long deadline, Runnable go, Consumer<Refusal> refused) {
        long now = clock.now();
        long aim = goal > 0 ? goal : deadline - now;
        Ticket t = new Ticket(route, now + rank * aim / RANK_PART, go, refused);
        Refusal no = shut(now);
        if (no != null) {
            refused.accept(no);
            return t;
        }
        if (queue.isEmpty() && mayStart(now)) {
            start(t, now);
            return t;
        }
        int ahead = 0;
        while (ahead < queue.size() && before(queue.get(ahead), t)) {
            ahead++;
        }
        double need = expected(route);
        double perStart = cold(now) && warmPerS > 0 ? SECOND / warmPerS : meanWork / Math.max(1, capacity);
        double wait = (ahead + 0.5) * perStart;
        // What would be too late for its aim is better tried elsewhere, or a little later, than kept: a queue that
        // grows to the deadlines makes everybody late and serves not one request more.
        double room = goal > 0 ? Math.min(deadline - now, Math.max(goal, need * LEAST_ROOM)) : deadline - now;
        if (queue.size() >= capacity * QUEUE_PER_SLOT || wait + need > room) {
            refused.accept(new Refusal(cold(now) ? "cold" : "full", Math.max(20, (long) (wait + perStart))));
            return t;
        }
        queue.add(ahead, t);
        t.late = clock.after(Math.max(1, deadline - now - (long) (need * 0.7)), () -> {
            if (queue.remove(t)) {
                refused.accept(new Refusal("late", 0));
            }
        });
        drainQueue();
        return t;
    }

    private static boolean before(Ticket a, Ticket b) {
        return a.turn <= b.turn;
    }

    private Refusal shut(long now) {
        if (id == null || down) {
            return new Refusal("none", rules.lookAgain());
        }
        if (evacuated) {
            return new Refusal("evacuated", 0);
        }
        if (draining && now - drainingSince >= rules.serveOn) {
            return new Refusal("draining", 0);
        }
        return null;
    }

    private boolean mayStart(long now) {
        return running < capacity && (!cold(now) || warmRoom(now));
    }

    /** Room in the sliding second of a cold server. */
    private boolean warmRoom(long now) {
        forgetArrivals(now);
        if (warmPerS <= 0) {
            return true;
        }
        if (inherited(now)) {
            return false;
        }
        return arrivals.size() < warmBound();
    }

    private int warmBound() {
        return (int) Math.max(1, (warmPerS * rules.warmExcess + rules.warmSlack) * WARM_SHARE);
    }

    private void forgetArrivals(long now) {
        while (!arrivals.isEmpty() && now - arrivals.firstLong() > SECOND * 11 / 10) {
            arrivals.dequeueLong();
        }
    }

    private void start(Ticket t, long now) {
        t.cancel();
        running++;
        forgetArrivals(now);
        arrivals.enqueue(now);
        t.server = id;
        t.started = now;
        t.go.run();
    }

    private void drainQueue() {
        long now = clock.now();
        while (!queue.isEmpty()) {
            if (shut(now) != null) {
                refuseAll();
                return;
            }
            if (!mayStart(now)) {
                break;
            }
            start(queue.remove(0), now);
        }
        if (!queue.isEmpty() && running < capacity && warmTimer == null) {
            long wait = arrivals.isEmpty()
                    ? Math.max(10, inherited(now) ? born + SECOND - now : 0)
                    : Math.max(5, arrivals.firstLong() + SECOND * 11 / 10 - now);
            warmTimer = clock.after(wait, () -> {
                warmTimer = null;
                drainQueue();
            });
        }
    }

    private void refuseAll() {
        Refusal no = shut(clock.now());
        if (no == null) {
            return;
        }
        List<Ticket> all = new ArrayList<>(queue);
        queue.clear();
        for (Ticket t : all) {
            t.cancel();
            t.refused.accept(no);
        }
    }

    /** The time that most requests of a route need once they are let through. */
    private double expected(String route) {
        double w = work.getDouble(route);
        return w < 0 ? FIRST_GUESS_MS : w + DEVIATIONS * Math.max(0, deviation.getDouble(route));
    }

    private void learn(String route, long ms) {
        pace.took(route, ms, clock.now());
        tellHealth();
        double w = work.getDouble(route);
        work.put(route, w < 0 ? ms : w + LEARN * (ms - w));
        double d = Math.max(0, deviation.getDouble(route));
        deviation.put(route, d + LEARN * (Math.abs(ms - (w < 0 ? ms : w)) - d));
        meanWork += LEARN * (ms - meanWork);
    }
}
