package bramblespool.coordination;

import bramblespool.protocol.Beat;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A data plane daemon's part in the control plane: its session, its news, its side of the shadow commit, its gates. A
 * weft has one gate, to the server on its machine; a hem those of the servers it is steward of.
 */
public final class WeftCore implements Wire.Service {
    /** To how many near peers own news is passed on at once, besides the cell. */
    private static final int FANOUT = 2;
    /** Once in so many rounds news is compared with anybody, not with a near peer. */
    private static final int FAR = 8;
    /** How many tries at fetching a document fit into {@code apply}: it may be large and the link narrow. */
    private static final int FETCHES = 3;
    /** Ratio to {@code drain} of the time for which news heard is gathered before it is passed on. */
    private static final int GATHER = 100;
    /** Ratios to {@code quiet}. */
    private static final int RENEWALS = 6;

    private static final int CALLS = 10;
    /** For this part of its last time a daemon that is to end goes on taking work for its servers. */
    private static final double SERVES_ON = 0.6;

    /** Answers kept for repeats take at most this part of the machine's memory. */
    private static final int ANSWERS = 24;

    private final Clock clock;
    private final Wire wire;
    private final EventLog log;
    private Settings settings;
    public final News news;
    public final Fleet fleet;
    public final Shadow shadow;
    public final Gates gates = new Gates();
    /** A weft's one gate; null in a hem. */
    public final Gate gate;
    /** A hem's servers; null in a weft. */
    private final Steward steward;

    public final Budget budget;
    public final Admission admission;
    public final Operations operations;
    /** What runs began at the gates here, by tenant; null where nobody wants to know. */
    public final Tally tally;
    /** This side and its life, as its claims name it. */
    private final String claimer;

    private final Membership membership;
    private final Terms terms;
    private final Confirmation confirmation;
    private boolean saidUnconfirmed;
    private final long callMs;
    private boolean gone;
    private boolean retiring;
    private boolean fetching;
    private final Set<String> pinging = new LinkedHashSet<>();
    private long lastTick;

    public WeftCore(Settings settings, Clock clock, Wire wire, EventLog log) {
        this.settings = settings;
        this.clock = clock;
        this.wire = wire;
        this.log = log;
        Settings.Bounds b = settings.bounds();
        this.callMs = b.quietPeriodMs() / CALLS;
        this.news = new News(clock, wire, callMs, b.drainMs() / GATHER, false, new News.Circle() {
            @Override
            public Collection<String> tell(News.Source from) {
                return circle(from);
            }

            @Override
            public List<String> compare() {
                return others();
            }
        });
        this.claimer = settings.peerAddress() + " " + Long.toHexString((long) (clock.chance() * (1L << 52)));
        TrueTime time = new TrueTime(clock);
        this.tally = settings.usageReporting() == null
                ? null
                : new Tally(
                        time,
                        claimer,
                        settings.usageReporting().reportWindowMs(),
                        settings.usageReporting().usageLateMs());
        this.terms = new Terms(log);
        this.confirmation =
                new Confirmation(() -> Fleet.helms(news, this.settings), this::newest, news, wire, callMs, log);
        this.membership = new Membership(
                () -> this.settings,
                news,
                terms,
                confirmation,
                tally,
                time,
                clock,
                wire,
                callMs,
                b.quietPeriodMs() / RENEWALS,
                log);
        this.fleet = new Fleet(clock, settings.node(), settings.zone(), b.quietPeriodMs() / 3, gates::load);
        this.shadow = new Shadow(clock, b.applyMs() * 2 / 5, log);
        if (settings.isEdge()) {
            this.gate = null;
            this.steward = new Steward(clock, Gate.Rules.listed(settings), gates, this::tellSelf, log);
        } else {
            this.gate = new Gate(
                    clock,
                    Gate.Rules.beating(settings),
                    settings.applicationAddress(),
                    settings.serviceName(),
                    this::tellSelf,
                    log);
            this.steward = null;
            gates.add(gate);
        }
        this.budget = new Budget(b.retryRatio(), b.retryAllowance());
        this.operations =
                new Operations(clock, claimer, Operations.keeps(b.idempotencyKeyWindowMs()), answerBytes(settings));
        this.admission = new Admission(clock, wire, () -> Fleet.voters(news, this.settings), b.quietPeriodMs());
        news.author(Fleet.SIDE + settings.node(), this::tellSelf);
        news.listen(this::heard);
        shadow.onChange(this::versionChanged);
    }

    private static long answerBytes(Settings s) {
        long mb = s.memoryMb() > 0 ? s.memoryMb() : 256;
        return mb * (1 << 20) / ANSWERS;
    }

