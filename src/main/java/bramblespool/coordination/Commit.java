package bramblespool.coordination;

import bramblespool.protocol.Orders;
import bramblespool.raft.RaftNode;
import bramblespool.state.CompressedDocument;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.gson.JsonObject;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The leader's side of the shadow commit: one change at a time through the four phases. */
public final class Commit {
    /** Carries one phase to the wefts through their cells; the answer lists who acknowledged and who refused. */
    public interface Cells {
        void phase(ObjectNode message, Set<String> wefts, long timeoutMs, Consumer<Acks> answer);
    }

    public record Acks(Set<String> confirmed, Set<String> refused) {}

    /** Milliseconds, ratios to {@code ack} and {@code apply}. */
    public record Times(long distribute, long phase, long latency) {
        /** A third of what the operator allows for each route: the document travels over narrow links, twice if need be. */
        private static final long EACH_ROUTE = 1;

        long distribute(RoutingConfiguration config) {
            return distribute + config.routeCount * EACH_ROUTE;
        }

        public static Times of(long ack, long apply) {
            return new Times(ack * 6 / 100, apply * 8 / 100, apply / 50);
        }
    }

    private record Order(Orders.Change change, Consumer<Orders.Outcome> done) {}

    private static final int TRIES = 2;

    private final RaftNode raft;
    private final ReplicatedState ledger;
    private final Cells cells;
    private final Supplier<Set<String>> members;
    private final Clock clock;
    private final Times times;
    private final EventLog log;
    private final ArrayDeque<Order> queue = new ArrayDeque<>();
    private boolean busy;
    private long lead;
    /** Numbers what is said to the wefts: of what this leader says the later holds. */
    private long round;

    private RoutingConfiguration compiled;
    private Set<String> unconfirmed = new HashSet<>();

    public Commit(
            RaftNode raft,
            ReplicatedState ledger,
            Cells cells,
            Supplier<Set<String>> members,
            Clock clock,
            Times times,
            EventLog log) {
        this.raft = raft;
        this.ledger = ledger;
        this.cells = cells;
        this.members = members;
        this.clock = clock;
        this.times = times;
        this.log = log;
    }

    public Set<String> unconfirmed() {
        return unconfirmed;
    }

    /** Takes up, as the new leader, what the last one left. */
    public void leading(boolean leads) {
        lead++;
        busy = false;
        if (!leads) {
            while (!queue.isEmpty()) {
                queue.poll().done.accept(Orders.Outcome.unclear("no longer the leader"));
            }
            return;
        }
        if (ledger.candidate() != null) {
            busy = true;
            abort(
                    ledger.candidate().epoch(),
                    RoutingConfiguration.stampOf(ledger.candidate().compressedDocument()),
                    "left by the last leader",
                    this::resume);
        } else {
            resume();
        }
    }

    private void resume() {
        if (ledger.current().epoch() > 0 && ledger.phase() != ReplicatedState.Phase.MARKED) {
            busy = true;
            log.log(Event.COMMIT_RECOVERED, "epoch", ledger.current().epoch(), "phase", ledger.phase());
            tagPacket(ledger.current().epoch(), members.get());
        } else {
            next();
        }
    }

    public void submit(Orders.Change change, Consumer<Orders.Outcome> done) {
        Order o = new Order(change, done);
        if (ledger.isCommitted(change.digest())) {
            // A repeat need not wait for those before it.
            answer(o, Orders.Outcome.taken(ledger.current().epoch()));
            return;
        }
        queue.add(o);
        if (!busy) {
            next();
        }
    }

    private void next() {
        busy = false;
        while (!busy && !queue.isEmpty()) {
            start(queue.poll());
        }
    }

