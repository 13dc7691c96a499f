package bramblespool.coordination;

import bramblespool.raft.RaftNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.Platform;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The duty of reporting usage. Each window's report is an act of its own: what it says is agreed on in a round for that
 * act, in a register, before anybody says it, so that whoever says it again says the same. The fence under which it is said
 * is the duty's, from the log: it must never start over, and registers are forgotten in time.
 */
public final class Metering {
    /** Key of the duty in the agreed log. */
    public static final String DUTY = "usage";
    /** Begins the ids of the acts' registers. */
    private static final String ACT = "usage/";
    /** Rounds of this duty within a window. */
    private static final int ROUNDS = 20;
    /** After its end a window is left alone for this part of {@code usageLate}; sums that are lacking are waited for until that part. */
    private static final double SETTLES = 0.15;

    private static final double WAITS = 0.5;
    /** The longest pause after a failed call, and the longest wait for an answer, as a ratio to the window. */
    private static final int LONGEST_PAUSE = 2;

    /** One process's sums, and before which window all of them are final. */
    private static final class Sums {
        private final String node;
        private long through;
        private long heard;
        private final TreeMap<Long, Map<String, Integer>> windows = new TreeMap<>();

        private Sums(String node) {
            this.node = node;
        }
    }

    private final Settings.UsageReporting rules;
    private final String node;
    private final String peer;
    private final Clock clock;
    private final Wire wire;
    private final Platform platform;
    private final RaftNode raft;
    private final ReplicatedState ledger;
    private final Duties duties;
    private final Registers registers;
    private final News news;
    private final Supplier<Collection<String>> helms;
    private final Supplier<Collection<String>> members;
    private final boolean fresh;
    private final long callMs;
    private final EventLog log;
    private final TrueTime time;
    private final Map<String, Sums> sums = new HashMap<>();
    private final long kept;
    private long reported = -1;
    private long underFence = -1;
    private long heldSince;
    private boolean busy;
    private long pauseMs;
    private long pausedUntil;
    private long refusedFence = -1;

    Metering(
            Settings settings,
            boolean fresh,
            Clock clock,
            Wire wire,
            Platform platform,
            RaftNode raft,
            ReplicatedState ledger,
            Duties duties,
            Registers registers,
            News news,
            Supplier<Collection<String>> helms,
            Supplier<Collection<String>> members,
            long callMs,
            EventLog log) {
        this.rules = settings.usageReporting();
        this.node = settings.node();
        this.peer = settings.peerAddress();
        this.fresh = fresh;
        this.clock = clock;
        this.wire = wire;
        this.platform = platform;
        this.raft = raft;
        this.ledger = ledger;
        this.duties = duties;
        this.registers = registers;
        this.news = news;
        this.helms = helms;
        this.members = members;
        this.callMs = callMs;
        this.log = log;
        this.time = new TrueTime(clock);
        this.kept = rules.usageLateMs() / rules.reportWindowMs() + 2;
    }

    void start() {
        clock.every(rules.reportWindowMs() / ROUNDS, this::round);
        learnTime();
    }

    private long current() {
        return Math.floorDiv(time.now(), rules.reportWindowMs());
    }

    /** Asks all helms for their time of day and takes the median. */
    private void learnTime() {
        List<Long> offsets = new ArrayList<>();
        long asked = clock.now();
        for (String h : helms.get()) {
            wire.call(h, "time", JsonNodeFactory.instance.objectNode(), callMs, a -> {
                if (a != null && a.path("wall").isNumber()) {
                    offsets.add(time.offsetOf(a.path("wall").asLong(), clock.now() - asked));
                }
            });
        }
        clock.after(callMs + 1, () -> {
            time.median(offsets);
            clock.after(callMs * 2, this::learnTime);
        });
    }

    // ---- sums

    /** A side tells what began to run at its gates; the answer goes back with its session's. */
    void told(String side, JsonNode m, ObjectNode answer) {
        take(side, m);
        answer.put("change", m.path("change").asLong()).put("time", time.now());
    }

