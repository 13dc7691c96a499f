package bramblespool.role;

import bramblespool.coordination.configuration.ShadowCommitParticipant;
import bramblespool.coordination.traffic.ServerAdmission;
import bramblespool.coordination.traffic.ServerAdmissions;
import bramblespool.protocol.Names;
import bramblespool.protocol.Verdict;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;
import bramblespool.transport.Stream;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/** Calls from other daemons of the data plane: the mark chooses the version, the gate decides, the courier carries. */
final class Inbound implements HttpHandler {
    private final Clock clock;
    private final ShadowCommitParticipant shadow;
    private final ServerAdmissions gates;
    private final Courier courier;
    private final ByteBufferPool buffers;
    /** The one service of this machine's server, or null where there are several: callers name the one they want. */
    private final String target;

    private final BiConsumer<String, String> marked;
    private final BooleanSupplier gone;

    Inbound(
            Clock clock,
            ShadowCommitParticipant shadow,
            ServerAdmissions gates,
            Courier courier,
            ByteBufferPool buffers,
            String target,
            BiConsumer<String, String> marked,
            BooleanSupplier gone) {
        this.gone = gone;
        this.clock = clock;
        this.shadow = shadow;
        this.gates = gates;
        this.courier = courier;
        this.buffers = buffers;
        this.target = target;
        this.marked = marked;
    }

    /** The route under which the request may be handed to a server of the service, and its gate; or why not. */
    record Way(RoutingConfiguration.Route route, int rank, ServerAdmission gate, String why) {
        private static Way no(String why) {
            return new Way(null, 0, null, why);
        }

        static Way of(
                ShadowCommitParticipant shadow,
                ServerAdmissions gates,
                String mark,
                HeaderMap headers,
                String path,
                String target) {
            if (target == null) {
                return no("none");
            }
            ShadowCommitParticipant.ResolvedVersion choice = shadow.resolve(mark);
            if (choice == null) {
                return no("mark");
            }
            if (choice.isShadow()) {
                return no("test");
            }
            RoutingConfiguration.Route route = choice.configuration().route(headers.getFirst(Headers.HOST), path);
            if (route == null || !route.routesTo(target)) {
                return no("route");
            }
            ServerAdmission gate = gates.leastLoaded(target);
            int rank = choice.configuration().priority(route, headers.getFirst(Names.TENANT));
            return gate == null ? no("none") : new Way(route, rank, gate, null);
        }
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        x.dispatch(SameThreadExecutor.INSTANCE, () -> accept(x));
    }

    private void accept(HttpServerExchange x) {
        long left = Exchanges.number(x, Names.DEADLINE);
        String unsound = Exchanges.unsound(x);
        if (unsound != null || left <= 0) {
            Exchanges.sayAndClose(x, 400, unsound == null ? "bad " + Names.DEADLINE : unsound);
            return;
        }
        long deadline = clock.now() + left;
        String mark = x.getRequestHeaders().getFirst(Names.MARK);
        marked.accept(x.getRequestHeaders().getFirst(Names.FROM), mark);
        String named = x.getRequestHeaders().getFirst(Names.SERVICE);
        String service = named == null ? target : named;
        if (target != null && !target.equals(service)) {
            // This address was another service's before, and the caller has not heard.
            refuse(x, target, "none", 0, false);
            return;
        }
        Way way = Way.of(shadow, gates, mark, x.getRequestHeaders(), Exchanges.path(x), service);
        if (way.gate == null) {
            refuse(x, service, way.why, 0, false);
            return;
        }
        if (gone.getAsBoolean()) {
            x.setPersistent(false);
            x.getResponseHeaders().put(Headers.CONNECTION, "close");
            refuse(x, service, "leaving", 0, false);
            return;
        }
        Stream.read(
                x.getRequestChannel(),
                buffers,
                Courier.BUFFERED,
                body -> {
                    Courier.Parcel p = new Courier.Parcel(
                            x.getRequestMethod(),
                            Exchanges.target(x),
                            x.getRequestHeaders(),
                            body,
                            attempt(x),
                            caller(x),
                            deadline);
                    courier.serve(way.gate, p, way.route, way.rank, (r, ending) -> answer(x, service, r, ending));
                },
                e -> x.endExchange());
    }

    /** Whatever is answered names the try that it is an answer to: a refusal of another one must not be believed. */
    private static String attempt(HttpServerExchange x) {
        return x.getRequestHeaders().getFirst(Names.ATTEMPT);
    }

    private static String caller(HttpServerExchange x) {
        String c = x.getRequestHeaders().getFirst(Names.CALLER);
        return c == null ? "" : c;
    }

    private void answer(HttpServerExchange x, String service, Courier.Result r, Courier.Ending ending) {
        if (r.verdict() == Verdict.ANSWERED) {
            x.getResponseHeaders().put(Names.VERDICT, r.verdict().code).put(Names.LOAD, gates.load(service));
            Exchanges.relay(x, r.answer(), buffers, ending);
        } else if (r.verdict() == Verdict.NEVER_RAN) {
            refuse(x, service, r.why(), r.retryMs(), r.arrived());
        } else {
            x.getResponseHeaders()
                    .put(Names.ATTEMPT, attempt(x))
                    .put(Names.VERDICT, r.verdict().code)
                    .put(Names.LOAD, gates.load(service))
                    .put(Names.WHY, r.why().replaceAll("[^ -~]", "?"));
            Exchanges.say(x, 502, "");
        }
    }

    private void refuse(HttpServerExchange x, String service, String why, long retryMs, boolean arrived) {
        x.getResponseHeaders()
                .put(Names.ATTEMPT, attempt(x))
                .put(Names.VERDICT, Verdict.NEVER_RAN.code)
                .put(Names.LOAD, gates.load(service))
                .put(Names.WHY, arrived ? why + "!" : why);
        Exchanges.comeBack(x, retryMs, "");
    }
}
