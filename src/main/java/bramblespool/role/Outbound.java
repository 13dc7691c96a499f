package bramblespool.role;

import bramblespool.coordination.Budget;
import bramblespool.coordination.Fleet;
import bramblespool.coordination.Gates;
import bramblespool.coordination.Shadow;
import bramblespool.protocol.Names;
import bramblespool.protocol.Verdict;
import bramblespool.state.Config;
import bramblespool.state.Log;
import bramblespool.state.Log.Event;
import bramblespool.transport.Clock;
import bramblespool.transport.Stream;
import bramblespool.transport.Upstream;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
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

    private final Clock clock;
    private final Shadow shadow;
    private final Fleet fleet;
    private final Gates gates;
    private final Budget budget;
    private final Courier courier;
    private final Upstream upstream;
    private final ByteBufferPool buffers;
    private final String node;
    /** The service of this machine's server; empty where clients come from outside. */
    private final String target;
    private final Upstream.Manner manner;
    private final Doubts doubts;
    private final Log log;
    private boolean stopping;
    private int held;

    /** Who is told when a call to a peer has been waiting, failed, or been refused for its mark. */
    interface Doubts {
        void silent(Fleet.Peer p);

        void behind();
    }

    Outbound(Clock clock, Shadow shadow, Fleet fleet, Gates gates, Budget budget, Courier courier, Upstream upstream,
            ByteBufferPool buffers, String node, String target, Upstream.Manner manner, Doubts doubts, Log log) {
        this.clock = clock;
        this.shadow = shadow;
        this.fleet = fleet;
        this.gates = gates;
        this.budget = budget;
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
            log.say(Event.BAD_REQUEST, "why", unsound);
            Exchanges.sayAndClose(x, 400, unsound);
            return;
        }
        long left = Exchanges.number(x, Names.DEADLINE);
        if (left == -2) {
            Exchanges.sayAndClose(x, 400, "bad " + Names.DEADLINE);
            return;
        }
        Config config = shadow.real();
        if (config == null) {
            Exchanges.comeBack(x, manner.connectMs(), "no configuration yet");
            return;
        }
        if (x.getRequestContentLength() > config.limits.bodyBytes()) {
            Exchanges.sayAndClose(x, 413, "body too large");
            return;
        }
        Config.Route route = config.route(x.getRequestHeaders().getFirst(Headers.HOST), Exchanges.path(x));
        if (route == null) {
            Exchanges.say(x, 404, "no route");
            return;
        }
        long patience = route.deadline() > 0 && left > 0 ? Math.min(route.deadline(), left)
                : Math.max(route.deadline(), left);
        if (patience <= 0) {
            patience = manner.connectMs() * 10;
        }
        String service = pick(route);
        if (service == null) {
            Exchanges.comeBack(x, RETRY_MS, "no share");
            return;
        }
        budget.request(service);
        Passage p = new Passage(x, route, service, clock.now() + patience);
        Stream.read(x.getRequestChannel(), buffers, Courier.BUFFERED, p::begin, e -> x.endExchange());
    }

    private String pick(Config.Route route) {
        double sum = 0;
        for (Config.Share s : route.shares()) {
            sum += s.share();
        }
        double at = clock.chance() * sum;
        for (Config.Share s : route.shares()) {
            at -= s.share();
            if (at < 0 && s.share() > 0) {
                return s.target();
            }
        }
        return null;
    }

    /** One request on its way. */
    private final class Passage {
        private final HttpServerExchange x;
        private final Config.Route route;
        private final String service;
        private final long deadline;
        private final String mark = shadow.mark();
        private final Set<Fleet.Door> shown = new HashSet<>();
        private Courier.Parcel parcel;
        private Clock.Timer end;
        private int arrivals;
        private long retryMs;
        private Send current;
        private boolean over;
        private boolean mayHaveRun;

        Passage(HttpServerExchange x, Config.Route route, String service, long deadline) {
            this.x = x;
            this.route = route;
            this.service = service;
            this.deadline = deadline;
        }

        void begin(Stream.Body body) {
            parcel = new Courier.Parcel(x.getRequestMethod(), Exchanges.target(x), x.getRequestHeaders(), body,
                    x.getRequestHeaders().getFirst(Names.ATTEMPT), target, deadline);
            end = clock.after(Math.max(1, deadline - clock.now()), this::tooLate);
            next();
        }

        private void tooLate() {
            if (over) {
                return;
            }
            over = true;
            if (current != null) {
                current.abandon();
            }
            Exchanges.say(x, 504, "deadline");
        }

        private void next() {
            Fleet.Door d = shown.size() < GATES ? fleet.choose(service, shown) : null;
            if (d == null) {
                giveUp(retryMs > 0 ? retryMs : RETRY_MS + (long) (clock.chance() * RETRY_MS), "no server can take it");
                return;
            }
            shown.add(d);
            fleet.sending(d);
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
            if (r.verdict() == Verdict.ANSWERED) {
                over = true;
                end.cancel();
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
            log.say(Event.FAILED_CALL, "route", route.name(), "to", send.door.at.node, "verdict", r.verdict(), "why", r.why());
            boolean again = parcel.body().whole() && (r.verdict() == Verdict.NEVER_RAN || route.idempotent())
                    && deadline - clock.now() > LEAST_MS
                    && (!r.arrived() || arrivals < route.maxTries() && budget.draw(service, clock.now()));
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
            if (mayHaveRun) {
                Exchanges.say(x, 502, why);
            } else {
                Exchanges.comeBack(x, comeBackMs, why);
            }
        }

        /** One send to one gate. */
        private final class Send implements Upstream.Receiver {
            private final Fleet.Door door;
            private Upstream.Call call;
            private Clock.Timer watch;
            private boolean counted = true;

            Send(Fleet.Door door) {
                this.door = door;
            }

            void start() {
                if (door.at.node.equals(node)) {
                    Inbound.Way way = Inbound.Way.of(shadow, gates, mark, x.getRequestHeaders().getFirst(Headers.HOST),
                            Exchanges.path(x), service);
                    if (way.gate() == null) {
                        finish(Courier.Result.neverRan(way.why(), 0, false), null);
                        return;
                    }
                    courier.serve(way.gate(), parcel, way.route(), (r, ending) -> {
                        fleet.report(door, gates.load(service));
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
                call = upstream.send(door.at.inbound, manner, Courier.request(parcel, headers), this);
            }

            /** A call that waits long asks whether its peer is still there. */
            private void watch() {
                watch = clock.after(manner.connectMs(), () -> {
                    if (fleet.suspected(door.at) && mayRepeat()) {
                        call.drop();
                        finish(Courier.Result.mayHaveRun("the peer is silent"), null);
                        return;
                    }
                    if (clock.now() - door.at.heard > manner.connectMs()) {
                        doubts.silent(door.at);
                    }
                    watch();
                });
            }

            /** Whether a request that may be running at a silent peer is better sent to another as well. */
            private boolean mayRepeat() {
                return route.idempotent() && parcel.body().whole() && arrivals + 1 < route.maxTries()
                        && shown.size() < GATES && budget.holds(service, clock.now()) && deadline - clock.now() > LEAST_MS;
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
                    fleet.ended(door);
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
                String load = a.headers().getFirst(Names.LOAD);
                if (load != null && load.length() < 6) {
                    fleet.report(door, Integer.parseInt(load));
                }
                Verdict v = Verdict.of(a.headers().getFirst(Names.VERDICT));
                if (v == Verdict.ANSWERED) {
                    if (!parcel.attempt().equals(a.headers().getFirst(Names.ATTEMPT))) {
                        call.spoil();
                        finish(Courier.Result.mayHaveRun("an answer to another request"), null);
                        return;
                    }
                    finish(new Courier.Result(v, a, null, 0, true),
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
                    finish(Courier.Result.neverRan(arrived ? why.substring(0, why.length() - 1) : why, retryAfter(a),
                            arrived), null);
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
                fleet.suspect(door.at);
                upstream.forget(door.at.inbound);
                finish(reach == Upstream.Reach.UNSENT ? Courier.Result.neverRan(cause, 0, false)
                        : Courier.Result.mayHaveRun(cause), null);
            }
        }
    }
}
