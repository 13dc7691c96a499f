package bramblespool.coordination;

import bramblespool.state.Ledger;
import bramblespool.state.Log;
import bramblespool.state.Log.Event;
import bramblespool.state.Vault;
import bramblespool.transport.Clock;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Agreement among the helms: Raft with pre-vote, check-quorum, snapshots and one membership change at a time.
 * A member is its peer address and the incarnation kept on its disk, written {@code address#incarnation}.
 */
public final class Quorum {
    /** What the agreed entries act on. */
    public interface Machine {
        void apply(long index, JsonNode entry);

        ObjectNode snapshot();

        void restore(JsonNode data);

        /** Called with true once this helm leads and has applied all that was agreed before. */
        void leading(boolean leads);

        /** Whether this helm, as a voter, holds all that the voters before it had agreed besides the log. */
        boolean settled();
    }

    /** All in milliseconds, ratios to the settings' {@code quiet} and {@code stretch}. */
    public record Times(long election, long heartbeat, long call, long absent) {
        public static Times of(long quiet, long stretch) {
            return new Times(quiet / 5, quiet / 20, quiet / 8, stretch);
        }
    }

    private enum Role { FOLLOWER, CANDIDATE, LEADER }

    private static final class Peer {
        final String id;
        long next;
        long match;
        boolean busy;
        boolean again;
        long heard;
        long ackedSent;
        boolean settled;
        /** Messages sent to it, and the last one it has answered. */
        long sent;
        long answered;

        Peer(String id, long next, long now) {
            this.id = id;
            this.next = next;
            this.heard = now;
        }
    }

    private record Read(long at, Consumer<Boolean> done) {
    }

    /** The incarnation of a disk that took part in the founding. */
    public static final String FOUNDER = "0";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ENTRIES_AT_ONCE = 64;
    private static final int ANSWERS_KEPT = 8;
    /** Entries applied before the log is folded into a snapshot. */
    private static final int FOLD = 128;

    private final String self;
    private final String control;
    private final Clock clock;
    private final Wire wire;
    private final Vault vault;
    private final Machine machine;
    private final Times times;
    private final Log log;
    private final int wantedVoters;
    private final int copies;

    private long term;
    private String vote;
    private Vault.Snapshot base;
    private final List<Vault.Entry> entries = new ArrayList<>();
    private long durable;
    private long commit;
    private long applied;
    private Role role = Role.FOLLOWER;
    private String leader;
    private String leaderControl;
    private long leaderHeard;
    private long electionAt;
    private boolean ready;
    private boolean stopped;
    private long leadingSince;
    /** What {@link #voters} found; null after entries have changed. */
    private List<String> newestVoters;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<String, Long> learners = new HashMap<>();
    private final Map<Long, Consumer<Boolean>> waiting = new HashMap<>();
    private final List<Read> reads = new ArrayList<>();
    /** When this follower took which of its leader's messages, and since when its right counts. */
    private final Map<Long, Long> answers = new HashMap<>();
    private long rightTerm;
    private String lastLeader;
    private long lastLeaderTerm;
    private long rightSince = Long.MIN_VALUE / 2;

    /** {@code losses}: how many disks may be lost at one time with nothing agreed lost and a majority left. */
    public Quorum(String self, String control, int founders, int losses, Vault.Saved saved, Clock clock, Wire wire, Vault vault,
            Machine machine, Times times, Log log) {
        this.self = self;
        this.control = control;
        this.clock = clock;
        this.wire = wire;
        this.vault = vault;
        this.machine = machine;
        this.times = times;
        this.log = log;
        this.wantedVoters = Math.max(founders, 2 * losses + 1);
        this.copies = losses + 1;
        this.term = saved.term();
        this.vote = saved.vote();
        this.base = saved.snapshot() != null ? saved.snapshot() : new Vault.Snapshot(0, 0, List.of(), null);
        this.commit = base.index();
        this.applied = base.index();
        if (base.data() != null) {
            machine.restore(parse(base.data()));
        }
        for (Vault.Entry e : saved.entries()) {
            if (e.index() == last() + 1) {
                entries.add(e);
                newestVoters = null;
            }
        }
        this.durable = last();
        this.commit = Math.max(base.index(), Math.min(saved.commit(), last()));
        this.leaderHeard = clock.now() - times.election;
        this.electionAt = clock.now() + soon();
    }

    public void start() {
        apply();
        tick();
    }

    public void stop() {
        stopped = true;
        if (role == Role.LEADER) {
            stepDown(term, "stopping");
        }
    }

    public boolean leads() {
        return role == Role.LEADER && ready;
    }

    /** The control address of the leader as far as is known, or null. */
    public String leaderControl() {
        return role == Role.LEADER ? control : leaderControl;
    }

    public String self() {
        return self;
    }

    public long term() {
        return term;
    }

    public long applied() {
        return applied;
    }

    public String leaderId() {
        return role == Role.LEADER ? self : leader;
    }

    /** The addresses of the members that answer this leader, its own among them. */
    public List<String> alive() {
        List<String> out = new ArrayList<>();
        for (String v : voters()) {
            Peer p = peers.get(v);
            if (v.equals(self) || p != null && clock.now() - p.heard < times.election * 2) {
                out.add(addressOf(v));
            }
        }
        return out;
    }

    /** Whether this helm leads or has lately heard from who does. */
    public boolean inTouch() {
        return leads() || role == Role.FOLLOWER && leader != null && clock.now() - leaderHeard < times.election * 2;
    }

    /**
     * Ratios to the election's time: how long the right to a leased duty lasts, so long that it outlives the election after
     * a leader's death, and when others count it as lapsed.
     */
    private static final double RIGHT = 2;
    private static final double LAPSED = 2.2;
    /**
     * Who voted for a new leader had heard the last one no later than an election's time before, so no majority had. The
     * last leader's own right may stand for the rest of RIGHT; that of those it went on speaking to, for RIGHT more.
     */
    private static final double OLD_LEADER = RIGHT - 1 + LAPSED - RIGHT;
    private static final double OLD_FOLLOWER = 2 * RIGHT - 1 + LAPSED - RIGHT;

    /**
     * Whether this helm may go on with a duty that it holds for itself alone. A follower's right counts from its own answer
     * to a message of the leader that the leader has received since; so a message that was late, or lay waiting while this
     * process stood still, extends nothing. A leader grants it only while a majority answers, so that a right under an old
     * leader is over shortly after a new one is elected.
     */
    public boolean hasRight() {
        long now = clock.now();
        return leads() ? now - majoritySince() < times.election * RIGHT
                : role == Role.FOLLOWER && now - rightSince < times.election * RIGHT;
    }

    /** The addresses of the voters whose right may still stand, as the leader knows. */
    public List<String> withRight() {
        List<String> out = new ArrayList<>();
        for (String v : voters()) {
            Peer p = peers.get(v);
            if (v.equals(self) || clock.now() < rightEnds(v, p)) {
                out.add(addressOf(v));
            }
        }
        return out;
    }

    private double rightEnds(String voter, Peer p) {
        boolean led = voter.equals(lastLeader) && term == lastLeaderTerm + 1;
        double before = leadingSince + times.election * (led ? OLD_LEADER : OLD_FOLLOWER);
        // Whoever has answered this leader has none under the last one.
        return p == null || p.answered == 0 ? before : p.heard + times.election * LAPSED;
    }

    /** Since when a majority is known to have taken this helm for the leader: when what it answered was sent. */
    private long majoritySince() {
        List<String> voters = voters();
        long[] sent = new long[voters.size()];
        for (int i = 0; i < sent.length; i++) {
            Peer p = peers.get(voters.get(i));
            sent[i] = voters.get(i).equals(self) ? clock.now() : p == null ? 0 : p.ackedSent;
        }
        java.util.Arrays.sort(sent);
        return sent[sent.length - majority()];
    }

    /** The voters as the newest entry that names them says, agreed or not. */
    public List<String> voters() {
        if (newestVoters == null) {
            newestVoters = List.copyOf(findVoters());
        }
        return newestVoters;
    }

    private List<String> findVoters() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            String data = entries.get(i).data();
            if (data.startsWith("{\"k\":\"members\"")) {
                List<String> out = new ArrayList<>();
                parse(data).path("voters").forEach(v -> out.add(v.asText()));
                return out;
            }
        }
        return base.voters();
    }

    /** The first entry of every founding member: the founders, whom all derive alike from their settings. */
    public static Vault.Entry founding(List<String> addresses) {
        ObjectNode e = Ledger.entry("members");
        ArrayNode list = e.putArray("voters");
        addresses.stream().sorted().forEach(a -> list.add(a + "#" + FOUNDER));
        return new Vault.Entry(1, 0, e.toString());
    }

    public static String addressOf(String id) {
        return id.substring(0, id.indexOf('#'));
    }

    // ---- time

    private void tick() {
        if (stopped) {
            return;
        }
        clock.after(Math.max(1, times.heartbeat / 2), this::tick);
        long now = clock.now();
        if (role == Role.LEADER) {
            lead(now);
        } else if (now >= electionAt && now - leaderHeard >= times.election && voters().contains(self) && healthy()) {
            campaign(true);
        }
    }

    private boolean healthy() {
        long since = vault.waitingSince();
        return !vault.failing() && (since < 0 || clock.now() - since < times.election);
    }

    private void resetElection() {
        electionAt = clock.now() + times.election + (long) (clock.chance() * times.election);
    }

    /** Until a first try: short, for the pre-vote of a try too early disturbs nobody. */
    private long soon() {
        return times.heartbeat + (long) (clock.chance() * times.election / 2);
    }

    private void lead(long now) {
        if (!healthy()) {
            stepDown(term, "disk");
            return;
        }
        int near = 1;
        for (String v : voters()) {
            Peer p = peers.get(v);
            if (p != null && now - p.heard < times.election * 2) {
                near++;
            }
        }
        if (near < majority()) {
            stepDown(term, "no quorum");
            return;
        }
        reads.removeIf(r -> {
            boolean late = now - r.at > times.election;
            if (late) {
                r.done.accept(false);
            }
            return late;
        });
        learners.values().removeIf(t -> now - t > times.absent);
        membership(now);
        replicate(false);
    }

    // ---- elections

    private void campaign(boolean pre) {
        if (!pre) {
            term++;
            vote = self;
            role = Role.CANDIDATE;
            leader = null;
            leaderControl = null;
            log.say(Event.ELECTION, "term", term);
            resetElection();
        } else {
            electionAt = clock.now() + times.heartbeat + soon();
        }
        long asked = pre ? term + 1 : term;
        List<String> voters = voters();
        int[] granted = {0};
        boolean[] won = {false};
        Runnable mine = () -> {
            if (!won[0] && ++granted[0] >= majority() && (pre ? role != Role.LEADER && term + 1 == asked
                    : role == Role.CANDIDATE && term == asked)) {
                won[0] = true;
                if (pre) {
                    campaign(false);
                } else {
                    becomeLeader();
                }
            }
        };
        if (pre) {
            mine.run();
        } else {
            persist(0, List.of(), null, mine);
        }
        if (won[0]) {
            return;
        }
        for (String v : voters) {
            if (v.equals(self)) {
                continue;
            }
            ObjectNode m = message(v).put("term", asked).put("pre", pre).put("lastIndex", last()).put("lastTerm", lastTerm());
            wire.call(addressOf(v), "vote", m, times.call, a -> {
                if (a == null) {
                    return;
                }
                if (a.path("term").asLong() > Math.max(term, pre ? asked : term)) {
                    stepDown(a.path("term").asLong(), "newer term");
                } else if (a.path("ok").asBoolean()) {
                    mine.run();
                }
            });
        }
    }

    private void becomeLeader() {
        role = Role.LEADER;
        leader = self;
        leaderControl = control;
        leadingSince = clock.now();
        ready = false;
        peers.clear();
        log.say(Event.LEADING, "term", term);
        append(Ledger.entry("noop"), ok -> {
            if (ok && role == Role.LEADER) {
                ready = true;
                machine.leading(true);
            }
        });
    }

    private void stepDown(long newTerm, String why) {
        boolean led = role == Role.LEADER;
        boolean newer = newTerm > term;
        if (newer) {
            term = newTerm;
            vote = null;
        }
        role = Role.FOLLOWER;
        peers.clear();
        if (led) {
            log.say(Event.STEPPED_DOWN, "term", term, "why", why);
            leader = null;
            leaderControl = null;
            learners.clear();
            List<Consumer<Boolean>> lost = new ArrayList<>(waiting.values());
            waiting.clear();
            reads.forEach(r -> lost.add(r.done));
            reads.clear();
            if (ready) {
                ready = false;
                machine.leading(false);
            }
            lost.forEach(d -> d.accept(false));
        }
        resetElection();
        if (newer) {
            persist(0, List.of(), null, () -> { });
        }
    }

    // ---- log

    private long last() {
        return base.index() + entries.size();
    }

    private long lastTerm() {
        return termAt(last());
    }

    private long termAt(long index) {
        return index == base.index() ? base.term()
                : index < base.index() || index > last() ? -1 : entries.get((int) (index - base.index() - 1)).term();
    }

    private int majority() {
        return voters().size() / 2 + 1;
    }

    /**
     * How many durable copies make an entry agreed: a majority, and more than may be lost, also while the group is
     * still too small for the one to imply the other.
     */
    private int enough() {
        return Math.max(majority(), Math.min(copies, voters().size()));
    }

    private void persist(long truncateFrom, List<Vault.Entry> added, Vault.Snapshot snapshot, Runnable done) {
        vault.save(new Vault.Change(term, vote, commit, truncateFrom, List.copyOf(added), snapshot), done);
    }

    /** Proposes an entry; false means that this helm lost the lead, and says nothing about the entry. */
    public void propose(ObjectNode entry, Consumer<Boolean> done) {
        if (!leads()) {
            done.accept(false);
            return;
        }
        append(entry, done);
    }

    private void append(ObjectNode entry, Consumer<Boolean> done) {
        Vault.Entry e = new Vault.Entry(last() + 1, term, entry.toString());
        entries.add(e);
        newestVoters = null;
        waiting.put(e.index(), done);
        long inTerm = term;
        persist(0, List.of(e), null, () -> {
            if (term == inTerm && role == Role.LEADER) {
                durable = Math.max(durable, e.index());
                advance();
            }
        });
        replicate(true);
    }

    /** Answers true once a quorum has confirmed that this helm still leads. */
    public void confirm(Consumer<Boolean> done) {
        if (!leads()) {
            done.accept(false);
            return;
        }
        reads.add(new Read(clock.now(), done));
        if (!settleReads()) {
            replicate(true);
        }
    }

    private boolean settleReads() {
        List<Read> done = new ArrayList<>();
        for (Read r : reads) {
            int n = 1;
            for (String v : voters()) {
                Peer p = peers.get(v);
                if (p != null && p.ackedSent > r.at) {
                    n++;
                }
            }
            if (n >= majority()) {
                done.add(r);
            }
        }
        reads.removeAll(done);
        done.forEach(r -> r.done.accept(true));
        return !done.isEmpty() && reads.isEmpty();
    }

    private void advance() {
        List<String> voters = voters();
        long[] matches = new long[voters.size()];
        for (int i = 0; i < matches.length; i++) {
            Peer p = peers.get(voters.get(i));
            matches[i] = voters.get(i).equals(self) ? durable : p == null ? 0 : p.match;
        }
        java.util.Arrays.sort(matches);
        long agreed = matches[matches.length - enough()];
        if (agreed > commit && termAt(agreed) == term) {
            commit = agreed;
            apply();
            replicate(true);
        }
    }

    private void apply() {
        while (applied < Math.min(commit, last())) {
            applied++;
            Vault.Entry e = entries.get((int) (applied - base.index() - 1));
            machine.apply(e.index(), parse(e.data()));
            Consumer<Boolean> w = waiting.remove(e.index());
            if (w != null) {
                w.accept(true);
            }
        }
        if (applied - base.index() >= FOLD) {
            fold();
        }
    }

    private void fold() {
        List<String> votersThen = base.voters();
        int n = (int) (applied - base.index());
        for (int i = 0; i < n; i++) {
            if (entries.get(i).data().startsWith("{\"k\":\"members\"")) {
                votersThen = new ArrayList<>();
                for (JsonNode v : parse(entries.get(i).data()).path("voters")) {
                    votersThen.add(v.asText());
                }
            }
        }
        base = new Vault.Snapshot(applied, termAt(applied), votersThen, machine.snapshot().toString());
        entries.subList(0, n).clear();
        newestVoters = null;
        persist(0, List.of(), base, () -> { });
        log.say(Event.SNAPSHOT_TAKEN, "index", base.index());
    }

    // ---- replication

    private void replicate(boolean atOnce) {
        if (role != Role.LEADER) {
            return;
        }
        List<String> to = new ArrayList<>(voters());
        learners.keySet().forEach(l -> {
            if (!to.contains(l)) {
                to.add(l);
            }
        });
        to.remove(self);
        peers.keySet().removeIf(id -> !to.contains(id));
        long now = clock.now();
        for (String id : to) {
            Peer p = peers.computeIfAbsent(id, i -> new Peer(i, last() + 1, now));
            if (!p.busy) {
                if (atOnce || p.next <= last() || now - p.ackedSent >= times.heartbeat) {
                    send(p);
                }
            } else if (atOnce) {
                p.again = true;
            }
        }
    }

    private ObjectNode message(String to) {
        return JsonNodeFactory.instance.objectNode().put("to", to).put("from", self);
    }

    private void send(Peer p) {
        p.busy = true;
        p.again = false;
        long inTerm = term;
        long sentAt = clock.now();
        long number = ++p.sent;
        ObjectNode m = message(p.id).put("term", term).put("control", control).put("n", number).put("answered", p.answered)
                .put("right", clock.now() - majoritySince() < times.election * RIGHT);
        String kind;
        long upTo;
        if (p.next <= base.index()) {
            kind = "snap";
            upTo = base.index();
            m.put("index", base.index()).put("lastTerm", base.term()).put("data", base.data());
            ArrayNode v = m.putArray("voters");
            base.voters().forEach(v::add);
        } else {
            kind = "append";
            long prev = p.next - 1;
            upTo = Math.min(last(), prev + ENTRIES_AT_ONCE);
            m.put("prevIndex", prev).put("prevTerm", termAt(prev)).put("commit", commit);
            ArrayNode list = m.putArray("entries");
            for (long i = p.next; i <= upTo; i++) {
                Vault.Entry e = entries.get((int) (i - base.index() - 1));
                list.addObject().put("term", e.term()).put("data", e.data());
            }
        }
        wire.call(addressOf(p.id), kind, m, times.call, a -> {
            p.busy = false;
            if (role != Role.LEADER || term != inTerm || peers.get(p.id) != p) {
                return;
            }
            if (a == null) {
                return;
            }
            if (a.path("term").asLong() > term) {
                stepDown(a.path("term").asLong(), "newer term");
                return;
            }
            p.heard = clock.now();
            p.answered = number;
            p.settled = a.path("settled").asBoolean();
            p.ackedSent = Math.max(p.ackedSent, sentAt);
            if (a.path("ok").asBoolean()) {
                p.match = Math.max(p.match, upTo);
                p.next = p.match + 1;
                advance();
            } else {
                p.next = Math.max(1, Math.min(p.next - 1, a.path("hint").asLong() + 1));
                p.again = true;
            }
            settleReads();
            if (role == Role.LEADER && (p.again || p.next <= last() || !reads.isEmpty())) {
                send(p);
            }
        });
    }

    // ---- membership

    /** One step at a time towards the wanted voters. */
    private void membership(long now) {
        if (!ready || changing()) {
            return;
        }
        List<String> voters = voters();
        // A new voter first reads what only the others hold: one change more, and no majority might have it.
        if (voters.stream().anyMatch(v -> unsettled(v, now))) {
            return;
        }
        for (String v : voters) {
            boolean replaced = voters.stream().anyMatch(o -> !o.equals(v) && addressOf(o).equals(addressOf(v))
                    && caughtUp(o, now));
            if (replaced && !caughtUp(v, now)) {
                change(voters, v, null);
                return;
            }
        }
        String absent = null;
        if (now - leadingSince > times.absent) {
            for (String v : voters) {
                Peer p = peers.get(v);
                if (!v.equals(self) && (p == null || now - p.heard > times.absent)) {
                    absent = v;
                }
            }
        }
        if (absent != null && voters.size() > wantedVoters) {
            change(voters, absent, null);
            return;
        }
        for (String l : learners.keySet()) {
            if (voters.contains(l) || !caughtUp(l, now)) {
                continue;
            }
            boolean successor = voters.stream().anyMatch(v -> addressOf(v).equals(addressOf(l)));
            if (successor || voters.size() < wantedVoters || absent != null && voters.size() == wantedVoters) {
                change(voters, null, l);
                return;
            }
        }
    }

    private boolean unsettled(String id, long now) {
        Peer p = peers.get(id);
        return id.equals(self) ? !machine.settled() : p != null && now - p.heard < times.election && !p.settled;
    }

    private boolean changing() {
        for (long i = Math.max(commit, base.index()) + 1; i <= last(); i++) {
            if (entries.get((int) (i - base.index() - 1)).data().startsWith("{\"k\":\"members\"")) {
                return true;
            }
        }
        return false;
    }

    private boolean caughtUp(String id, long now) {
        if (id.equals(self)) {
            return true;
        }
        Peer p = peers.get(id);
        return p != null && p.match >= commit && now - p.heard < times.election;
    }

    private void change(List<String> voters, String less, String more) {
        ObjectNode e = Ledger.entry("members");
        ArrayNode list = e.putArray("voters");
        for (String v : voters) {
            if (!v.equals(less)) {
                list.add(v);
            }
        }
        if (more != null) {
            list.add(more);
        }
        log.say(more != null ? Event.MEMBER_ADDED : Event.MEMBER_REMOVED, "member", more != null ? more : less);
        append(e, ok -> { });
    }

    // ---- answers to peers

    /** Serves one of the quorum's messages; false where the kind is another's. */
    public boolean serve(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        switch (kind) {
            case "vote", "append", "snap" -> {
                if (stopped || !self.equals(m.path("to").asText())) {
                    log.once(Event.MESSAGE_DROPPED, kind + m.path("to").asText(), "kind", kind, "cause", "not for this life");
                    answer.accept(null);
                } else if (kind.equals("vote")) {
                    voteAsked(m, answer);
                } else {
                    fromLeader(kind, m, answer);
                }
                return true;
            }
            case "join" -> {
                if (role == Role.LEADER && ready) {
                    learners.put(m.path("id").asText(), clock.now());
                }
                answer.accept(reply(role == Role.LEADER));
                return true;
            }
            default -> {
                return false;
            }
        }
    }

    /** Asks to be taken in where this helm is no voter. */
    public void join(Iterable<String> addresses) {
        if (stopped || voters().contains(self)) {
            return;
        }
        log.once(Event.JOINING, self, "member", self);
        for (String a : addresses) {
            if (!a.equals(addressOf(self))) {
                wire.call(a, "join", JsonNodeFactory.instance.objectNode().put("id", self), times.call, x -> { });
            }
        }
    }

    private ObjectNode reply(boolean ok) {
        return JsonNodeFactory.instance.objectNode().put("term", term).put("ok", ok).put("settled", machine.settled());
    }

    private void voteAsked(JsonNode m, Consumer<ObjectNode> answer) {
        long asked = m.path("term").asLong();
        boolean pre = m.path("pre").asBoolean();
        boolean leaderNear = role == Role.LEADER || leader != null && clock.now() - leaderHeard < times.election;
        boolean upToDate = m.path("lastTerm").asLong() > lastTerm()
                || m.path("lastTerm").asLong() == lastTerm() && m.path("lastIndex").asLong() >= last();
        if (!healthy() || leaderNear || asked < term) {
            answer.accept(reply(false));
            return;
        }
        if (pre) {
            answer.accept(reply(asked > term && upToDate));
            return;
        }
        if (asked > term) {
            stepDown(asked, "vote asked");
        }
        String from = m.path("from").asText();
        if (!upToDate || vote != null && !vote.equals(from)) {
            answer.accept(reply(false));
            return;
        }
        vote = from;
        resetElection();
        ObjectNode yes = reply(true);
        persist(0, List.of(), null, () -> answer.accept(yes));
    }

    private void fromLeader(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        long t = m.path("term").asLong();
        if (t < term) {
            answer.accept(reply(false).put("hint", last()));
            return;
        }
        if (t > term || role != Role.FOLLOWER) {
            stepDown(t, "another leads");
        }
        leader = m.path("from").asText();
        lastLeader = leader;
        lastLeaderTerm = t;
        leaderControl = m.path("control").asText();
        leaderHeard = clock.now();
        resetElection();
        extendRight(m);
        if (kind.equals("snap")) {
            install(m, answer);
        } else {
            appendAsked(m, answer);
        }
    }

    private void extendRight(JsonNode m) {
        long n = m.path("n").asLong();
        if (rightTerm != term) {
            rightTerm = term;
            answers.clear();
        }
        Long answeredAt = answers.get(m.path("answered").asLong());
        if (answeredAt != null && m.path("right").asBoolean()) {
            rightSince = Math.max(rightSince, answeredAt);
        }
        answers.keySet().removeIf(k -> k < n - ANSWERS_KEPT);
        answers.put(n, clock.now());
    }

    private void appendAsked(JsonNode m, Consumer<ObjectNode> answer) {
        long prev = m.path("prevIndex").asLong();
        if (prev > last() || prev >= base.index() && termAt(prev) != m.path("prevTerm").asLong()) {
            answer.accept(reply(false).put("hint", Math.min(last(), prev - 1)));
            return;
        }
        List<Vault.Entry> added = new ArrayList<>();
        long truncate = 0;
        long at = prev;
        for (JsonNode n : m.path("entries")) {
            at++;
            if (at <= base.index()) {
                continue;
            }
            long et = n.path("term").asLong();
            if (at <= last() && termAt(at) != et) {
                truncate = at;
                durable = Math.min(durable, at - 1);
                entries.subList((int) (at - base.index() - 1), entries.size()).clear();
                newestVoters = null;
            }
            if (at > last()) {
                Vault.Entry e = new Vault.Entry(at, et, n.path("data").asText());
                entries.add(e);
                newestVoters = null;
                added.add(e);
            }
        }
        long newCommit = Math.min(m.path("commit").asLong(), at);
        ObjectNode yes = reply(true);
        if (added.isEmpty() && truncate == 0 && vault.waitingSince() < 0) {
            answer.accept(yes);
        } else {
            persist(truncate, added, null, () -> answer.accept(yes));
        }
        if (newCommit > commit) {
            commit = newCommit;
            apply();
        }
    }

    private void install(JsonNode m, Consumer<ObjectNode> answer) {
        long index = m.path("index").asLong();
        ObjectNode yes = reply(true);
        if (index <= commit) {
            answer.accept(yes);
            return;
        }
        List<String> voters = new ArrayList<>();
        m.path("voters").forEach(v -> voters.add(v.asText()));
        base = new Vault.Snapshot(index, m.path("lastTerm").asLong(), voters, m.path("data").asText());
        entries.clear();
        newestVoters = null;
        commit = index;
        applied = index;
        machine.restore(parse(base.data()));
        log.say(Event.SNAPSHOT_INSTALLED, "index", index);
        persist(1, List.of(), base, () -> answer.accept(yes));
    }

    private static JsonNode parse(String data) {
        try {
            return JSON.readTree(data);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an agreed entry cannot be read", e);
        }
    }
}
