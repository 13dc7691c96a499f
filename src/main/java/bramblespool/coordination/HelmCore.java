package bramblespool.coordination;

import bramblespool.protocol.Orders;
import bramblespool.raft.RaftNode;
import bramblespool.raft.RaftTimeouts;
import bramblespool.raft.StateMachine;
import bramblespool.state.DurableStore;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.Platform;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/** A helm: the cell of its zone, and a member of the agreement above the cells. */
public final class HelmCore implements Wire.Service, StateMachine {
    /** Ratios to {@code quiet}. */
    private static final int RENEWALS = 6;

    private static final int CALLS = 10;
    private static final int JOINS = 12;
    /** Ratio to {@code drain} of the time for which news heard is gathered before it is passed on. */
    private static final int GATHER = 100;
    /** Readings of a list within {@code drain}: time for one that fails, and for a new reader to start over. */
    private static final int READS = 4;
    /** Rounds of duties within one renewal. */
    private static final int ROUNDS = 4;
    /** Key of the duty of reading a zone's list. */
    private static final String LIST = "list/";
    /** Key of the duty of leasing out a service's retry slack. */
    private static final String SLACK = "slack/";

    private static final int MOST_ASKED = 1000;
    /** Ratio to {@code quiet} of the lateness from which a helm counts as not keeping up. */
    private static final int BEHIND = 40;
    /** Ratio to {@code apply} of the time for which words to another voter's registers are gathered. */
    private static final int REGISTER_GATHER = 150;
    /** Renewals missed before a session is closed. */
    private static final double CLOSES = 2.6;

    private static final class Session {
        String peer;
        long life;
        long n;
        long seen;
        boolean open;
    }

    private final Clock clock;
    private final Wire wire;
    private final EventLog log;
    private Settings settings;
    private final ReplicatedState ledger = new ReplicatedState();
    public final News news;
    public final RaftNode raft;
    public final Commit commit;
    public final Registers registers;
    private final Quota quota;
    private final Slices slices;
    /** Whether this process founded its disk: nothing was ever granted before it. */
    private final boolean fresh;
    /** The duty of reporting usage, or null where the platform wants none. */
    private final Metering metering;

    private boolean toldVoter;
    private final Terms terms;
    /** Owners of slices that did not answer, and when. */
    private final Map<String, Long> silentSince = new HashMap<>();

    private final Map<String, Session> sessions = new HashMap<>();
    private final Set<String> members = new HashSet<>();
    private final Map<String, Long> published = new HashMap<>();
    private final long callMs;
    private final Duties duties;
    private final Strain strain;
    private final Slack slack;
    /** Keys of duties that somebody has asked for; only these need a holder. */
    private final Set<String> asked = new HashSet<>();
    /** The zones' lists, where the platform keeps them; each is read by whoever holds that duty. */
    private final Map<String, Roster> rosters = new TreeMap<>();

    private boolean gone;
    private boolean publishing;

