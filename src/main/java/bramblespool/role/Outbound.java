package bramblespool.role;

import bramblespool.coordination.configuration.ShadowCommitParticipant;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.coordination.tenancy.AdmissionClient;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.RequestAdmission;
import bramblespool.coordination.traffic.RetryBudget;
import bramblespool.coordination.traffic.ServerAdmissions;
import bramblespool.protocol.Names;
import bramblespool.protocol.Verdict;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;
import bramblespool.transport.Stream;
import bramblespool.transport.Upstream;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.HashSet;
import java.util.Set;

/** Requests that start here, of clients or of this machine's server: chooses route, version and server, and sees each one through. */
final class Outbound implements HttpHandler {
    /** How many gates one request is shown to; a refusal at a gate costs no arrival at a server. */
    private static final int GATES = 4;
    /** Time that must be left for a further try to be worth it. */
    private static final long LEAST_MS = 15;

    private static final long RETRY_MS = 60;
    private static final int MOST_KEY = 255;
    /** Statuses by which a client is promised that its request has not run. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    /** A request may wait for this part of its aim, and of the time it has, to be admitted. */
    private static final int ADMIT_PART = 2;

    private final Clock clock;
    private final ShadowCommitParticipant shadow;
    private final EndpointDirectory fleet;
    private final ServerAdmissions gates;
    private final RetryBudget budget;
    private final Courier courier;
    private final RequestAdmission entry;
    private final AdmissionClient admission;
    private final IdempotencyTable operations;
    private final Upstream upstream;
    private final ByteBufferPool buffers;
    private final String node;
    /** The service of this machine's server; empty where clients come from outside. */
    private final String target;

    private final Upstream.Manner manner;
    private final Doubts doubts;
    private final EventLog log;
    private boolean stopping;
    private int held;

    /** Who is told when a call to a peer has been waiting, failed, or been refused for its mark. */
    interface Doubts {
        void silent(EndpointDirectory.Proxy p);

        void behind();
    }

    Outbound(
            Clock clock,
            DataPlaneNode core,
            Courier courier,
            Upstream upstream,
            ByteBufferPool buffers,
            String node,
            String target,
            Upstream.Manner manner,
            Doubts doubts,
            EventLog log) {
        this.clock = clock;
        this.shadow = core.shadowCommit;
        this.fleet = core.endpointDirectory;
        this.gates = core.admissions;
        this.budget = core.retryBudget;
        this.admission = core.admissionClient;
        this.operations = core.idempotencyTable;
        this.entry = new RequestAdmission(core, log);
        this.courier = courier;
        this.upstream = upstream;
        this.buffers = buffers;
        this.node = node;
        this.target = target;
        this.manner = manner;
        this.doubts = doubts;
        this.log = log;
    }

    void stopping() {
        stopping = true;
    }

    int held() {
        return held;
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        held++;
        x.addExchangeCompleteListener((done, next) -> {
            held--;
            next.proceed();
        });
        x.dispatch(SameThreadExecutor.INSTANCE, () -> accept(x));
    }