    public void start() {
        long renew = settings.bounds().quietPeriodMs() / RENEWALS;
        tellSelf();
        membership.renew();
        clock.every(renew, () -> {
            long now = clock.now();
            if (lastTick > 0 && now - lastTick > renew * 3) {
                log.log(Event.PROCESS_PAUSED, "pausedMs", now - lastTick);
                gates.paused();
            }
            lastTick = now;
            gates.check();
            membership.renew();
            catchUp();
            sayUnconfirmed();
            budget.wanting().forEach(this::lease);
        });
        clock.every(renew * 2, news::mend);
    }

    public void settings(Settings fresh) {
        settings = fresh;
    }

    public boolean ready() {
        return !gone && !retiring && shadow.real() != null && confirmation.lets(shadow.epoch()) && fleet.anyServer();
    }

    private void sayUnconfirmed() {
        if (!saidUnconfirmed && !confirmation.confirmed() && ready()) {
            saidUnconfirmed = true;
            log.log(Event.CONFIGURATION_UNCONFIRMED, "epoch", shadow.epoch());
        }
    }

    public boolean sessionOpen() {
        return membership.open();
    }

    public String helm() {
        return membership.helm();
    }

    // ---- news

    private void tellSelf() {
        ObjectNode self = JsonNodeFactory.instance
                .objectNode()
                .put("peer", settings.peerAddress())
                .put("inbound", settings.inboundAddress())
                .put("zone", settings.zone())
                .put("gone", gone);
        self.set("doors", gates.doors(gone));
        news.tell(self);
    }

    private void heard(News.Item i) {
        fleet.hear(i);
        budget.sharers(fleet.sides());
        if (i.key().equals(Fleet.EVAC + settings.zone())) {
            log.log(
                    Event.ZONE_EVACUATION_CHANGED,
                    "zone",
                    settings.zone(),
                    "evacuated",
                    i.body().path("on").asBoolean());
            gates.evacuated(i.body().path("on").asBoolean());
        } else if (i.key().equals(Fleet.ORDER)) {
            catchUp();
        }
    }

    /**
     * A cell tells all its sides and the other cells, so with a session only what the cell may not have heard goes to
     * it, and the own news to a few near peers besides. Without one, everything goes to a few near peers and a far one.
     */
    private Collection<String> circle(News.Source from) {
        Set<String> out = new LinkedHashSet<>();
        if (sessionOpen()) {
            if (from != News.Source.CELL) {
                out.add(helm());
            }
            if (from == News.Source.OWN) {
                some(fleet.peerAddresses(true), FANOUT, out);
            }
        } else {
            some(fleet.peerAddresses(true), FANOUT, out);
            some(fleet.peerAddresses(false), 1, out);
        }
        return out;
    }

    private void some(List<String> of, int n, Set<String> out) {
        for (int i = 0; i < n && !of.isEmpty(); i++) {
            out.add(of.remove((int) (clock.chance() * of.size())));
        }
    }

    /** Whom to compare news with, or ask: mostly near peers, for bytes between zones cost. */
    private List<String> others() {
        List<String> near = fleet.peerAddresses(true);
        if (!near.isEmpty() && clock.chance() * FAR > 1) {
            return near;
        }
        List<String> out = fleet.peerAddresses(false);
        out.addAll(Fleet.helms(news, settings));
        return out;
    }

    // ---- retry slack

    /** Asks for tries of a service's slack, for those to come. */
    private void lease(String service) {
        if (!sessionOpen()) {
            return;
        }
        wire.call(helm(), "lease", JsonNodeFactory.instance.objectNode().put("service", service), callMs, a -> {
            if (a != null) {
                // Counted from when it was asked for: the owner counts from no earlier.
                budget.leased(
                        service,
                        a.path("tries").asInt(),
                        clock.now() + a.path("life").asLong() - callMs);
            }
        });
    }

    // ---- versions

    private void versionChanged() {
        gates.warming(shadow.real());
    }

    /** The number of the newest version that the news tells of. */
    private long newest() {
        News.Item order = news.get(Fleet.ORDER);
        return order == null ? 0 : order.body().path("epoch").asLong();
    }

    /** Compares the version in force here with the one decided, as the news tells it, and acts on the difference. */
    private void catchUp() {
        News.Item order = news.get(Fleet.ORDER);
        if (order == null) {
            return;
        }
        long epoch = order.body().path("epoch").asLong();
        String stamp = order.body().path("stamp").asText();
        boolean marked = order.body().path("phase").asText().equals("MARKED");
        if (epoch == shadow.epoch()) {
            if (marked && shadow.tagging()) {
                shadow.markBit(epoch, stamp);
            }
            return;
        }
        if (epoch < shadow.epoch()) {
            return;
        }
        boolean swapped = marked || order.body().path("phase").asText().equals("SWAPPED");
        if (!swapped && shadow.real() != null) {
            // The commit is under way; should it not come by, the decided version is taken all the same.
            clock.after(settings.bounds().applyMs() / 4, () -> {
                if (shadow.epoch() < epoch) {
                    fetch(epoch, stamp, false);
                }
            });
            return;
        }
        if (shadow.shadow() != null && shadow.shadow().matches(epoch, stamp)) {
            shadow.adopt(shadow.shadow(), marked);
        } else {
            fetch(epoch, stamp, marked);
        }
    }