    /** {@code platform}: who keeps the list of servers, or null where they tell of themselves. */
    public HelmCore(
            Settings settings,
            DurableStore vault,
            String incarnation,
            Clock clock,
            Wire wire,
            Platform platform,
            EventLog log) {
        this.settings = settings;
        this.clock = clock;
        this.wire = wire;
        this.log = log;
        Settings.Bounds b = settings.bounds();
        this.callMs = b.quietPeriodMs() / CALLS;
        this.terms = new Terms(log);
        this.news = new News(clock, wire, callMs, b.drainMs() / GATHER, true, new News.Circle() {
            @Override
            public Collection<String> tell(News.Source from) {
                // Whoever hears a thing first tells the other cells.
                List<String> out = ownSides();
                if (from != News.Source.CELL) {
                    out.addAll(helms());
                }
                return out;
            }

            @Override
            public List<String> compare() {
                List<String> sides = ownSides();
                return sides.isEmpty() || clock.chance() < 0.5 ? List.copyOf(helms()) : sides;
            }

            @Override
            public boolean inTouch() {
                return HelmCore.this.inTouch();
            }
        });
        news.author(Fleet.HELM + settings.node(), this::tellSelf);
        news.listen(this::heard);
        this.fresh = vault.load() == null && settings.isBootstrap() && !vault.hasQuarantinedDatabase();
        if (vault.load() == null) {
            List<String> founders =
                    settings.seedPeers().stream().map(settings::peerAddressOf).toList();
            boolean founds = fresh && founders.contains(settings.peerAddress());
            vault.initialize(
                    founds ? RaftNode.FOUNDER_INCARNATION : incarnation,
                    founds ? List.of(RaftNode.foundingEntry(founders)) : List.of());
        }
        DurableStore.PersistentState saved = vault.load();
        String member = settings.peerAddress() + "#" + saved.incarnation();
        long registerLife = Operations.keeps(b.idempotencyKeyWindowMs());
        this.registers = new Registers(
                ledger,
                member,
                settings.tolerableMachineLosses() + 1,
                vault,
                clock,
                wire,
                b.applyMs() / REGISTER_GATHER,
                callMs / 2,
                registerLife,
                log);
        this.slices = new Slices(ledger, registers, member, clock, wire, b.quietPeriodMs(), registerLife, log);
        this.quota = new Quota(clock, b.rateLimitWindowMs(), b.rateLimitExcess(), b.rateLimitAllowance());
        this.raft = new RaftNode(
                member,
                settings.controlAddress(),
                Math.max(1, settings.seedPeers().size()),
                settings.tolerableMachineLosses(),
                saved,
                clock,
                wire,
                vault,
                this,
                RaftTimeouts.of(b.quietPeriodMs(), b.catchUpMs()),
                log);
        this.commit = new Commit(
                raft,
                ledger,
                this::phase,
                () -> new HashSet<>(members),
                clock,
                Commit.Times.of(b.acknowledgementMs(), b.applyMs()),
                log);
        if (platform != null && settings.discovery() == Settings.Discovery.PLATFORM) {
            for (String zone : settings.zones().keySet()) {
                rosters.put(
                        zone, new Roster(zone, clock, platform, wire, this::hems, b.drainMs() / READS, callMs, log));
            }
        }
        this.slack = new Slack(clock, b.retryAllowance(), b.retryWindowMs());
        this.duties = new Duties(raft, ledger, this::keys, Metering.DUTY::equals);
        this.metering = platform == null || settings.usageReporting() == null
                ? null
                : new Metering(
                        settings,
                        fresh,
                        clock,
                        wire,
                        platform,
                        raft,
                        ledger,
                        duties,
                        registers,
                        news,
                        this::helms,
                        () -> members,
                        callMs / 2,
                        log);
        this.strain = new Strain(clock, b.quietPeriodMs() / BEHIND, log);
    }

    public void start() {
        long renew = settings.bounds().quietPeriodMs() / RENEWALS;
        tellSelf();
        raft.start();
        strain.start();
        registers.start();
        slices.start();
        if (metering != null) {
            metering.start();
        }
        clock.soon(this::join);
        clock.every(renew, () -> {
            sweep();
            registers.settle();
            if (toldVoter != ledger.voterSinceIndexes().containsKey(raft.localId())) {
                tellSelf();
            }
        });
        clock.every(renew, () -> {
            if (!strain.strained()) {
                news.mend();
            }
        });
        clock.every(renew / ROUNDS, this::dutyRound);
    }

    private void join() {
        raft.requestJoin(helms());
        clock.after(settings.bounds().quietPeriodMs() / JOINS, this::join);
    }

    /** The duties there are: those the log knows, and those that were asked for since. */
    private Set<String> keys() {
        Set<String> out = new TreeSet<>(ledger.singletonRoles().keySet());
        rosters.keySet().forEach(z -> out.add(LIST + z));
        out.addAll(asked);
        if (metering != null) {
            out.add(Metering.DUTY);
        }
        return out;
    }