    private void start(Order o) {
        Orders.Change change = o.change;
        Orders.Outcome decided = decided(change);
        if (decided != null) {
            answer(o, decided);
            return;
        }
        RoutingConfiguration config;
        try {
            JsonObject whole = change.whole(currentConfig());
            config = RoutingConfiguration.compile(whole, CompressedDocument.compress(whole.toString()));
        } catch (RoutingConfiguration.InvalidConfigurationException e) {
            answer(o, Orders.Outcome.invalid(e.getMessage()));
            return;
        }
        if (config.epoch <= ledger.current().epoch()) {
            answer(
                    o,
                    Orders.Outcome.invalid(
                            "epoch: must be above " + ledger.current().epoch()));
            return;
        }
        busy = true;
        long mine = lead;
        ObjectNode e = ReplicatedState.entry("candidate")
                .put("epoch", config.epoch)
                .put("base", change.base())
                .put("digest", change.digest())
                .put("doc", config.compressedDocument);
        raft.propose(e, ok -> {
            if (!ok || mine != lead) {
                o.done.accept(Orders.Outcome.unclear("the lead was lost"));
                return;
            }
            log.log(Event.CONFIGURATION_CANDIDATE_STORED, "epoch", config.epoch, "base", change.base());
            compiled = config;
            distribute(o, config, members.get(), TRIES);
        });
    }

    /**
     * An answer that says what is decided. It holds for the moment when it was worked out, if a majority of this term has
     * confirmed since that nobody else leads; else there is none, for another leader may have decided more.
     */
    private void answer(Order o, Orders.Outcome outcome) {
        raft.confirmLeadership(ok -> {
            if (!ok) {
                log.log(Event.QUORUM_UNCONFIRMED, "status", outcome.status(), "cause", outcome.word());
                o.done.accept(Orders.Outcome.unclear("no majority confirms it"));
                return;
            }
            if (outcome.status() != 200) {
                log.log(Event.CONFIGURATION_REJECTED, "status", outcome.status(), "cause", outcome.word());
            }
            o.done.accept(outcome);
        });
    }

    /** What waits and can't come to anything more hears so now, not after the phases that are left. */
    private void settleQueue() {
        queue.removeIf(o -> {
            Orders.Outcome decided = decided(o.change);
            if (decided != null) {
                answer(o, decided);
            }
            return decided != null;
        });
    }

    /** What has been decided on a change already: it was taken, or another version is in force; null where it may yet win. */
    private Orders.Outcome decided(Orders.Change change) {
        long epoch = ledger.current().epoch();
        return ledger.isCommitted(change.digest())
                ? Orders.Outcome.taken(epoch)
                : change.base() != epoch ? Orders.Outcome.stale(epoch) : null;
    }

    private RoutingConfiguration currentConfig() throws RoutingConfiguration.InvalidConfigurationException {
        ReplicatedState.Version v = ledger.current();
        if (v.compressedDocument() == null) {
            return null;
        }
        if (compiled == null || compiled.epoch != v.epoch()) {
            compiled = RoutingConfiguration.compileCompressed(v.compressedDocument());
        }
        return compiled;
    }