    private void take(String side, JsonNode m) {
        String life = m.path("life").asText();
        Sums s = sums.computeIfAbsent(side + " " + life, k -> new Sums(side));
        s.through = Math.max(s.through, m.path("through").asLong());
        s.heard = clock.now();
        m.path("windows").fields().forEachRemaining(w -> {
            Map<String, Integer> of = new HashMap<>();
            w.getValue()
                    .fields()
                    .forEachRemaining(t -> of.put(t.getKey(), t.getValue().asInt()));
            s.windows.put(Long.parseLong(w.getKey()), of);
        });
        while (s.windows.size() > kept + 2) {
            s.windows.pollFirstEntry();
        }
    }

    /** What this helm has heard of a window, by process. */
    private ObjectNode heard(long window) {
        ObjectNode out = JsonNodeFactory.instance.objectNode();
        sums.forEach((key, s) -> {
            ObjectNode one = out.putObject(key).put("node", s.node).put("through", s.through);
            Map<String, Integer> of = s.windows.get(window);
            if (of != null) {
                ObjectNode counts = one.putObject("counts");
                of.forEach(counts::put);
            }
        });
        return out;
    }

    /** Serves this duty's messages; false where the kind is another's. */
    boolean serve(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        switch (kind) {
            case "time" -> answer.accept(JsonNodeFactory.instance.objectNode().put("wall", clock.wall()));
            case "usage" -> answer.accept(heard(m.path("window").asLong()));
            default -> {
                return false;
            }
        }
        return true;
    }

    // ---- acting

    /** The window before which all are known to be reported. */
    private long reported() {
        News.Item i = news.get(Fleet.USAGE);
        if (i != null) {
            reported = Math.max(reported, i.body().path("window").asLong());
        }
        if (reported < 0) {
            // The first holder of all begins with the window it is in; another one with all that can still be in time.
            ReplicatedState.SingletonRole d = ledger.singletonRoles().get(DUTY);
            reported = current() - (fresh && d != null && d.isFirstOwner() ? 0 : kept - 1);
        }
        // What is so late that nobody holds its sums any more is not made up.
        reported = Math.max(reported, current() - kept - 1);
        return reported;
    }

    private boolean holds() {
        ReplicatedState.SingletonRole d = ledger.singletonRoles().get(DUTY);
        if (d == null || !d.owner().equals(peer) || !raft.hasLease()) {
            return false;
        }
        if (d.fencingToken() != underFence) {
            underFence = d.fencingToken();
            heldSince = clock.now();
            log.log(Event.SINGLETON_ROLE_ACQUIRED, "role", DUTY, "fencingToken", underFence);
        }
        // Whoever held it before may have acted just now.
        return fresh && d.isFirstOwner() || clock.now() - heldSince > rules.leaseMs();
    }

    private void round() {
        sums.values().removeIf(s -> clock.now() - s.heard > rules.usageLateMs() * 2);
        if (busy || clock.now() < pausedUntil || !holds()) {
            return;
        }
        if (refusedFence == underFence) {
            // Nothing is said under it any more; the word for a higher one may have been lost.
            pausedUntil = clock.now() + callMs * 2;
            raise(underFence);
            return;
        }
        long w = reported() + 1;
        long over = time.now() - (w + 1) * rules.reportWindowMs();
        if (over < rules.usageLateMs() * SETTLES) {
            return;
        }
        busy = true;
        registers.read(ACT + w, callMs * 4, r -> {
            if (r.outcome() == Registers.Outcome.UNSURE) {
                failed("no majority");
            } else if (r.value() != null) {
                // Somebody has won this act before; what it says is settled.
                say(w, r.value());
            } else {
                gather(w, over);
            }
        });
    }

    private void failed(String why) {
        busy = false;
        pauseMs = Math.max(
                rules.reportWindowMs() / ROUNDS, Math.min(pauseMs * 2, rules.reportWindowMs() / LONGEST_PAUSE));
        pausedUntil = clock.now() + Math.max(pauseMs, (long) (1000 / Math.max(0.1, rules.callsPerSecond())));
        log.logOnChange(Event.USAGE_REPORT_FAILED, why, "cause", why, "fencingToken", underFence);
    }