    /** Leases tries of a service's slack: as its owner, or by asking the owner, or the leader to name one. */
    private void lease(JsonNode m, Consumer<ObjectNode> answer) {
        String service = m.path("service").asText();
        ReplicatedState.SingletonRole d = ledger.singletonRoles().get(SLACK + service);
        String owner = d == null ? raft.leaderId() == null ? null : RaftNode.addressOf(raft.leaderId()) : d.owner();
        if (settings.peerAddress().equals(owner)) {
            if (d == null && asked.size() < MOST_ASKED) {
                asked.add(SLACK + service);
            }
            answer.accept(JsonNodeFactory.instance
                    .objectNode()
                    .put("life", slack.lifeMs())
                    .put("tries", d == null || !raft.hasLeaderContact() ? 0 : slack.grant(service, d.fencingToken())));
        } else if (owner == null || m.path("passed").asBoolean()) {
            answer.accept(null);
        } else {
            wire.call(
                    owner,
                    "lease",
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("service", service)
                            .put("passed", true),
                    callMs / 2,
                    a -> answer.accept(a instanceof ObjectNode o ? o : null));
        }
    }

    // ---- admission of requests: tokens and claims

    /** A side asks for a token of its tenant's, for the claim of a register, or both; the token first. */
    private void admit(JsonNode m, Consumer<ObjectNode> answer) {
        if (!m.has("tenant")) {
            claim(m, JsonNodeFactory.instance.objectNode(), answer);
            return;
        }
        Consumer<ObjectNode> then = t -> {
            if ("go".equals(t.path("verdict").asText())) {
                claim(m, t, answer);
            } else {
                answer.accept(t);
            }
        };
        slices.wanted();
        String slice = m.path("slice").asText();
        String owner = slices.owner(slice);
        if (slices.fence(slice) >= 0
                || owner == null
                || clock.now() - silentSince.getOrDefault(owner, -callMs) < callMs) {
            then.accept(orSpare(token(m), m));
            return;
        }
        ObjectNode passed = JsonNodeFactory.instance
                .objectNode()
                .put("slice", slice)
                .put("tenant", m.path("tenant").asText())
                .put("epoch", m.path("epoch").asLong())
                .put("rate", m.path("rate").asDouble())
                .put("burst", m.path("burst").asDouble());
        wire.call(owner, "token", passed, Math.max(1, m.path("within").asLong() / 3), a -> {
            if (a == null) {
                silentSince.put(owner, clock.now());
            }
            // One that is merely slow is not asked about: that would make it slower.
            if (a != null && a.path("verdict").asText().equals("none")) {
                slices.mistaken(slice);
            }
            then.accept(orSpare(a instanceof ObjectNode o ? o : nobody(), m));
        });
    }

    private static ObjectNode nobody() {
        return JsonNodeFactory.instance.objectNode().put("verdict", "none");
    }

    /** Where nobody can say for the owner, a voter grants its part of what the rule allows beyond the limit. */
    private ObjectNode orSpare(ObjectNode token, JsonNode m) {
        if (!"none".equals(token.path("verdict").asText())
                || gone
                || !ledger.voterSinceIndexes().containsKey(raft.localId())) {
            return token;
        }
        // One more than there are, for a change of voters that has not been heard of here.
        boolean granted = quota.spare(
                m.path("tenant").asText(),
                ledger.voterSinceIndexes().size() + 1,
                m.path("rate").asDouble(),
                m.path("burst").asDouble());
        return granted ? JsonNodeFactory.instance.objectNode().put("verdict", "go") : token;
    }

    /** Takes a token as the owner of the tenant's slice; where nobody owns it, or nobody that is heard, this helm takes it. */
    private ObjectNode token(JsonNode m) {
        ObjectNode out = JsonNodeFactory.instance.objectNode();
        String slice = m.path("slice").asText();
        long fence = gone ? -1 : slices.fence(slice);
        if (fence < 0) {
            if (!gone && slices.owner(slice) == null) {
                slices.seek(slice);
            }
            return out.put("verdict", "none");
        }
        long wait = quota.take(
                m.path("tenant").asText(),
                slices.term(slice),
                slices.first(slice),
                m.path("epoch").asLong(),
                m.path("rate").asDouble(),
                m.path("burst").asDouble());
        out.put("owner", settings.peerAddress()).put("fence", fence);
        return wait == 0 ? out.put("verdict", "go") : out.put("verdict", "over").put("wait", wait);
    }