    private void fetch(long epoch, String stamp, boolean marked) {
        if (fetching) {
            return;
        }
        List<String> from = new ArrayList<>();
        if (sessionOpen()) {
            from.add(helm());
        }
        // Other helms have it, where the own one does not; near sides may be as far behind as this one. Without a
        // session the
        // helms may all be gone, and each that is silent costs time, which one that has nothing to give does not.
        List<String> helms = new ArrayList<>(Fleet.helms(news, settings));
        helms.removeAll(from);
        Set<String> more = new LinkedHashSet<>();
        if (!sessionOpen()) {
            some(fleet.peerAddresses(false), 2, more);
        }
        some(helms, 2, more);
        some(others(), 2, more);
        from.addAll(more);
        fetching = true;
        fetch(epoch, stamp, marked, from, 0);
    }

    private void fetch(long epoch, String stamp, boolean marked, List<String> from, int at) {
        if (at >= from.size() || shadow.epoch() >= epoch) {
            fetching = false;
            return;
        }
        wire.call(
                from.get(at),
                "doc",
                JsonNodeFactory.instance.objectNode().put("epoch", epoch).put("stamp", stamp),
                settings.bounds().applyMs() / FETCHES,
                a -> {
                    if (a != null && a.path("doc").isTextual()) {
                        try {
                            RoutingConfiguration got = RoutingConfiguration.compileCompressed(
                                    a.path("doc").asText());
                            if (got.matches(epoch, stamp)) {
                                shadow.adopt(got, marked);
                                fetching = false;
                                catchUp();
                                return;
                            }
                            log.logOnChange(
                                    Event.MESSAGE_DROPPED,
                                    "doc" + got.tag(),
                                    "kind",
                                    "doc",
                                    "cause",
                                    "another document");
                        } catch (RoutingConfiguration.InvalidConfigurationException e) {
                            log.logOnChange(
                                    Event.MESSAGE_DROPPED,
                                    "doc" + e.getMessage(),
                                    "kind",
                                    "doc",
                                    "cause",
                                    e.getMessage());
                        }
                    }
                    fetch(epoch, stamp, marked, from, at + 1);
                });
    }

    /** What a call's mark tells about the weft it came from: one that still tags with an older version is told the news. */
    public void marked(String from, String mark) {
        long tag = Shadow.tagged(mark);
        if (from == null || tag < 0 || tag >= shadow.epoch() || shadow.tagging()) {
            return;
        }
        Fleet.Peer m = fleet.known(from);
        if (m != null && m.address != null && clock.now() - m.told > callMs) {
            m.told = clock.now();
            news.compare(m.address);
        }
    }

    /** A peer refused a call for its mark or route: one of the two may be behind. */
    public void behind() {
        if (helm() != null && !fetching) {
            news.compare(helm());
        }
    }

    // ---- peers

    /** Asks a peer that has been silent whether it is there. */
    public void ask(Fleet.Peer m) {
        if (m.address == null || fleet.suspected(m) || !pinging.add(m.address)) {
            return;
        }
        wire.call(m.address, "ping", JsonNodeFactory.instance.objectNode(), callMs, a -> {
            pinging.remove(m.address);
            if (a == null) {
                fleet.suspect(m);
            } else {
                m.heard = clock.now();
            }
        });
    }

    @Override
    public void serve(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        if (news.serve(kind, m, answer)) {
            return;
        }
        switch (kind) {
            case "phase" -> answer.accept(phase(m));
            case "assign" -> answer.accept(steward == null ? null : steward.assign(m));
            case "ping" -> answer.accept(JsonNodeFactory.instance.objectNode());
            case "doc" ->
                answer.accept(doc(m.path("epoch").asLong(), m.path("stamp").asText()));
            case "operation" -> answer.accept(operation(m));
            case "status" -> answer.accept(status());
            default -> {
                log.logOnChange(Event.MESSAGE_DROPPED, kind, "kind", kind, "cause", "unknown");
                answer.accept(null);
            }
        }
    }

    // ---- operations

