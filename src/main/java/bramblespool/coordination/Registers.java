package bramblespool.coordination;

import bramblespool.raft.RaftNode;
import bramblespool.state.DurableStore;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.VoterSet;
import bramblespool.transport.Clock;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Rewritable single-value registers without a log: each change is a round of Paxos with a comparison in it (CASPaxos).
 * The acceptors are the agreed voters; any helm may propose. Where nothing is known of a register, the voter that
 * rendezvous hashing names for its slice proposes without a prepare, under the lowest ballot: it writes the value to its
 * own disk before it sends it, so it never proposes two, and an acceptor takes such a ballot only into an empty register
 * and under the voters it knows to be in force.
 */
public final class Registers {
    /** How a round ended: the value is ours; another one stands; or nobody can tell, and it counts as not ours. */
    public enum Outcome {
        WON,
        HELD,
        UNSURE
    }

    public record Result(Outcome outcome, String value) {
        private static final Result UNKNOWN = new Result(Outcome.UNSURE, null);
    }

    /** Rounds that one proposal may take, where others propose at the same time. */
    private static final int ROUNDS = 6;
    /** A register's life in parts, for the removal of old words from the disk. */
    private static final int PARTS = 4;
    /** Registers in one message where a new voter reads them. */
    private static final int PAGE = 1000;
    /** The store's own mark: since which entry this voter has held all that those before it held. */
    private static final String MARK = "";

    private final ReplicatedState ledger;
    private final String self;
    private final boolean founder;
    private final int copies;
    private final Clock clock;
    private final Wire wire;
    private final DurableStore vault;
    private final EventLog log;
    private final long gatherMs;
    private final long callMs;
    private final long lifeMs;
    private final Acceptor acceptor;
    /** Words gathered for the next write, and whom to tell then; null where there are none. */
    private Map<String, DurableStore.StoredRegister> unkept;

    private List<Runnable> unkeptDone;
    private final Map<String, ArrayList<Item>> outgoing = new LinkedHashMap<>();
    /** Registers whose present value is known here to be chosen. */
    private final Set<String> chosen = new HashSet<>();

    private long settledSince;
    private boolean settling;
    private long rounds;
    private long unsure;

    /** One acceptor's part of one round. */
    private record Item(boolean prepare, String id, Ballot ballot, String value, Consumer<Reply> reply) {}

    /** Who has agreed and who has not, and whether that decides the round, under the voters that were in force when it began. */
    private final class Count {
        private final VoterSet group = ledger.voterSet();
        private final Set<String> yes = new HashSet<>();
        private final Set<String> no = new HashSet<>();

        boolean won() {
            return group.hasQuorum(yes::contains, copies);
        }

        boolean lost() {
            return !group.hasQuorum(v -> !no.contains(v), copies);
        }

        void add(String voter, Reply r) {
            (r != null && r.ok ? yes : no).add(voter);
        }
    }

    /** Takes one voter's answer. */
    private interface Each {
        void reply(String voter, Reply r);
    }

    /** What an acceptor answers: whether it agrees, and what it has accepted; or null where it is silent. */
    private record Reply(boolean ok, long seen, Ballot accepted, String value) {}

    /** {@code copies}: how many durable copies there must be at least; {@code lifeMs}: how long a value is kept. */
    public Registers(
            ReplicatedState ledger,
            String self,
            int copies,
            DurableStore vault,
            Clock clock,
            Wire wire,
            long gatherMs,
            long callMs,
            long lifeMs,
            EventLog log) {
        this.ledger = ledger;
        this.self = self;
        this.founder = self.endsWith("#" + RaftNode.FOUNDER_INCARNATION);
        this.copies = copies;
        this.vault = vault;
        this.clock = clock;
        this.wire = wire;
        this.gatherMs = gatherMs;
        this.callMs = callMs;
        this.lifeMs = lifeMs;
        this.log = log;
        List<DurableStore.StoredRegister> kept = vault.loadRegisters();
        this.acceptor = new Acceptor(clock, lifeMs, kept);
        for (DurableStore.StoredRegister k : kept) {
            if (k.registerId().equals(MARK)) {
                settledSince = Long.parseLong(k.acceptedValue());
            }
        }
    }