    private void claim(JsonNode m, ObjectNode out, Consumer<ObjectNode> answer) {
        if (!m.path("register").isTextual()) {
            answer.accept(out.put("verdict", "go"));
            return;
        }
        registers.set(
                m.path("register").asText(),
                m.path("claim").asText(),
                m.path("instead").isTextual() ? m.path("instead").asText() : null,
                Math.max(1, m.path("within").asLong() * 4 / 5),
                r -> {
                    switch (r.outcome()) {
                        case WON -> out.put("verdict", "go");
                        case HELD -> out.put("verdict", "held").put("stands", r.value());
                        default -> out.put("verdict", "none");
                    }
                    answer.accept(out);
                });
    }

    private void dutyRound() {
        duties.check();
        boolean inTouch = raft.hasLeaderContact();
        rosters.forEach((zone, r) -> {
            ReplicatedState.SingletonRole d = ledger.singletonRoles().get(LIST + zone);
            r.hold(
                    inTouch && !gone && d != null && d.owner().equals(settings.peerAddress()),
                    d == null ? 0 : d.fencingToken());
            r.leaderless(!inTouch && !gone && inLine(LIST + zone));
            r.check();
        });
    }

    /** Whether this helm is among the first in line for a key: so many that one of them is left after the losses to be borne. */
    private boolean inLine(String key) {
        long mine = Rendezvous.weight(key, settings.peerAddress());
        return helms().stream().filter(h -> Rendezvous.weight(key, h) > mine).count()
                <= settings.tolerableMachineLosses();
    }

    /** The hems whose sessions stand. */
    private List<Roster.Hem> hems() {
        List<Roster.Hem> out = new ArrayList<>();
        for (String node : members) {
            News.Item i = news.get(Fleet.SIDE + node);
            if (i == null || i.body().path("gone").asBoolean()) {
                continue;
            }
            Set<String> holds = new HashSet<>();
            for (JsonNode d : i.body().path("doors")) {
                for (String id : d.path("servers").asText().split(" ")) {
                    holds.add(id);
                }
            }
            out.add(new Roster.Hem(
                    node,
                    i.life(),
                    i.body().path("peer").asText(),
                    i.body().path("zone").asText(),
                    holds));
        }
        return out;
    }

    public void settings(Settings fresh) {
        settings = fresh;
    }

    public ReplicatedState ledger() {
        return ledger;
    }

    private void tellSelf() {
        toldVoter = ledger.voterSinceIndexes().containsKey(raft == null ? "" : raft.localId());
        news.tell(JsonNodeFactory.instance
                .objectNode()
                .put("peer", settings.peerAddress())
                .put("control", settings.controlAddress())
                .put("zone", settings.zone())
                .put("gone", gone)
                .put("voter", toldVoter));
    }

    private void heard(News.Item i) {
        if (i.key().startsWith(Fleet.SESSION)) {
            String node = i.key().substring(Fleet.SESSION.length());
            if (i.body().path("open").asBoolean()) {
                members.add(node);
            } else {
                members.remove(node);
            }
            if (!i.body().path("helm").asText().equals(settings.peerAddress())) {
                sessions.remove(node);
            }
        }
    }

    private Set<String> helms() {
        Set<String> out = Fleet.helms(news, settings);
        out.remove(settings.peerAddress());
        return out;
    }

    private List<String> ownSides() {
        List<String> out = new ArrayList<>();
        for (Session s : sessions.values()) {
            if (s.open) {
                out.add(s.peer);
            }
        }
        return out;
    }

    // ---- sessions

    private ObjectNode session(JsonNode m) {
        String node = m.path("node").asText();
        long life = m.path("life").asLong();
        long n = m.path("n").asLong();
        ObjectNode out = JsonNodeFactory.instance.objectNode();
        News.Item known = news.get(Fleet.SESSION + node);
        Session s = sessions.get(node);
        boolean renews = s != null && s.open && s.life == life && s.n == n;
        if (metering != null && m.has("usage")) {
            metering.told(node, m.path("usage"), out);
        }
        if (m.path("end").asBoolean()) {
            if (renews) {
                close(node, s);
            }
            return out.put("ok", true).put("same", true);
        }
        if (!renews) {
            if (known != null && (known.life() > life || known.life() == life && known.seq() >= n * 2)) {
                return out.put("ok", false).put("life", known.life()).put("n", known.seq() / 2);
            }
            s = new Session();
            s.peer = m.path("peer").asText();
            s.life = life;
            s.n = n;
            s.open = true;
            sessions.put(node, s);
            log.log(Event.SESSION_OPENED, "proxy", node);
            tellSession(node, s);
        }
        s.seen = clock.now();
        boolean touch = inTouch();
        if (touch) {
            out.put("term", raft.leaderTerm());
        }
        return out.put("ok", true)
                .put("touch", touch)
                .put("same", news.hash().equals(m.path("hash").asText()));
    }