    private ObjectNode message(int phase, long old, long fresh, String stamp) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("phase", phase)
                .put("term", raft.currentTerm())
                .put("round", ++round)
                .put("old", old)
                .put("new", fresh)
                .put("stamp", stamp);
    }

    /** Phase 1, TAG DISTRIBUTION: the candidate and its tags. A missing acknowledgement aborts this try. */
    private void distribute(Order o, RoutingConfiguration config, Set<String> wefts, int triesLeft) {
        long mine = lead;
        long within = times.distribute(config);
        ObjectNode m = message(1, ledger.current().epoch(), config.epoch, config.stamp)
                .put("open", within * triesLeft)
                .put("doc", config.compressedDocument);
        cells.phase(m, wefts, within, acks -> {
            if (mine != lead) {
                o.done.accept(Orders.Outcome.unclear("the lead was lost"));
                return;
            }
            if (!acks.refused.isEmpty()) {
                abort(config.epoch, config.stamp, "refused by " + acks.refused, () -> {
                    o.done.accept(Orders.Outcome.unclear("refused by " + acks.refused));
                    next();
                });
                return;
            }
            Set<String> silent = new HashSet<>(wefts);
            silent.removeAll(acks.confirmed);
            if (silent.isEmpty()) {
                decide(o, config, acks.confirmed);
                return;
            }
            // The try without the silent ones: the others go back first, then the tags are given out anew.
            log.log(Event.COMMIT_UNCONFIRMED, "epoch", config.epoch, "proxies", silent);
            if (triesLeft <= 1) {
                decide(o, config, acks.confirmed);
                return;
            }
            cells.phase(
                    message(0, ledger.current().epoch(), config.epoch, config.stamp),
                    acks.confirmed,
                    times.phase,
                    x -> {
                        if (mine == lead) {
                            distribute(o, config, acks.confirmed, triesLeft - 1);
                        } else {
                            o.done.accept(Orders.Outcome.unclear("the lead was lost"));
                        }
                    });
        });
    }

    private void abort(long epoch, String stamp, String why, Runnable then) {
        long mine = lead;
        log.log(Event.COMMIT_ABORTED, "epoch", epoch, "cause", why);
        cells.phase(message(0, ledger.current().epoch(), epoch, stamp), members.get(), times.phase, x -> {});
        raft.propose(ReplicatedState.entry("abort").put("epoch", epoch), ok -> {
            if (ok && mine == lead) {
                then.run();
            }
        });
    }

    /** The point of no return. */
    private void decide(Order o, RoutingConfiguration config, Set<String> confirmed) {
        long mine = lead;
        unconfirmed = new HashSet<>(members.get());
        unconfirmed.removeAll(confirmed);
        raft.propose(ReplicatedState.entry("decide").put("epoch", config.epoch), ok -> {
            if (!ok || !ledger.isCommitted(o.change.digest())) {
                o.done.accept(Orders.Outcome.unclear("the lead was lost"));
                return;
            }
            log.log(Event.COMMIT_DECIDED, "epoch", config.epoch);
            o.done.accept(Orders.Outcome.taken(config.epoch));
            settleQueue();
            if (mine == lead) {
                tagPacket(config.epoch, confirmed);
            }
        });
    }

    /** Phase 2, TAG PACKET; then one latency bound, so that no call with a bit is under way. */
    private void tagPacket(long epoch, Set<String> wefts) {
        long mine = lead;
        phase(
                2,
                epoch,
                wefts,
                TRIES,
                rest -> clock.after(times.latency, () -> {
                    if (mine == lead) {
                        swap(epoch, wefts);
                    }
                }));
    }

    /** Phase 3, SWAP. */
    private void swap(long epoch, Set<String> wefts) {
        long mine = lead;
        phase(
                3,
                epoch,
                wefts,
                1,
                rest -> raft.propose(
                        ReplicatedState.entry("phase")
                                .put("epoch", epoch)
                                .put("phase", ReplicatedState.Phase.SWAPPED.name()),
                        ok -> {
                            if (ok && mine == lead) {
                                mark(epoch, wefts, rest);
                            }
                        }));
    }

    /** Phase 4, MARK SHADOW BIT. */
    private void mark(long epoch, Set<String> wefts, Set<String> silentAtSwap) {
        long mine = lead;
        phase(
                4,
                epoch,
                wefts,
                TRIES,
                rest -> raft.propose(
                        ReplicatedState.entry("phase")
                                .put("epoch", epoch)
                                .put("phase", ReplicatedState.Phase.MARKED.name()),
                        ok -> {
                            if (ok && mine == lead) {
                                unconfirmed = new HashSet<>(members.get());
                                unconfirmed.removeAll(wefts);
                                unconfirmed.addAll(silentAtSwap);
                                unconfirmed.addAll(rest);
                                log.log(Event.COMMIT_COMPLETED, "epoch", epoch, "unconfirmed", unconfirmed);
                                next();
                            }
                        }));
    }

    /** One phase, repeated for those who have not confirmed it; goes on with the silent ones left unconfirmed. */
    private void phase(int phase, long epoch, Set<String> wefts, int triesLeft, Consumer<Set<String>> then) {
        long mine = lead;
        ObjectNode m = message(
                phase,
                ledger.previous().epoch(),
                epoch,
                RoutingConfiguration.stampOf(ledger.current().compressedDocument()));
        cells.phase(m, wefts, times.phase, acks -> {
            if (mine != lead) {
                return;
            }
            Set<String> rest = new HashSet<>(wefts);
            rest.removeAll(acks.confirmed);
            if (rest.isEmpty() || triesLeft <= 1) {
                then.accept(rest);
            } else {
                phase(phase, epoch, rest, triesLeft - 1, then);
            }
        });
    }
}