    public void start() {
        clock.every(lifeMs / PARTS, () -> vault.expireRegisters(PARTS + 1));
        clock.every(lifeMs / (PARTS * 16), () -> {
            acceptor.expire();
            chosen.removeIf(id -> acceptor.get(id) == null);
        });
    }

    // ---- what others may know

    /** How many registers this voter holds. */
    public int held() {
        return acceptor.size();
    }

    public long rounds() {
        return rounds;
    }

    public long unsure() {
        return unsure;
    }

    /** Whether this voter holds all that the voters before it held: a founder does, another one reads it first. */
    public boolean settled() {
        Long since = ledger.voterSinceIndexes().get(self);
        if (since == null) {
            return false;
        }
        return founder && since == 1 || settledSince == since;
    }

    /** The slice that a register belongs to, as its id tells before the slash. */
    static String sliceOf(String id) {
        return Admission.SLICE + id.substring(0, id.indexOf('/'));
    }

    private boolean mayGoFirst(String id) {
        if (!settled()) {
            return false;
        }
        List<String> addresses = ledger.voterSinceIndexes().keySet().stream()
                .map(RaftNode::addressOf)
                .toList();
        // Two voters at one address are a lost disk and its successor: neither goes first until one of them is gone.
        return Set.copyOf(addresses).size() == addresses.size()
                && RaftNode.addressOf(self).equals(Rendezvous.first(sliceOf(id), addresses));
    }

    // ---- proposing

    /**
     * Sets the register to {@code value} where it is empty, holds that already, or holds {@code instead}, which whoever
     * asks knows to have been given up for good. Answers once, in the time given.
     */
    public void set(String id, String value, String instead, long withinMs, Consumer<Result> done) {
        new Proposal(id, value, instead, false, withinMs, done).begin();
    }

    /** Agrees on a value for good: where one stands already that one, whosever it is. */
    public void agree(String id, String value, long withinMs, Consumer<Result> done) {
        new Proposal(id, value, null, true, withinMs, done).begin();
    }

    /** What a majority holds: a value that is then chosen, or null where none can have been chosen before. */
    public void read(String id, long withinMs, Consumer<Result> done) {
        new Proposal(id, null, null, true, withinMs, done).prepare();
    }

    private final class Proposal {
        private final String id;
        private final String value;
        private final String instead;
        /** Whether a value that stands is as good as the own one. */
        private final boolean any;

        private final Consumer<Result> done;
        private long number;
        private int tries;
        private int turn;
        private boolean over;

        Proposal(String id, String value, String instead, boolean any, long withinMs, Consumer<Result> done) {
            this.id = id;
            this.value = value;
            this.instead = instead;
            this.any = any;
            this.done = done;
            clock.after(withinMs, () -> end(Result.UNKNOWN));
        }

        private void end(Result r) {
            if (over) {
                return;
            }
            over = true;
            if (r.outcome == Outcome.UNSURE) {
                unsure++;
            }
            done.accept(r);
        }

        void begin() {
            rounds++;
            Acceptor.Cell c = acceptor.get(id);
            if (any && c != null) {
                prepare();
            } else if (c == null && mayGoFirst(id)) {
                accept(new Ballot(0, ledger.votersChangedIndex(), self), value);
            } else if (c != null && value.equals(c.value()) && chosen.contains(id)) {
                end(new Result(Outcome.WON, value));
            } else if (c != null
                    && c.value() != null
                    && !c.value().equals(value)
                    && !c.value().equals(instead)) {
                // It may not have been chosen; whoever asks is only told not to go on.
                end(new Result(Outcome.HELD, c.value()));
            } else {
                prepare();
            }
        }

        private void again(long seen) {
            number = Math.max(number, seen);
            if (over) {
                return;
            }
            if (++tries >= ROUNDS) {
                end(Result.UNKNOWN);
                return;
            }
            clock.after((long) (gatherMs * (1 + clock.chance() * (2 << tries))), () -> {
                if (!over) {
                    prepare();
                }
            });
        }