    /** Whether this helm's news is of late: it hears who leads, or a majority has lately answered it. */
    private boolean inTouch() {
        return raft.hasLeaderContact() && (!raft.isLeader() || raft.hasLease());
    }

    private void tellSession(String node, Session s) {
        news.tell(
                Fleet.SESSION + node,
                s.life,
                s.n * 2 + (s.open ? 0 : 1),
                JsonNodeFactory.instance
                        .objectNode()
                        .put("helm", settings.peerAddress())
                        .put("weft", s.peer)
                        .put("open", s.open));
    }

    private void close(String node, Session s) {
        s.open = false;
        log.log(Event.SESSION_CLOSED, "proxy", node);
        tellSession(node, s);
    }

    private void sweep() {
        long limit = (long) (settings.bounds().quietPeriodMs() / RENEWALS * CLOSES);
        long now = clock.now();
        Map.copyOf(sessions).forEach((node, s) -> {
            if (s.open && now - s.seen > limit) {
                close(node, s);
            }
        });
    }

    // ---- phases, through the cells

    private void phase(ObjectNode message, Set<String> wefts, long timeoutMs, Consumer<Commit.Acks> answer) {
        Commit.Acks acks = new Commit.Acks(new HashSet<>(), new HashSet<>());
        if (wefts.isEmpty()) {
            answer.accept(acks);
            return;
        }
        Map<String, Set<String>> byCell = new HashMap<>();
        for (String w : wefts) {
            News.Item i = news.get(Fleet.SESSION + w);
            if (i != null) {
                byCell.computeIfAbsent(i.body().path("helm").asText(), k -> new LinkedHashSet<>())
                        .add(w);
            }
        }
        int[] open = {byCell.size()};
        boolean[] over = {false};
        Runnable finish = () -> {
            if (!over[0]) {
                over[0] = true;
                answer.accept(acks);
            }
        };
        Consumer<JsonNode> one = a -> {
            if (a != null) {
                a.path("ok").forEach(n -> acks.confirmed().add(n.asText()));
                a.path("refused").forEach(n -> acks.refused().add(n.asText()));
                raft.observeTerm(a.path("term").asLong());
            }
            if (--open[0] == 0) {
                finish.run();
            }
        };
        byCell.forEach((cell, nodes) -> {
            ObjectNode m = message.deepCopy();
            ArrayNode list = m.putArray("wefts");
            nodes.forEach(list::add);
            m.put("within", timeoutMs * 4 / 5);
            if (cell.equals(settings.peerAddress())) {
                cell(m, one::accept);
            } else {
                wire.call(cell, "cell", m, timeoutMs, one);
            }
        });
    }

    /** The cell's part: hands the phase to its wefts and gathers their answers. */
    private void cell(JsonNode m, Consumer<ObjectNode> answer) {
        ObjectNode out = JsonNodeFactory.instance.objectNode();
        ArrayNode ok = out.putArray("ok");
        ArrayNode refused = out.putArray("refused");
        terms.heard(raft.leaderTerm());
        if (!terms.take("cell", m)) {
            answer.accept(out.put("term", terms.highest()));
            return;
        }
        ObjectNode plain = ((ObjectNode) m).deepCopy();
        plain.remove(List.of("wefts", "within"));
        int[] open = {1};
        Runnable one = () -> {
            if (--open[0] == 0) {
                answer.accept(out);
            }
        };
        for (JsonNode w : m.path("wefts")) {
            Session s = sessions.get(w.asText());
            if (s == null || !s.open) {
                continue;
            }
            open[0]++;
            wire.call(s.peer, "phase", plain, m.path("within").asLong(), a -> {
                if (a != null && a.path("ok").asBoolean()) {
                    ok.add(w.asText());
                } else if (a != null && a.path("refused").asBoolean()) {
                    refused.add(w.asText());
                }
                if (a != null && a.path("term").asLong() > m.path("term").asLong()) {
                    terms.heard(a.path("term").asLong());
                    out.put("term", terms.highest());
                }
                one.run();
            });
        }
        one.run();
    }