    /** Asks all helms what they have heard of a window, and adds up each process once. */
    private void gather(long w, long over) {
        Map<String, JsonNode> all = new HashMap<>();
        merge(all, heard(w));
        Collection<String> others = helms.get();
        int[] open = {others.size() + 1};
        boolean[] silent = new boolean[1];
        Runnable one = () -> {
            if (--open[0] == 0) {
                gathered(w, over, all, silent[0]);
            }
        };
        for (String h : others) {
            wire.call(h, "usage", JsonNodeFactory.instance.objectNode().put("window", w), callMs, a -> {
                if (a == null) {
                    silent[0] = true;
                } else {
                    merge(all, a);
                }
                one.run();
            });
        }
        one.run();
    }

    private static void merge(Map<String, JsonNode> into, JsonNode heard) {
        heard.fields().forEachRemaining(f -> {
            JsonNode has = into.get(f.getKey());
            // A sum only grows until it is final, but for runs that were taken back: the one heard last counts.
            boolean newer = has == null
                    || f.getValue().path("through").asLong()
                            > has.path("through").asLong()
                    || f.getValue().path("through").asLong()
                                    == has.path("through").asLong()
                            && f.getValue().has("counts")
                            && total(f.getValue()) > total(has);
            if (newer && (f.getValue().has("counts") || has == null || !has.has("counts"))) {
                into.put(f.getKey(), f.getValue());
            }
        });
    }

    private static int total(JsonNode one) {
        int n = 0;
        for (JsonNode c : one.path("counts")) {
            n += c.asInt();
        }
        return n;
    }

    private void gathered(long w, long over, Map<String, JsonNode> all, boolean silent) {
        Set<String> finished = new HashSet<>();
        all.values().forEach(s -> {
            if (s.path("through").asLong() > w) {
                finished.add(s.path("node").asText());
            }
        });
        boolean whole = !silent && finished.containsAll(members.get());
        if (!whole && over < rules.usageLateMs() * WAITS) {
            busy = false;
            return;
        }
        TreeMap<String, Integer> tallies = new TreeMap<>();
        all.values()
                .forEach(s -> s.path("counts")
                        .fields()
                        .forEachRemaining(
                                t -> tallies.merge(t.getKey(), t.getValue().asInt(), Integer::sum)));
        ObjectNode report = JsonNodeFactory.instance.objectNode().put("windowNo", w);
        ObjectNode of = report.putObject("tallies");
        tallies.forEach(of::put);
        registers.agree(ACT + w, report.toString(), callMs * 4, r -> {
            if (r.outcome() == Registers.Outcome.WON) {
                say(w, r.value());
            } else {
                failed("no majority");
            }
        });
    }

    private void say(long w, String report) {
        long fence = underFence;
        if (!holds() || underFence != fence) {
            // It stood still, or lost touch, since it began: whoever holds the duty now says it.
            busy = false;
            return;
        }
        platform.usage(node, fence, report, rules.reportWindowMs() / LONGEST_PAUSE, code -> {
            if (code == 200) {
                busy = false;
                pauseMs = 0;
                reported = Math.max(reported, w);
                news.tell(
                        Fleet.USAGE,
                        fence,
                        w,
                        JsonNodeFactory.instance.objectNode().put("window", w));
                log.log(Event.USAGE_REPORTED, "window", w, "fencingToken", fence);
            } else if (code == 409) {
                // The platform has seen a higher fence: under this one nothing more is said.
                refusedFence = fence;
                busy = false;
                log.log(Event.USAGE_REPORT_FENCED, "fencingToken", fence);
                raise(fence);
            } else {
                failed(code == 0 ? "no answer" : "answered " + code);
            }
        });
    }

    /** Asks the leader for a higher fence, in case the duty is still this helm's. */
    private void raise(long fence) {
        String leader = raft.leaderId();
        if (leader != null && !raft.isLeader()) {
            wire.call(
                    RaftNode.addressOf(leader),
                    "raise",
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("key", DUTY)
                            .put("fence", fence)
                            .put("term", raft.currentTerm()),
                    callMs,
                    a -> {});
        } else {
            duties.raise(DUTY, fence);
        }
    }

    ObjectNode status() {
        ReplicatedState.SingletonRole d = ledger.singletonRoles().get(DUTY);
        return JsonNodeFactory.instance
                .objectNode()
                .put("holder", d == null ? "" : d.owner())
                .put("fence", d == null ? 0 : d.fencingToken())
                .put("oldest", reported() + 1)
                .put("current", current())
                .put("heard", sums.size());
    }
}
