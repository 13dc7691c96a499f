package bramblespool.raft;

import bramblespool.state.Ledger;
import bramblespool.state.Log;
import bramblespool.state.Log.Event;
import bramblespool.state.Vault;
import bramblespool.state.Voters;
import bramblespool.transport.Clock;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Agreement among the helms: Raft with pre-vote, check-quorum, snapshots, joint consensus and leadership transfer.
 * A member is its peer address and the incarnation kept on its disk, written {@code address#incarnation}.
 */
public final class Raft {
    enum Role {
        FOLLOWER,
        CANDIDATE,
        LEADER
    }

    /** The incarnation of a disk that took part in the founding. */
    public static final String FOUNDER = "0";
    /** Entries applied, or how many times the snapshot's size they are, before the log is folded into one at a checkpoint. */
    private static final int FOLD = 128;

    private static final int FOLD_RATIO = 2;

    final String self;
    final String control;
    final Clock clock;
    final Wire wire;
    final Vault vault;
    final StateMachine machine;
    final Times times;
    final Log log;
    final RaftLog entries;
    final Election election;
    final Replication replication;
    final Reads reads;
    final Rights rights;
    final Configuration configuration;
    final Checkpoints checkpoints;
    final int copies;
    /** The state here is the group's, as far as is known; and the snapshot on the disk was whole at the start. */
    private boolean fit = true;

    private boolean whole = true;

    private long term;
    private String vote;
    /** The highest index known to be agreed, and the highest one that the machine has had. */
    long commit;

    private long applied;
    Role role = Role.FOLLOWER;
    private String leader;
    private String leaderControl;
    private long leaderHeard;
    private long joinedAt;
    private long leaderTerm;
    private boolean ready;
    private boolean stopped;
    private boolean leaving;
    private boolean left;
    long leadingSince;
    /** Who led before this member did, and when it was last heard. */
    private String before;

    private long beforeHeard;
    private final Map<Long, Consumer<Boolean>> waiting = new HashMap<>();

    /** {@code losses}: how many disks may be lost at one time with nothing agreed lost and a majority left. */
    public Raft(
            String self,
            String control,
            int founders,
            int losses,
            Vault.Saved saved,
            Clock clock,
            Wire wire,
            Vault vault,
            StateMachine machine,
            Times times,
            Log log) {
        this.self = self;
        this.control = control;
        this.clock = clock;
        this.wire = wire;
        this.vault = vault;
        this.machine = machine;
        this.times = times;
        this.log = log;
        this.copies = losses + 1;
        this.term = saved.term();
        this.vote = saved.vote();
        this.entries = new RaftLog(saved);
        this.applied = entries.base();
        this.checkpoints = new Checkpoints(this);
        if (entries.snapshot().data() != null) {
            String state = Seal.open(entries.snapshot().data());
            if (state == null) {
                fit = false;
                whole = false;
                log.say(Event.SNAPSHOT_REFUSED, "index", entries.base(), "why", "digest, at the start");
            } else {
                machine.restore(RaftLog.parse(state));
                checkpoints.add(entries.base(), Seal.brief(entries.snapshot().data()));
            }
        }
        this.commit = Math.max(entries.base(), Math.min(saved.commit(), entries.last()));
        this.leaderHeard = clock.now() - times.election();
        this.election = new Election(this);
        this.replication = new Replication(this);
        this.reads = new Reads(this);
        this.rights = new Rights(this);
        this.configuration = new Configuration(this, Math.max(founders, 2 * losses + 1));
    }

    public void start() {
        apply();
        tick();
    }

    /** Gives up the lead, if need be to nobody, and takes no further part. */
    public void stop() {
        stopped = true;
        if (role == Role.LEADER) {
            stepDown(term, "stopping");
        }
    }

    /**
     * This member is to end: it campaigns no more, hands over the lead, and asks the next leader to be let go.
     * {@link #left} tells when it may go.
     */
    public void leave() {
        leaving = true;
        askToGo();
    }

    /** Whether this member may end without the group missing it. */
    public boolean left() {
        return left;
    }

    boolean leaving() {
        return leaving;
    }

    private void askToGo() {
        if (stopped || left) {
            return;
        }
        clock.after(times.heartbeat(), this::askToGo);
        if (role == Role.LEADER) {
            return;
        }
        if (!voters().contains(self)) {
            left = true;
        } else if (leader != null && !leader.equals(self)) {
            wire.call(
                    addressOf(leader),
                    "leave",
                    message(leader).put("id", self),
                    times.call(),
                    a -> left |= a != null && a.path("ok").asBoolean());
        }
    }

    /** Leadership transfer: a voter that has everything campaigns at once, and this member leads no more. */
    private void handOver() {
        String heir = replication.heir();
        if (heir == null) {
            return;
        }
        ObjectNode m = message(heir).put("term", term);
        configuration.learners().forEach(m.putArray("learners")::add);
        log.say(Event.HANDED_OVER, "term", term, "to", heir);
        stepDown(term, "leaving");
        wire.call(addressOf(heir), "lead", m, times.call(), a -> {});
    }

    public boolean leads() {
        return role == Role.LEADER && ready;
    }

    /** The control address of the leader, as far as one has been heard of lately; or null. */
    public String leaderControl() {
        return role == Role.LEADER ? leads() ? control : null : inTouch() ? leaderControl : null;
    }

    public String self() {
        return self;
    }

    public long term() {
        return term;
    }

    /** The highest term in which this member has led or heard of who leads. */
    public long leaderTerm() {
        return leaderTerm;
    }

    public long applied() {
        return applied;
    }

    /** Whether this member holds entries that are not agreed yet, as far as it knows. */
    public boolean pending() {
        return entries.last() > applied;
    }

    public String leaderId() {
        return role == Role.LEADER ? self : leader;
    }

    /** The addresses of the members that answer this leader, its own among them. */
    public List<String> alive() {
        List<String> out = new ArrayList<>();
        for (String v : voters()) {
            Follower f = replication.follower(v);
            if (v.equals(self) || f != null && clock.now() - f.heard < times.election() * 2) {
                out.add(addressOf(v));
            }
        }
        return out;
    }

    /** Whether this member leads or has lately heard from who does. */
    public boolean inTouch() {
        return leads() || role == Role.FOLLOWER && leader != null && clock.now() - leaderHeard < times.election() * 2;
    }

    /** When a member was heard by this leader, or by this member before it led. */
    long lastHeard(String id, long now) {
        return role == Role.LEADER && id.equals(before) ? Math.min(now, beforeHeard) : now;
    }

    /** Whether this member may go on with a duty that it holds for itself alone. */
    public boolean hasRight() {
        return rights.held();
    }

    /** The addresses of the voters whose right may still stand, as the leader knows. */
    public List<String> withRight() {
        return rights.standing();
    }

    /** How far the others are, where this member leads. */
    public List<Progress> progress() {
        return role == Role.LEADER ? replication.progress() : List.of();
    }

    /** The state here is not what the group agreed on: this member does not lead before it has taken another's. */
    void unfit() {
        fit = false;
    }

    boolean fit() {
        return fit;
    }

    /** All who have a vote, as the newest entry that names them says, agreed or not. */
    public List<String> voters() {
        return group().all();
    }

    /** The voters, or the change under way from some to others. */
    public Voters group() {
        return entries.voters();
    }

    /** The first entry of every founding member: the founders, whom all derive alike from their settings. */
    public static Vault.Entry founding(List<String> addresses) {
        return new Vault.Entry(
                1,
                0,
                RaftLog.members(Voters.read(addresses.stream()
                                .sorted()
                                .map(a -> a + "#" + FOUNDER)
                                .toList()))
                        .toString());
    }

    public static String addressOf(String id) {
        return id.substring(0, id.indexOf('#'));
    }

    // ---- time

    private void tick() {
        if (stopped) {
            return;
        }
        // Not in step with the others: whose time to campaign comes in one tick split the votes, again and again.
        double apart = role == Role.LEADER ? 1 : 0.5 + clock.chance();
        clock.after(Math.max(1, (long) (times.heartbeat() / 2 * apart)), this::tick);
        long now = clock.now();
        if (role == Role.LEADER) {
            lead(now);
        } else if (!leaving
                && election.due(now)
                && now - leaderHeard >= times.election()
                && voters().contains(self)
                && healthy()
                && fit) {
            election.campaign(true);
        }
    }

    boolean healthy() {
        long since = vault.waitingSince();
        return !vault.failing() && (since < 0 || clock.now() - since < times.election());
    }

    boolean leaderNear() {
        return role == Role.LEADER || leader != null && clock.now() - leaderHeard < times.election();
    }

    private void lead(long now) {
        if (!healthy()) {
            stepDown(term, "disk");
            return;
        }
        if (!group().majority(v -> v.equals(self) || replication.heard(v, now - times.election() * 2))) {
            stepDown(term, "no quorum");
            return;
        }
        reads.expire(now);
        configuration.step(now);
        replication.replicate(false);
        if (leaving && leads() && replication.agreedWithout(self)) {
            handOver();
        }
    }

    // ---- roles

    void candidate() {
        term++;
        vote = self;
        role = Role.CANDIDATE;
        leader = null;
        leaderControl = null;
    }

    /** Gives its vote in the present term to that member, unless another one has it. */
    boolean voteFor(String candidate) {
        if (vote != null && !vote.equals(candidate)) {
            return false;
        }
        vote = candidate;
        return true;
    }

    void becomeLeader() {
        role = Role.LEADER;
        beforeHeard = leaderHeard;
        election.over();
        leader = self;
        leaderControl = control;
        leadingSince = clock.now();
        leaderTerm = term;
        ready = false;
        replication.clear();
        checkpoints.clear();
        log.say(Event.LEADING, "term", term);
        append(Ledger.entry("noop"), ok -> {
            if (ok && role == Role.LEADER) {
                ready = true;
                machine.leading(true);
            }
        });
    }

    void stepDown(long newTerm, String why) {
        boolean led = role == Role.LEADER;
        boolean newer = newTerm > term;
        if (newer) {
            term = newTerm;
            vote = null;
        }
        role = Role.FOLLOWER;
        replication.clear();
        if (led) {
            log.say(Event.STEPPED_DOWN, "term", term, "why", why);
            leader = null;
            leaderControl = null;
            configuration.clear();
            List<Consumer<Boolean>> lost = new ArrayList<>(waiting.values());
            waiting.clear();
            lost.addAll(reads.drain());
            if (ready) {
                ready = false;
                machine.leading(false);
            }
            lost.forEach(d -> d.accept(false));
        }
        election.postpone();
        if (newer) {
            persist(0, List.of(), null, () -> {});
        }
    }

    // ---- log

    void persist(long truncateFrom, List<Vault.Entry> added, Vault.Snapshot snapshot, Runnable done) {
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

    void append(ObjectNode entry, Consumer<Boolean> done) {
        Vault.Entry e = new Vault.Entry(entries.last() + 1, term, entry.toString());
        entries.add(e);
        waiting.put(e.index(), done);
        long inTerm = term;
        persist(0, List.of(e), null, () -> {
            if (term == inTerm && role == Role.LEADER) {
                replication.stored(e.index());
            }
        });
        replication.replicate(true);
    }

    /** Answers true once a majority has confirmed that this member still leads. */
    public void confirm(Consumer<Boolean> done) {
        reads.confirm(done);
    }

    void apply() {
        while (whole && applied < Math.min(commit, entries.last())) {
            applied++;
            Vault.Entry e = entries.get(applied);
            machine.apply(e.index(), RaftLog.parse(e.data()));
            if (applied % Checkpoints.EVERY == 0) {
                checkpoint();
            }
            Consumer<Boolean> w = waiting.remove(e.index());
            if (w != null) {
                w.accept(true);
            }
        }
    }

    /** All members fold at the same indices, so that one can go on with a snapshot that another had begun to send. */
    private void checkpoint() {
        String data = Seal.seal(machine.snapshot().toString());
        checkpoints.add(applied, Seal.brief(data));
        if (applied - entries.base() >= FOLD
                || entries.letters(entries.base() + 1, applied) >= FOLD_RATIO * data.length()) {
            fold(data);
        }
    }

    /** Folds all that is applied, at any index. */
    void fold() {
        fold(Seal.seal(machine.snapshot().toString()));
    }

    private void fold(String data) {
        entries.fold(applied, data);
        persist(0, List.of(), entries.snapshot(), () -> {});
        log.say(Event.SNAPSHOT_TAKEN, "index", entries.base());
    }

    /** Answers whether the entries behind the snapshot stay. */
    boolean restore(Vault.Snapshot s, String state) {
        boolean stay = entries.replace(s);
        commit = Math.max(commit, s.index());
        applied = s.index();
        machine.restore(RaftLog.parse(state));
        checkpoints.add(s.index(), Seal.brief(s.data()));
        fit = true;
        whole = true;
        return stay;
    }

    // ---- peers

    ObjectNode message(String to) {
        return JsonNodeFactory.instance.objectNode().put("to", to).put("from", self);
    }

    ObjectNode reply(boolean ok) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("term", term)
                .put("ok", ok)
                .put("settled", machine.settled());
    }

    /** Serves one of the group's messages; false where the kind is another's. */
    public boolean serve(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        switch (kind) {
            case "vote", "append", "part", "heartbeat", "lead", "leave" -> {
                if (stopped || !self.equals(m.path("to").asText())) {
                    log.once(
                            Event.MESSAGE_DROPPED,
                            kind + m.path("to").asText(),
                            "kind",
                            kind,
                            "cause",
                            "not for this life");
                    answer.accept(null);
                } else if (kind.equals("vote")) {
                    if (whole) {
                        election.voteAsked(m, answer);
                    } else {
                        answer.accept(reply(false));
                    }
                } else if (kind.equals("leave")) {
                    answer.accept(
                            reply(leads() && configuration.leave(m.path("id").asText())));
                } else if (kind.equals("lead")) {
                    if (m.path("term").asLong() == term
                            && role == Role.FOLLOWER
                            && voters().contains(self)
                            && healthy()
                            && fit
                            && !leaving) {
                        m.path("learners").forEach(l -> configuration.join(l.asText()));
                        election.take();
                    }
                    answer.accept(reply(true));
                } else {
                    fromLeader(kind, m, answer);
                }
                return true;
            }
            case "join" -> {
                if (leads()) {
                    configuration.join(m.path("id").asText());
                }
                answer.accept(reply(role == Role.LEADER));
                return true;
            }
            default -> {
                return false;
            }
        }
    }

    private void fromLeader(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        long t = m.path("term").asLong();
        if (t < term) {
            answer.accept(reply(false).put("hint", entries.last()));
            return;
        }
        if (t > term || role != Role.FOLLOWER) {
            stepDown(t, "another leads");
        }
        leader = m.path("from").asText();
        before = leader;
        leaderControl = m.path("control").asText();
        leaderHeard = clock.now();
        leaderTerm = term;
        election.postpone();
        election.over();
        rights.heard(leader, m);
        if (m.path("differs").asBoolean() && fit) {
            log.say(Event.STATE_DIFFERS, "member", self, "index", applied, "leader", leader);
            fit = false;
        }
        Consumer<ObjectNode> told = out -> {
            checkpoints.answer(m, out);
            if (!fit) {
                out.put("renew", entries.base());
            }
            answer.accept(out);
        };
        switch (kind) {
            case "part" -> replication.partAsked(m, told);
            case "heartbeat" -> {
                // It says nothing of the disk; but whoever has none that works is not to be counted on.
                if (healthy()) {
                    told.accept(reply(true));
                } else {
                    answer.accept(null);
                }
            }
            default -> {
                if (whole) {
                    replication.appendAsked(m, told);
                } else {
                    told.accept(reply(false).put("hint", 0));
                }
            }
        }
    }

    /** Somebody has heard of a leader in that term: a leader in a lower one is none any more. */
    public void heardOf(long newer) {
        if (newer > term && role == Role.LEADER) {
            stepDown(newer, "a higher term was heard of");
        }
    }

    /**
     * Asks to be taken in where nobody who leads feeds this member: it is new, or was replaced while it was away and cannot
     * know that.
     */
    public void join(Iterable<String> addresses) {
        if (stopped || leaving || role == Role.LEADER || leaderNear()) {
            return;
        }
        if (!voters().contains(self)) {
            log.once(Event.JOINING, self, "member", self);
        } else if (clock.now() - Math.max(leaderHeard, joinedAt) < times.absent() * 2) {
            // Most likely there is just nobody who leads.
            return;
        }
        joinedAt = clock.now();
        for (String a : addresses) {
            if (!a.equals(addressOf(self))) {
                wire.call(a, "join", JsonNodeFactory.instance.objectNode().put("id", self), times.call(), x -> {});
            }
        }
    }
}