        private void prepare() {
            number++;
            Ballot b = new Ballot(number, ledger.votersChangedIndex(), self);
            int mine = ++turn;
            List<Reply> promises = new ArrayList<>();
            long[] seen = {0};
            Count count = new Count();
            toAll(true, b, null, (voter, r) -> {
                if (over || mine != turn) {
                    return;
                }
                count.add(voter, r);
                if (r != null && r.ok) {
                    promises.add(r);
                } else if (r != null) {
                    seen[0] = Math.max(seen[0], r.seen);
                }
                if (count.won()) {
                    turn++;
                    choose(b, promises);
                } else if (count.lost()) {
                    turn++;
                    again(seen[0]);
                }
            });
        }

        private void choose(Ballot b, List<Reply> promises) {
            Ballot newest = null;
            String stands = null;
            boolean two = false;
            for (Reply r : promises) {
                int c = r.accepted == null ? -1 : newest == null ? 1 : r.accepted.compareTo(newest);
                if (c > 0) {
                    newest = r.accepted;
                    stands = r.value;
                    two = false;
                } else if (c == 0 && !r.value.equals(stands)) {
                    two = true;
                }
            }
            if (b.epoch() != ledger.votersChangedIndex()) {
                again(b.number());
            } else if (two) {
                // Only where one copy has outlived the register's life and another has not: nobody may go on.
                end(Result.UNKNOWN);
            } else if (stands == null && value == null) {
                end(new Result(Outcome.WON, null));
            } else if (any && stands != null) {
                accept(b, stands);
            } else if (stands == null || stands.equals(value) || stands.equals(instead)) {
                accept(b, value);
            } else {
                end(new Result(Outcome.HELD, stands));
            }
        }

        private void accept(Ballot b, String v) {
            int mine = ++turn;
            long[] seen = {0};
            Count count = new Count();
            Each one = (voter, r) -> {
                if (over || mine != turn) {
                    return;
                }
                count.add(voter, r);
                if (r != null && !r.ok) {
                    seen[0] = Math.max(seen[0], r.seen);
                }
                if (count.won()) {
                    turn++;
                    if (acceptor.get(id) != null && b.equals(acceptor.get(id).accepted())) {
                        chosen.add(id);
                    }
                    end(new Result(Outcome.WON, v));
                } else if (count.lost()) {
                    turn++;
                    again(seen[0]);
                }
            };
            if (b.number() > 0) {
                toAll(false, b, v, one);
                return;
            }
            // The own word is on disk before anybody else hears the value: a later life of this helm knows of it.
            Item own = new Item(false, id, b, v, r -> {
                if (r != null && r.ok) {
                    for (String voter : ledger.voterSinceIndexes().keySet()) {
                        if (!voter.equals(self)) {
                            give(voter, new Item(false, id, b, v, o -> one.reply(voter, o)));
                        }
                    }
                }
                one.reply(self, r);
                if (r == null || !r.ok) {
                    ledger.voterSinceIndexes().keySet().forEach(voter -> one.reply(voter, null));
                }
            });
            local(List.of(own));
        }

        private void toAll(boolean prepare, Ballot b, String v, Each each) {
            if (ledger.voterSinceIndexes().isEmpty()) {
                end(Result.UNKNOWN);
                return;
            }
            for (String voter : List.copyOf(ledger.voterSinceIndexes().keySet())) {
                Item i = new Item(prepare, id, b, v, r -> each.reply(voter, r));
                if (voter.equals(self)) {
                    local(List.of(i));
                } else {
                    give(voter, i);
                }
            }
        }
    }

    // ---- messages

    /** Items for one voter that come within a short time go as one message. */
    private void give(String voter, Item item) {
        List<Item> waiting = outgoing.get(voter);
        if (waiting != null) {
            waiting.add(item);
            return;
        }
        ArrayList<Item> fresh = new ArrayList<>();
        fresh.add(item);
        outgoing.put(voter, fresh);
        clock.after(gatherMs, () -> send(voter, outgoing.remove(voter)));
    }