    // ---- what is agreed

    @Override
    public void apply(long index, JsonNode entry) {
        long votersSince = ledger.votersChangedIndex();
        ledger.apply(index, entry);
        publishSoon();
        if (ledger.votersChangedIndex() != votersSince) {
            // The group changes no further until whoever is new has read what the others hold.
            clock.soon(registers::settle);
            slices.votersChanged();
        }
    }

    @Override
    public ObjectNode snapshot() {
        return ledger.snapshot();
    }

    @Override
    public void restore(JsonNode data) {
        ledger.restore(data);
        slices.votersChanged();
        publishSoon();
    }

    @Override
    public boolean isSynced() {
        return registers.settled();
    }

    @Override
    public void onLeadershipChanged(boolean leads) {
        commit.leading(leads);
    }

    /** Several entries applied at once are told of once: only where they end counts. */
    private void publishSoon() {
        if (!publishing) {
            publishing = true;
            clock.soon(() -> {
                publishing = false;
                publish();
            });
        }
    }

    /** Tells in the news what the ledger holds. */
    private void publish() {
        if (ledger.current().epoch() > 0) {
            news.tell(
                    Fleet.ORDER,
                    ledger.current().epoch(),
                    ledger.phase().ordinal(),
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("epoch", ledger.current().epoch())
                            .put(
                                    "stamp",
                                    RoutingConfiguration.stampOf(
                                            ledger.current().compressedDocument()))
                            .put("old", ledger.previous().epoch())
                            .put("phase", ledger.phase().name()));
        }
        tellUnconfirmed();
        ledger.evacuations().forEach((zone, e) -> {
            if (published.getOrDefault(zone, 0L) < e.index()) {
                published.put(zone, e.index());
                news.tell(
                        Fleet.EVAC + zone,
                        e.index(),
                        0,
                        JsonNodeFactory.instance.objectNode().put("on", e.isEvacuated()));
            }
        });
    }

    /** The cell of a side that has not confirmed may be cut off: the leader tells such a side itself. */
    private void tellUnconfirmed() {
        News.Item order = news.get(Fleet.ORDER);
        if (!raft.isLeader() || order == null) {
            return;
        }
        for (String node : commit.unconfirmed()) {
            News.Item session = news.get(Fleet.SESSION + node);
            if (session != null && members.contains(node)) {
                news.pass(session.body().path("weft").asText(), List.of(order));
            }
        }
    }

    // ---- the operator

    public void change(Orders.Change change, Consumer<Orders.Outcome> done) {
        if (!raft.isLeader()) {
            done.accept(Orders.Outcome.unclear("not the leader"));
            return;
        }
        commit.submit(change, done);
    }

    public void evacuate(String zone, boolean on, Consumer<Boolean> done) {
        ReplicatedState.Evacuation e = ledger.evacuations().get(zone);
        // What is proposed and not agreed yet may be the opposite.
        if (raft.isLeader() && !raft.hasUnappliedEntries() && (e == null ? !on : e.isEvacuated() == on)) {
            raft.confirmLeadership(done);
            return;
        }
        raft.propose(ReplicatedState.entry("evac").put("zone", zone).put("on", on), done);
    }

    /** The newest version, confirmed by a majority; null where that fails. */
    public void read(Consumer<ReplicatedState.Version> done) {
        raft.confirmLeadership(ok -> done.accept(ok ? ledger.current() : null));
    }

    // ---- peers

    @Override
    public void serve(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        if (raft.handleRequest(kind, m, answer)
                || registers.serve(kind, m, answer)
                || slices.serve(kind, m, answer)
                || metering != null && metering.serve(kind, m, answer)) {
            return;
        }
        if (strain.strained() && kind.equals(News.DIGEST)) {
            // Whoever compares will ask again; what waits behind it cannot.
            answer.accept(null);
            return;
        }
        if (news.serve(kind, m, answer)) {
            return;
        }
        switch (kind) {
            case "session" -> answer.accept(session(m));
            case "lease" -> lease(m, answer);
            case "admit" -> admit(m, answer);
            case "token" -> answer.accept(token(m));
            case "raise" -> answer.accept(raise(m));
            case "cell" -> cell(m, answer);
            case "doc" ->
                answer.accept(doc(m.path("epoch").asLong(), m.path("stamp").asText()));
            case "ping" -> answer.accept(JsonNodeFactory.instance.objectNode().put("touch", inTouch()));
            case "status" -> answer.accept(status());
            default -> {
                log.logOnChange(Event.MESSAGE_DROPPED, kind, "kind", kind, "cause", "unknown");
                answer.accept(null);
            }
        }
    }

