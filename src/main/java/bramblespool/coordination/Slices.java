package bramblespool.coordination;

import bramblespool.raft.RaftNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.VoterSet;
import bramblespool.transport.Clock;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Who owns which slice of the tenants, without a leader. A helm may act for its slices only under a lease: a majority of
 * the voters has granted it within a short time, counted from when it asked. Who takes a slice over first has a majority
 * of the voters promise to grant the silent owner nothing more, which each does only when its own last grant is older than
 * a lease; then it replaces the owner's name in the slice's register. An owner that finds its lease run out gives all its
 * slices up before it asks for another one.
 */
final class Slices {
    /** Ratios to {@code quiet}: how long a lease lasts, and how often it is asked for. */
    private static final int LEASE = 7;

    private static final int RENEWALS = 24;
    /** The owner counts its lease for this part of it: clocks run alike, but not quite. */
    private static final double OWN_PART = 0.9;
    /** A barred helm is granted nothing for so many leases: as long as what it asked for before may still arrive. */
    private static final int BARRED = 2;
    /** A lease is renewed for so many leases after anybody has asked. */
    private static final int WANTED = 20;

    /** A slice's owner as its register names it. */
    private record Owner(String peer, String life, long fence, String written) {
        static Owner read(String written) {
            String[] w = written == null ? new String[0] : written.split(" ");
            return w.length == 3 ? new Owner(w[0], w[1], Long.parseLong(w[2]), written) : null;
        }
    }

    private final ReplicatedState ledger;
    private final Registers registers;
    private final String self;
    private final String peer;
    private final Clock clock;
    private final Wire wire;
    private final EventLog log;
    private final long leaseMs;
    private final long renewMs;
    private final long refreshMs;
    private final long born;
    private boolean voting;
    private long votingSince;
    /** As a voter: when each helm was last granted a lease, and until when it is granted none. */
    private final Map<String, Long> granted = new HashMap<>();

    private final Map<String, Long> barred = new HashMap<>();
    /** As an owner: this lease's name, and since when a majority stands behind it. */
    private final String process;

    private String life;
    private long lives;
    private long leasedSince = Long.MIN_VALUE / 2;
    private final Map<String, Owner> owners = new HashMap<>();
    private final Set<String> taking = new HashSet<>();
    private final Map<String, Long> terms = new HashMap<>();
    private long lastTerm;
    /** Slices that nobody had owned for as long as a register lives, each with its term. */
    private final Set<String> firstOwned = new HashSet<>();

    private boolean lapsed;
    private long wantedAt = Long.MIN_VALUE / 2;

    Slices(
            ReplicatedState ledger,
            Registers registers,
            String self,
            Clock clock,
            Wire wire,
            long quiet,
            long registerLife,
            EventLog log) {
        this.ledger = ledger;
        this.registers = registers;
        this.self = self;
        this.peer = RaftNode.addressOf(self);
        this.clock = clock;
        this.wire = wire;
        this.leaseMs = quiet / LEASE;
        this.renewMs = quiet / RENEWALS;
        this.refreshMs = registerLife / 4;
        this.born = clock.now();
        this.log = log;
        this.process = Long.toHexString((long) (clock.chance() * (1L << 48)));
        newLife();
    }

    /** The voters have changed: what those before a new one granted and promised it does not know. */
    void votersChanged() {
        boolean is = ledger.voterSinceIndexes().containsKey(self);
        if (is && !voting) {
            votingSince = clock.now();
        }
        voting = is;
    }

    void start() {
        clock.every(renewMs, this::renew);
        clock.every(refreshMs, this::refresh);
    }

    private void newLife() {
        life = process + "." + ++lives;
    }

    // ---- the lease

    /** Whether this helm may act for its slices now. */
    private boolean leased() {
        if (clock.now() - leasedSince < leaseMs * OWN_PART) {
            return true;
        }
        if (owners.values().stream().anyMatch(this::mine)) {
            // Others may have them from now on. What this helm asks for next is a lease of another name.
            owners.values().removeIf(this::mine);
            newLife();
            lapsed = true;
            log.log(Event.LEASE_LOST, "incarnation", lives);
        }
        return false;
    }

    private boolean mine(Owner o) {
        return o.peer.equals(peer) && o.life.equals(life);
    }

    private void renew() {
        leased();
        if (clock.now() - wantedAt >= leaseMs * WANTED
                || ledger.voterSinceIndexes().isEmpty()) {
            // Nobody asks for tokens: a fleet without limits pays nothing for them.
            return;
        }
        long sentAt = clock.now();
        String asLife = life;
        VoterSet group = ledger.voterSet();
        Set<String> yes = new HashSet<>();
        BiConsumer<String, Boolean> one = (voter, ok) -> {
            if (ok && yes.add(voter) && group.hasMajority(yes::contains) && asLife.equals(life)) {
                leasedSince = Math.max(leasedSince, sentAt);
                if (lapsed) {
                    lapsed = false;
                    log.log(Event.LEASE_REGAINED, "incarnation", lives);
                }
            }
        };
        all("lease/renew", JsonNodeFactory.instance.objectNode().put("holder", peer), one);
    }

    /** Asks every voter, this one among them. */
    private void all(String kind, ObjectNode m, BiConsumer<String, Boolean> one) {
        for (String voter : List.copyOf(ledger.voterSinceIndexes().keySet())) {
            if (voter.equals(self)) {
                one.accept(voter, decide(kind, m));
            } else {
                wire.call(
                        RaftNode.addressOf(voter),
                        kind,
                        m.deepCopy().put("to", voter).put("epoch", ledger.votersChangedIndex()),
                        leaseMs,
                        a -> one.accept(voter, a != null && a.path("ok").asBoolean()));
            }
        }
    }