    private void send(String voter, List<Item> all) {
        List<Item> items = inForce(all);
        if (items.isEmpty()) {
            return;
        }
        ObjectNode m = JsonNodeFactory.instance.objectNode().put("to", voter).put("epoch", ledger.votersChangedIndex());
        ArrayNode list = m.putArray("items");
        for (Item i : items) {
            ArrayNode a = list.addArray().add(i.prepare ? 1 : 0).add(i.id).add(i.ballot.written());
            if (!i.prepare) {
                a.add(i.value);
            }
        }
        wire.call(RaftNode.addressOf(voter), "register", m, callMs, a -> {
            JsonNode replies = a == null ? null : a.path("items");
            for (int n = 0; n < items.size(); n++) {
                items.get(n).reply.accept(replies == null || n >= replies.size() ? null : read(replies.get(n)));
            }
        });
    }

    /** Rounds begun under other voters than those in force now end unsure, and are begun anew. */
    private List<Item> inForce(List<Item> items) {
        List<Item> out = new ArrayList<>(items.size());
        for (Item i : items) {
            if (i.ballot.epoch() == ledger.votersChangedIndex()) {
                out.add(i);
            } else {
                i.reply.accept(null);
            }
        }
        return out;
    }

    private static Reply read(JsonNode a) {
        return new Reply(
                a.path(0).asInt() == 1,
                a.path(1).asLong(),
                Ballot.read(a.path(2).asText("")),
                a.path(3).isTextual() ? a.path(3).asText() : null);
    }

    /** This voter's own answer to its own proposals. */
    private void local(List<Item> items) {
        if (!settled()) {
            clock.soon(() -> items.forEach(i -> i.reply.accept(null)));
            return;
        }
        List<Reply> replies = new ArrayList<>();
        take(items, replies, () -> {
            for (int n = 0; n < items.size(); n++) {
                items.get(n).reply.accept(replies.get(n));
            }
        });
    }

    /** Decides on items as an acceptor; what was decided may be told once it is on disk. */
    private void take(List<Item> items, List<Reply> replies, Runnable durable) {
        Map<String, DurableStore.StoredRegister> words = new LinkedHashMap<>();
        for (Item i : items) {
            Acceptor.Cell before = acceptor.get(i.id);
            boolean was = before != null && i.ballot.equals(before.accepted());
            // A round without a prepare is the right of one voter under these voters, and of nobody under others.
            boolean late = i.ballot.number() == 0 && i.ballot.epoch() != ledger.votersChangedIndex();
            boolean ok =
                    !late && (i.prepare ? acceptor.promise(i.id, i.ballot) : acceptor.accept(i.id, i.ballot, i.value));
            if (ok && !was) {
                words.put(i.id, acceptor.word(i.id));
                chosen.remove(i.id);
            }
            Acceptor.Cell c = acceptor.get(i.id);
            if (c == null) {
                replies.add(new Reply(false, 0, null, null));
                continue;
            }
            long seen = Math.max(
                    c.promised() == null ? 0 : c.promised().number(),
                    c.accepted() == null ? 0 : c.accepted().number());
            replies.add(new Reply(ok, seen, c.accepted(), c.value()));
        }
        // Also where nothing changed: what is told may still be on its way to the disk.
        keep(words, durable);
    }

    /** Words that come within a short time go to the disk as one write: each costs a small helm as much as a message. */
    private void keep(Map<String, DurableStore.StoredRegister> words, Runnable durable) {
        if (unkept == null) {
            unkept = new LinkedHashMap<>();
            unkeptDone = new ArrayList<>();
            clock.after(gatherMs / 2, () -> {
                List<Runnable> done = unkeptDone;
                List<DurableStore.StoredRegister> all = new ArrayList<>(unkept.values());
                unkept = null;
                unkeptDone = null;
                vault.saveRegisters(all, () -> done.forEach(Runnable::run));
            });
        }
        unkept.putAll(words);
        unkeptDone.add(durable);
    }

    /** Serves the registers' messages; false where the kind is another's. */
    public boolean serve(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        if (!kind.equals("register") && !kind.equals("registers")) {
            return false;
        }
        // Under other voters than those in force here a majority would be another one.
        boolean fits = self.equals(m.path("to").asText())
                && m.path("epoch").asLong() == ledger.votersChangedIndex()
                && settled();
        if (!fits) {
            answer.accept(JsonNodeFactory.instance.objectNode());
        } else if (kind.equals("registers")) {
            answer.accept(page(m.path("after").asText()));
        } else {
            asked(m, answer);
        }
        return true;
    }