    /** A holder asks for a higher fence, and names the term in which it takes this helm for the leader. */
    private ObjectNode raise(JsonNode m) {
        long term = m.path("term").asLong();
        raft.observeTerm(term);
        if (term == raft.currentTerm()) {
            duties.raise(m.path("key").asText(), m.path("fence").asLong());
        } else {
            log.log(Event.STALE_TERM_REJECTED, "kind", "raise", "term", term, "knownTerm", raft.currentTerm());
        }
        return JsonNodeFactory.instance.objectNode().put("term", raft.currentTerm());
    }

    private ObjectNode doc(long epoch, String stamp) {
        for (ReplicatedState.Version v : List.of(ledger.current(), ledger.previous())) {
            if (v.epoch() == epoch
                    && v.compressedDocument() != null
                    && (stamp.isEmpty() || stamp.equals(RoutingConfiguration.stampOf(v.compressedDocument())))) {
                return JsonNodeFactory.instance.objectNode().put("doc", v.compressedDocument());
            }
        }
        return null;
    }

    private ObjectNode status() {
        ObjectNode n = JsonNodeFactory.instance
                .objectNode()
                .put("role", "helm")
                .put("node", settings.node())
                .put("zone", settings.zone())
                .put("self", raft.localId())
                .put("term", raft.currentTerm())
                .put("leader", raft.leaderId())
                .put("leads", raft.isLeader())
                .put("epoch", ledger.current().epoch())
                .put("phase", ledger.phase().name())
                .put("applied", raft.lastApplied())
                .put("late", strain.late())
                .put("strained", strain.strained());
        ArrayNode v = n.putArray("voters");
        raft.voters().forEach(v::add);
        ArrayNode f = n.putArray("followers");
        raft.memberProgress()
                .forEach(p -> f.addObject()
                        .put("member", p.memberId())
                        .put("match", p.matchIndex())
                        .put("behind", p.entriesBehind())
                        .put("sent", p.transferredChars())
                        .put("size", p.transferChars())
                        .put("snapshots", p.snapshotsSent())
                        .put("silentMs", p.silentMs())
                        .put("differs", p.hasDivergedState()));
        ArrayNode u = n.putArray("unconfirmed");
        commit.unconfirmed().forEach(u::add);
        ObjectNode ev = n.putObject("evacuations");
        ledger.evacuations().forEach((z, e) -> ev.put(z, e.isEvacuated()));
        ObjectNode held = n.putObject("duties");
        ledger.singletonRoles().forEach((key, d) -> held.put(key, d.owner()));
        n.put("slices", slices.owned()).put("slicesInAll", Admission.SLICES);
        n.put("registers", registers.held())
                .put("rounds", registers.rounds())
                .put("unsure", registers.unsure())
                .put("settled", registers.settled());
        if (metering != null) {
            n.set("usage", metering.status());
        }
        ObjectNode denied = n.putObject("overLimit");
        quota.denied().forEach(denied::put);
        ObjectNode sides = n.putObject("sides");
        for (News.Item i : news.under(Fleet.SIDE)) {
            String node = i.key().substring(Fleet.SIDE.length());
            ObjectNode w = i.body().deepCopy();
            sides.set(node, w.put("member", members.contains(node)));
        }
        return n;
    }

    /** Leaves the group's work: hands over the lead and its place, and tells its wefts to turn elsewhere. */
    public void leave() {
        gone = true;
        tellSelf();
        raft.leave();
    }

    /** Whether the group can go on without this helm as well as with it. */
    public boolean left() {
        return raft.hasLeft();
    }

    /** Takes no further part. */
    public void stop() {
        raft.stop();
    }
}