    /** As a voter: grants a lease, or promises to grant none. */
    private boolean decide(String kind, JsonNode m) {
        String holder = m.path("holder").asText();
        long now = clock.now();
        if (now - Math.max(born, votingSince) < leaseMs * BARRED) {
            // What an earlier life of this process, or the voters before it, granted or promised is not known here.
            return false;
        }
        if (kind.equals("lease/renew")) {
            if (barred.getOrDefault(holder, now) > now) {
                return false;
            }
            granted.put(holder, now);
            return true;
        }
        if (now - granted.getOrDefault(holder, born) < leaseMs) {
            return false;
        }
        barred.put(holder, now + leaseMs * BARRED);
        return true;
    }

    /** Serves the leases' messages; false where the kind is another's. */
    boolean serve(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        if (!kind.startsWith("lease/")) {
            return false;
        }
        boolean fits = self.equals(m.path("to").asText()) && m.path("epoch").asLong() == ledger.votersChangedIndex();
        answer.accept(JsonNodeFactory.instance.objectNode().put("ok", fits && decide(kind, m)));
        return true;
    }

    // ---- owners

    /** The fence under which this helm owns the slice and may act for it now, or -1. */
    long fence(String slice) {
        Owner o = owners.get(slice);
        return o != null && mine(o) && leased() && mine(o) ? o.fence : -1;
    }

    /** Whom to ask for the slice instead, as far as that is known; null where this helm should take it. */
    String owner(String slice) {
        Owner o = owners.get(slice);
        return o == null || o.peer.equals(peer) || silent(o.peer) ? null : o.peer;
    }

    /** A voter knows who still asks for leases. */
    private boolean silent(String holder) {
        return clock.now() - granted.getOrDefault(holder, born) >= leaseMs;
    }

    /** Slices owned here. */
    int owned() {
        return (int) owners.values().stream().filter(this::mine).count();
    }

    /** Numbers the times that this process took the slice from somebody else; what it granted since then it knows. */
    long term(String slice) {
        return terms.getOrDefault(slice, 0L);
    }

    /** Whether nobody granted anything of this slice before this term. */
    boolean first(String slice) {
        return firstOwned.contains(slice + " " + term(slice));
    }

    /** Whoever was thought to own the slice does not: the register is read again. */
    void mistaken(String slice) {
        Owner o = owners.get(slice);
        if (o != null && !mine(o)) {
            owners.remove(slice);
        }
        seek(slice);
    }

    /** Somebody asks for tokens here. */
    void wanted() {
        boolean first = clock.now() - wantedAt >= leaseMs * WANTED;
        wantedAt = clock.now();
        if (first) {
            renew();
        }
    }

    /** Finds out who owns a slice, and takes it where nobody does or its owner is silent. */
    void seek(String slice) {
        if (!leased() || !taking.add(slice)) {
            return;
        }
        String id = register(slice);
        registers.read(id, leaseMs, r -> {
            Owner o = Owner.read(r.value());
            if (r.outcome() == Registers.Outcome.UNSURE) {
                taking.remove(slice);
            } else if (o == null) {
                take(slice, null, r.value());
            } else if (o.peer.equals(peer)) {
                // An earlier life's, or one of this process that has run out: that it is over nobody knows better.
                take(slice, o, o.written);
            } else {
                owners.put(slice, o);
                if (silent(o.peer)) {
                    bar(slice, o);
                } else {
                    taking.remove(slice);
                }
            }
        });
    }

    private void bar(String slice, Owner o) {
        VoterSet group = ledger.voterSet();
        Set<String> yes = new HashSet<>();
        Set<String> no = new HashSet<>();
        boolean[] over = new boolean[1];
        all("lease/bar", JsonNodeFactory.instance.objectNode().put("holder", o.peer), (voter, ok) -> {
            (ok ? yes : no).add(voter);
            if (over[0]) {
                return;
            }
            if (group.hasMajority(yes::contains)) {
                over[0] = true;
                take(slice, o, o.written);
            } else if (!group.hasMajority(v -> !no.contains(v))) {
                over[0] = true;
                taking.remove(slice);
                // A voter has heard it: it is not silent, only not here. Barring it again and again would keep it so.
                barred.remove(o.peer);
                granted.put(o.peer, clock.now());
            }
        });
    }

    private void take(String slice, Owner before, String instead) {
        // Where the register has been forgotten the fence still has to rise.
        Owner mine = Owner.read(peer + " " + life + " " + (before == null ? clock.wall() : before.fence + 1));
        registers.set(register(slice), mine.written, instead, leaseMs, r -> {
            taking.remove(slice);
            if (r.outcome() == Registers.Outcome.WON && mine.life.equals(life)) {
                owners.put(slice, mine);
                if (before == null || !before.peer.equals(peer) || !before.life.startsWith(process + ".")) {
                    terms.put(slice, ++lastTerm);
                }
                if (before == null) {
                    firstOwned.add(slice + " " + lastTerm);
                }
                log.log(Event.SINGLETON_ROLE_ACQUIRED, "role", slice, "fencingToken", mine.fence);
            }
        });
    }

    /** Registers are forgotten in time; those of slices that are owned are written anew before. */
    private void refresh() {
        for (String slice : new ArrayList<>(owners.keySet())) {
            Owner o = owners.get(slice);
            if (mine(o) && leased() && taking.add(slice)) {
                take(slice, o, o.written);
            }
        }
    }

    private static String register(String slice) {
        return slice.substring(Admission.SLICE.length()) + "/owner";
    }
}