    /** Tells a side that found a claim of this one in the register what came of it. */
    private ObjectNode operation(JsonNode m) {
        ObjectNode out = JsonNodeFactory.instance.objectNode();
        String claim = m.path("claim").asText();
        if (!claim.startsWith(claimer + " ")) {
            // An earlier life's: what it did nobody can say.
            return out.put("state", Operations.State.UNKNOWN.name());
        }
        Operations.Operation o = operations.asked(m.path("register").asText(), claim);
        if (o == null) {
            return out.put("state", Operations.State.GIVEN.name());
        }
        if (!o.same(m.path("print").asLong())) {
            return out.put("state", "DIFFERS");
        }
        out.put("state", o.state().name());
        if (o.answer() != null) {
            out.put("code", o.answer().code()).put("body", o.answer().body());
            var headers = out.putArray("headers");
            o.answer().headers().forEach(headers::add);
        }
        return out;
    }

    /** Asks the side that a claim names what came of it. Null: nobody there, or it is an earlier life of this one. */
    public void askOperation(String register, String claim, long print, long withinMs, Consumer<JsonNode> answer) {
        String peer = claim.substring(0, Math.max(0, claim.indexOf(' ')));
        if (peer.isEmpty() || peer.equals(settings.peerAddress())) {
            answer.accept(null);
            return;
        }
        wire.call(
                peer,
                "operation",
                JsonNodeFactory.instance
                        .objectNode()
                        .put("register", register)
                        .put("claim", claim)
                        .put("print", print),
                withinMs,
                answer);
    }

    private ObjectNode doc(long epoch, String stamp) {
        RoutingConfiguration c = shadow.real();
        return c == null || !c.matches(epoch, stamp)
                ? null
                : JsonNodeFactory.instance.objectNode().put("doc", c.compressedDocument);
    }

    private ObjectNode phase(JsonNode m) {
        long fresh = m.path("new").asLong();
        String stamp = m.path("stamp").asText();
        ObjectNode out = JsonNodeFactory.instance.objectNode();
        if (!terms.take("phase", m)) {
            return out.put("ok", false).put("term", terms.highest());
        }
        switch (m.path("phase").asInt()) {
            case 0 -> {
                shadow.revert(fresh, stamp);
                return out.put("ok", true);
            }
            case 1 -> {
                try {
                    RoutingConfiguration candidate =
                            RoutingConfiguration.compileCompressed(m.path("doc").asText());
                    String no = shadow.distribute(
                            m.path("old").asLong(),
                            fresh,
                            candidate,
                            m.path("open").asLong());
                    if (no != null) {
                        behind();
                        return out.put("ok", false).put("why", no);
                    }
                    return out.put("ok", true).put("difference", candidate.difference(shadow.real()));
                } catch (RoutingConfiguration.InvalidConfigurationException e) {
                    return out.put("ok", false).put("refused", true).put("why", e.getMessage());
                }
            }
            case 2 -> {
                return out.put("ok", shadow.tagPacket(fresh, stamp));
            }
            case 3 -> {
                return out.put("ok", shadow.swap(fresh, stamp));
            }
            case 4 -> {
                return out.put("ok", shadow.markBit(fresh, stamp));
            }
            default -> {
                return null;
            }
        }
    }

    private ObjectNode status() {
        ObjectNode n = JsonNodeFactory.instance
                .objectNode()
                .put("role", steward == null ? "weft" : "hem")
                .put("node", settings.node())
                .put("zone", settings.zone())
                .put("epoch", shadow.epoch())
                .put("tagging", shadow.tagging())
                .put("helm", helm())
                .put("session", sessionOpen())
                .put("ready", ready())
                .put("term", terms.highest())
                .put("confirmed", confirmation.confirmed())
                .put("open", gates.open())
                .put("load", gates.load())
                .put("capacity", gates.capacity())
                .put("sides", fleet.sides())
                .put("operations", operations.held())
                .put("answerBytes", operations.bytes());
        var servers = n.putArray("servers");
        gates.servers().forEach(servers::add);
        if (shadow.shadow() != null) {
            n.put("shadow", shadow.shadow().epoch);
        }
        return n;
    }

    // ---- the server and the end

    public String beat(Beat b) {
        return gate.beat(b);
    }

    /**
     * To end soon: not ready from now on, so that no new clients come, but its servers are well and nobody else can
     * reach them, so others may send to them until shortly before.
     */
    public void retire(long withinMs) {
        retiring = true;
        clock.after((long) (withinMs * SERVES_ON), this::leave);
    }

    /** Whether it has told that it is gone: what is sent here all the same is refused. */
    public boolean gone() {
        return gone;
    }

    /** Leaves: no more work comes here, and the session ends. */
    public void leave() {
        gone = true;
        tellSelf();
        membership.end();
    }
}