    private void accept(HttpServerExchange x) {
        if (stopping) {
            x.setPersistent(false);
            x.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        String unsound = Exchanges.unsound(x);
        if (unsound != null) {
            log.log(Event.BAD_REQUEST, "cause", unsound);
            Exchanges.sayAndClose(x, 400, unsound);
            return;
        }
        long left = Exchanges.number(x, Names.DEADLINE);
        if (left == -2) {
            Exchanges.sayAndClose(x, 400, "bad " + Names.DEADLINE);
            return;
        }
        RoutingConfiguration config = shadow.realConfiguration();
        if (config == null) {
            Exchanges.comeBack(x, manner.connectMs(), "no configuration yet");
            return;
        }
        if (x.getRequestContentLength() > config.limits.bodyBytes()) {
            Exchanges.sayAndClose(x, 413, "body too large");
            return;
        }
        RoutingConfiguration.Route route =
                config.route(x.getRequestHeaders().getFirst(Headers.HOST), Exchanges.path(x));
        if (route == null) {
            Exchanges.say(x, 404, "no route");
            return;
        }
        RoutingConfiguration.Tenant tenant = null;
        if (config.requiresTenantKey()) {
            String key = Exchanges.clientKey(x);
            tenant = key == null ? null : config.tenantOfKey(key);
            if (tenant == null && (key != null || !route.isPublic())) {
                x.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Token");
                Exchanges.say(x, 401, key == null ? "a key is wanted" : "unknown key");
                return;
            }
            // Whatever the client said: the key is for us alone, and whose it is only we say.
            x.getRequestHeaders().remove(Headers.AUTHORIZATION);
            x.getRequestHeaders().remove(Names.TENANT);
            if (tenant != null) {
                x.getRequestHeaders().put(Names.TENANT, tenant.name());
            }
        }
        if (route.isKeyed()) {
            String wrong = wrongKey(x);
            if (wrong != null) {
                Exchanges.say(x, 400, wrong);
                return;
            }
        }
        long patience = route.deadlineMs() > 0 && left > 0
                ? Math.min(route.deadlineMs(), left)
                : Math.max(route.deadlineMs(), left);
        if (patience <= 0) {
            patience = manner.connectMs() * 10;
        }
        String service = pick(route);
        if (service == null) {
            Exchanges.comeBack(x, RETRY_MS, "no share");
            return;
        }
        budget.onRequest(service);
        Passage p = new Passage(x, config, route, tenant, service, clock.now() + patience);
        Stream.read(x.getRequestChannel(), buffers, Courier.BUFFERED, p::begin, e -> x.endExchange());
    }

    /** What is wrong with the operation key of a request that must have one, or null. */
    private static String wrongKey(HttpServerExchange x) {
        HeaderValues keys = x.getRequestHeaders().get(Names.OPERATION);
        if (keys == null || keys.size() != 1) {
            return "one " + Names.OPERATION + " is wanted";
        }
        String key = keys.getFirst();
        return key.isEmpty() || key.length() > MOST_KEY || !key.chars().allMatch(c -> c > ' ' && c < 127)
                ? Names.OPERATION + " must be 1 to " + MOST_KEY + " printable letters without spaces"
                : null;
    }

    private String pick(RoutingConfiguration.Route route) {
        double sum = 0;
        for (RoutingConfiguration.WeightedTarget s : route.weightedTargets()) {
            sum += s.weight();
        }
        double at = clock.chance() * sum;
        for (RoutingConfiguration.WeightedTarget s : route.weightedTargets()) {
            at -= s.weight();
            if (at < 0 && s.weight() > 0) {
                return s.service();
            }
        }
        return null;
    }

    /** One request on its way. */
    private final class Passage implements RequestAdmission.AdmissionHandler {
        private final HttpServerExchange x;
        private final RoutingConfiguration config;
        private final RoutingConfiguration.Route route;
        private final RoutingConfiguration.Tenant tenant;
        private final String service;
        private final long deadline;
        private final String mark = shadow.currentMark();
        private final Set<EndpointDirectory.Endpoint> shown = new HashSet<>();
        private Courier.Parcel parcel;
        private Clock.Timer end;
        private int arrivals;
        private long retryMs;
        private Send current;
        private boolean over;
        private boolean mayHaveRun;
        /** What its key stands for, where it has one and the claim was won. */
        private IdempotencyTable.Operation operation;

        Passage(
                HttpServerExchange x,
                RoutingConfiguration config,
                RoutingConfiguration.Route route,
                RoutingConfiguration.Tenant tenant,
                String service,
                long deadline) {
            this.x = x;
            this.config = config;
            this.route = route;
            this.tenant = tenant;
            this.service = service;
            this.deadline = deadline;
        }

        void begin(Stream.Body body) {
            parcel = new Courier.Parcel(
                    x.getRequestMethod(),
                    Exchanges.target(x),
                    x.getRequestHeaders(),
                    body,
                    x.getRequestHeaders().getFirst(Names.ATTEMPT),
                    target,
                    deadline);
            end = clock.after(Math.max(1, deadline - clock.now()), this::tooLate);
            long left = deadline - clock.now();
            entry.admit(
                    who(body),
                    Math.max(
                            1,
                            Math.min(route.latencyTargetMs() > 0 ? route.latencyTargetMs() : left, left) / ADMIT_PART),
                    this);
        }

        private RequestAdmission.AdmissionRequest who(Stream.Body body) {
            RoutingConfiguration.Tenant limited = tenant != null && tenant.ratePerSecond() > 0 ? tenant : null;
            String name = tenant == null ? "" : tenant.name();
            if (!route.isKeyed()) {
                return new RequestAdmission.AdmissionRequest(name, limited, config.epoch, null, 0);
            }
            // Without a tenant a key is one among those of the service that calls.
            String holder = tenant == null ? "~" + target : name;
            return new RequestAdmission.AdmissionRequest(
                    holder,
                    limited,
                    config.epoch,
                    admission.registerId(holder, x.getRequestHeaders().getFirst(Names.OPERATION)),
                    admission.fingerprint(
                            x.getRequestMethod().toString(),
                            x.getRequestHeaders().getFirst(Headers.HOST),
                            Exchanges.target(x),
                            body.head()));
        }

        @Override
        public void proceed(IdempotencyTable.Operation claimed) {
            operation = claimed;
            if (over) {
                settle(Verdict.NEVER_RAN, null);
                return;
            }
            next();
        }

        @Override
        public void reject(int status, long retryMs, String why) {
            if (over) {
                return;
            }
            over = true;
            end.cancel();
            if (retryMs > 0) {
                x.getResponseHeaders().put(Headers.RETRY_AFTER, Exchanges.seconds(retryMs));
            }
            Exchanges.say(x, status, why);
        }

        @Override
        public void replay(IdempotencyTable.StoredResponse a) {
            if (over) {
                return;
            }
            over = true;
            end.cancel();
            Exchanges.repeat(x, a);
        }

        /** Says what came of the operation, for the repeats to come. */
        private void settle(Verdict v, Upstream.Answer a) {
            if (operation == null) {
                return;
            }
            if (v == Verdict.ANSWERED) {
                operations.recordResponse(operation, Exchanges.kept(a));
            } else if (v == Verdict.NEVER_RAN || dedups()) {
                operations.markIdle(operation);
            } else {
                operations.markUnknown(operation);
            }
        }

        /** Whether the service keeps its own record of keys, so that a run that broke off may be asked for again. */
        private boolean dedups() {
            RoutingConfiguration.Service s = config.services.get(service);
            return s != null && s.deduplicatesItself();
        }

        private void tooLate() {
            if (over) {
                return;
            }
            over = true;
            settle(current != null || mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NEVER_RAN, null);
            if (current != null) {
                current.abandon();
            }
            Exchanges.say(x, 504, "deadline");
        }

        private void next() {
            EndpointDirectory.Endpoint d = shown.size() < GATES ? fleet.chooseEndpoint(service, shown) : null;
            if (d == null) {
                giveUp(retryMs > 0 ? retryMs : RETRY_MS + (long) (clock.chance() * RETRY_MS), "no server can take it");
                return;
            }
            shown.add(d);
            fleet.onRequestStarted(d);
            current = new Send(d);
            current.start();
        }

        private void ended(Send send, Courier.Result r, Courier.Ending ending) {
            if (over) {
                if (ending != null) {
                    ending.ended(false);
                }
                return;
            }
            current = null;
            if (r.arrived()) {
                arrivals++;
            }
            if (r.verdict() == Verdict.ANSWERED
                    && !route.isIdempotent()
                    && PROMISES.contains(r.answer().code())) {
                // The server did not say that it has not run, and passed on its status would.
                if (ending != null) {
                    ending.ended(false);
                }
                r = Courier.Result.mayHaveRun("a promise that the server did not give");
            }
            if (r.verdict() == Verdict.ANSWERED) {
                over = true;
                end.cancel();
                settle(Verdict.ANSWERED, r.answer());
                Exchanges.relay(x, r.answer(), buffers, ending);
                return;
            }
            mayHaveRun |= r.verdict() == Verdict.MAY_HAVE_RUN;
            if (r.retryMs() > 0) {
                retryMs = retryMs == 0 ? r.retryMs() : Math.min(retryMs, r.retryMs());
            }
            if ("mark".equals(r.why()) || "route".equals(r.why())) {
                doubts.behind();
            }
            log.log(
                    Event.ATTEMPT_FAILED,
                    "route",
                    route.name(),
                    "endpoint",
                    send.door.proxy.node,
                    "outcome",
                    r.verdict(),
                    "cause",
                    r.why());
            boolean again = parcel.body().whole()
                    && (r.verdict() == Verdict.NEVER_RAN || route.isIdempotent())
                    && deadline - clock.now() > LEAST_MS
                    && (!r.arrived() || arrivals < route.maxAttempts() && budget.tryAcquire(service, clock.now()));
            if (again) {
                next();
                return;
            }
            giveUp(retryMs > 0 ? retryMs : RETRY_MS, r.why());
        }

        /** The final answer: the promise that it has not run is given only if that holds of every try. */
        private void giveUp(long comeBackMs, String why) {
            over = true;
            end.cancel();
            settle(mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NEVER_RAN, null);
            if (mayHaveRun) {
                Exchanges.say(x, 502, why);
            } else {
                Exchanges.comeBack(x, comeBackMs, why);
            }
        }

        /** One send to one gate. */
        private final class Send implements Upstream.Receiver {
            private final EndpointDirectory.Endpoint door;
            private Upstream.Call call;
            private Clock.Timer watch;
            private boolean counted = true;

            Send(EndpointDirectory.Endpoint door) {
                this.door = door;
            }

            void start() {
                if (door.proxy.node.equals(node)) {
                    Inbound.Way way =
                            Inbound.Way.of(shadow, gates, mark, x.getRequestHeaders(), Exchanges.path(x), service);
                    if (way.gate() == null) {
                        finish(Courier.Result.neverRan(way.why(), 0, false), null);
                        return;
                    }
                    courier.serve(way.gate(), parcel, way.route(), way.rank(), (r, ending) -> {
                        fleet.recordLoad(door, gates.load(service));
                        finish(r, ending);
                    });
                    return;
                }
                HeaderMap headers = new HeaderMap();
                Names.copy(parcel.headers(), headers);
                headers.put(Names.DEADLINE, Math.max(1, deadline - clock.now()));
                headers.put(Names.SERVICE, service);
                if (!target.isEmpty()) {
                    headers.put(Names.CALLER, target);
                }
                headers.put(Names.MARK, mark);
                headers.put(Names.FROM, node);
                watch();
                call = upstream.send(door.proxy.inboundAddress, manner, Courier.request(parcel, headers), this);
            }

            /** A call that waits long asks whether its peer is still there. */
            private void watch() {
                watch = clock.after(manner.connectMs(), () -> {
                    if (fleet.isSuspected(door.proxy) && mayRepeat()) {
                        call.drop();
                        finish(Courier.Result.mayHaveRun("the peer is silent"), null);
                        return;
                    }
                    if (clock.now() - door.proxy.lastHeardMs > manner.connectMs()) {
                        doubts.silent(door.proxy);
                    }
                    watch();
                });
            }

            /** Whether a request that may be running at a silent peer is better sent to another as well. */
            private boolean mayRepeat() {
                return route.isIdempotent()
                        && parcel.body().whole()
                        && arrivals + 1 < route.maxAttempts()
                        && shown.size() < GATES
                        && budget.hasRetry(service, clock.now())
                        && deadline - clock.now() > LEAST_MS;
            }

            private void finish(Courier.Result r, Courier.Ending ending) {
                settle();
                ended(this, r, ending);
            }

            private void settle() {
                if (watch != null) {
                    watch.cancel();
                }
                if (counted) {
                    counted = false;
                    fleet.onRequestEnded(door);
                }
            }

            /** The deadline has come: nobody waits for the answer any more. */
            void abandon() {
                if (call != null) {
                    call.drop();
                }
                settle();
            }

            @Override
            public void answer(Upstream.Answer a) {
                if (!Exchanges.answers(parcel.attempt(), a.headers())) {
                    // Whatever it says, it says of another request, a refusal as much as a success.
                    call.spoil();
                    upstream.forget(door.proxy.inboundAddress);
                    finish(Courier.Result.mayHaveRun("an answer to another request"), null);
                    return;
                }
                String load = a.headers().getFirst(Names.LOAD);
                if (load != null && load.length() < 6) {
                    fleet.recordLoad(door, Integer.parseInt(load));
                }
                Verdict v = Verdict.of(a.headers().getFirst(Names.VERDICT));
                if (v == Verdict.ANSWERED) {
                    finish(
                            new Courier.Result(v, a, null, 0, true),
                            a.body().whole() ? null : whole -> call.finished(whole));
                    return;
                }
                if (!a.body().whole()) {
                    call.finished(false);
                }
                String why = a.headers().getFirst(Names.WHY);
                why = why == null ? "unexplained" : why;
                boolean arrived = why.endsWith("!");
                if (v == Verdict.NEVER_RAN) {
                    finish(
                            Courier.Result.neverRan(
                                    arrived ? why.substring(0, why.length() - 1) : why, retryAfter(a), arrived),
                            null);
                } else {
                    finish(Courier.Result.mayHaveRun(why), null);
                }
            }

            private long retryAfter(Upstream.Answer a) {
                String s = a.headers().getFirst(Headers.RETRY_AFTER);
                try {
                    return s == null ? 0 : (long) (Double.parseDouble(s) * 1000);
                } catch (NumberFormatException e) {
                    return 0;
                }
            }

            @Override
            public void failed(Upstream.Reach reach, String cause) {
                fleet.markSuspected(door.proxy);
                upstream.forget(door.proxy.inboundAddress);
                finish(
                        reach == Upstream.Reach.UNSENT
                                ? Courier.Result.neverRan(cause, 0, false)
                                : Courier.Result.mayHaveRun(cause),
                        null);
            }
        }
    }
}