    private void asked(JsonNode m, Consumer<ObjectNode> answer) {
        List<Item> items = new ArrayList<>();
        for (JsonNode a : m.path("items")) {
            items.add(new Item(
                    a.path(0).asInt() == 1,
                    a.path(1).asText(),
                    Ballot.read(a.path(2).asText()),
                    a.path(3).asText(),
                    null));
        }
        List<Reply> replies = new ArrayList<>();
        take(items, replies, () -> {
            ObjectNode out = JsonNodeFactory.instance.objectNode();
            ArrayNode list = out.putArray("items");
            for (int n = 0; n < items.size(); n++) {
                Reply r = replies.get(n);
                ArrayNode a = list.addArray().add(r.ok ? 1 : 0);
                // A proposer that was agreed with needs more only of a prepare.
                if (!r.ok || items.get(n).prepare) {
                    a.add(r.seen).add(r.accepted == null ? "" : r.accepted.written());
                    if (r.value != null) {
                        a.add(r.value);
                    }
                }
            }
            answer.accept(out);
        });
    }

    // ---- a new voter

    /** To be called now and then: a voter that is new reads what a majority of the others has accepted. */
    public void settle() {
        Long since = ledger.voterSinceIndexes().get(self);
        if (since == null || settled() || settling) {
            return;
        }
        settling = true;
        long epoch = ledger.votersChangedIndex();
        List<String> others = new ArrayList<>(ledger.voterSet().oldVoters());
        others.remove(self);
        int need = others.size() / 2 + 1;
        Map<String, DurableStore.StoredRegister> read = new TreeMap<>();
        int[] whole = {0};
        int[] open = {others.size()};
        Consumer<Boolean> one = ok -> {
            open[0]--;
            whole[0] += ok ? 1 : 0;
            if (whole[0] == need && ok) {
                List<DurableStore.StoredRegister> words = new ArrayList<>(read.values());
                words.add(new DurableStore.StoredRegister(MARK, null, null, Long.toString(since)));
                vault.saveRegisters(words, () -> {
                    settledSince = since;
                    settling = false;
                    log.log(Event.REGISTERS_SYNCED, "registers", words.size() - 1, "votersIndex", epoch);
                });
            } else if (open[0] == 0 && whole[0] < need) {
                settling = false;
            }
        };
        others.forEach(o -> read(o, epoch, "", read, one));
        if (others.isEmpty()) {
            settling = false;
        }
    }

    private void read(
            String from,
            long epoch,
            String after,
            Map<String, DurableStore.StoredRegister> into,
            Consumer<Boolean> done) {
        ObjectNode m = JsonNodeFactory.instance
                .objectNode()
                .put("to", from)
                .put("epoch", epoch)
                .put("after", after);
        wire.call(RaftNode.addressOf(from), "registers", m, callMs * 4, a -> {
            if (a == null || !a.path("items").isArray() || ledger.votersChangedIndex() != epoch) {
                done.accept(false);
                return;
            }
            String last = after;
            for (JsonNode i : a.path("items")) {
                last = i.path(0).asText();
                if (acceptor.copy(
                        last,
                        Ballot.read(i.path(1).asText()),
                        i.path(2).isTextual() ? i.path(2).asText() : null)) {
                    into.put(last, acceptor.word(last));
                }
            }
            if (a.path("more").asBoolean()) {
                read(from, epoch, last, into, done);
            } else {
                done.accept(true);
            }
        });
    }

    private ObjectNode page(String after) {
        ObjectNode out = JsonNodeFactory.instance.objectNode();
        ArrayNode list = out.putArray("items");
        List<String> ids = acceptor.after(after, PAGE);
        for (String id : ids) {
            Acceptor.Cell c = acceptor.get(id);
            ArrayNode a = list.addArray()
                    .add(id)
                    .add(c.accepted() == null ? "" : c.accepted().written());
            if (c.value() != null) {
                a.add(c.value());
            }
        }
        return out.put("more", ids.size() == PAGE);
    }
}
