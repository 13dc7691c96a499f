package bramblespool.proxy;

import bramblespool.protocol.HeaderNames;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Route;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Tenant;
import bramblespool.state.WeightedTarget;
import bramblespool.transport.Clock;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;

/**
 * Checks a client's request by its head and finds out where it goes: route, tenant, service and deadline. Source:
 * PROTOCOL-bramblespool.md, "Requests". Confined to the event loop.
 */
final class RequestResolver {
    /** What a request's head leads to. */
    sealed interface Resolution permits ResolvedRequest, Refusal {}

    /**
     * A request that may be forwarded.
     *
     * @param tenant null without one
     * @param service where it goes
     * @param deadlineMs on the event loop's clock
     */
    record ResolvedRequest(
            RoutingConfiguration configuration, Route route, Tenant tenant, String service, long deadlineMs)
            implements Resolution {}

    /**
     * A request that is answered without being forwarded.
     *
     * @param retryAfterMs when to try again; 0 where nothing is known
     * @param closesConnection whether the connection is closed after the response
     */
    record Refusal(int status, String reason, long retryAfterMs, boolean closesConnection) implements Resolution {
        private static Refusal of(int status, String reason) {
            return new Refusal(status, reason, 0, false);
        }

        private static Refusal unavailable(String reason, long retryAfterMs) {
            return new Refusal(503, reason, retryAfterMs, false);
        }

        private static Refusal closing(int status, String reason) {
            return new Refusal(status, reason, 0, true);
        }

        void send(HttpServerExchange exchange) {
            if (closesConnection) {
                Replies.sendTextAndClose(exchange, status, reason);
            } else if (status == 503) {
                Replies.sendUnavailable(exchange, retryAfterMs, reason);
            } else {
                Replies.sendText(exchange, status, reason);
            }
        }
    }

    static final long DEFAULT_RETRY_AFTER_MS = 60;
    private static final int MAX_KEY_LENGTH = 255;
    /** Without any deadline a request may take this multiple of the connect time-out. */
    private static final long DEFAULT_DEADLINE_FACTOR = 10;

    private final Clock clock;
    private final long connectTimeoutMs;
    private final EventLog log;

    RequestResolver(Clock clock, long connectTimeoutMs, EventLog log) {
        this.clock = clock;
        this.connectTimeoutMs = connectTimeoutMs;
        this.log = log;
    }

    /** Resolves a request; {@code configuration} is null where there is none yet. */
    Resolution resolve(HttpServerExchange exchange, RoutingConfiguration configuration) {
        String framingFault = Replies.framingFault(exchange);
        if (framingFault != null) {
            log.log(Event.BAD_REQUEST, "cause", framingFault);
            return Refusal.closing(400, framingFault);
        }
        if (Replies.positiveNumber(exchange, HeaderNames.DEADLINE) == Replies.NOT_A_POSITIVE_NUMBER) {
            return Refusal.closing(400, "bad " + HeaderNames.DEADLINE);
        }
        if (configuration == null) {
            return Refusal.unavailable("no configuration yet", connectTimeoutMs);
        }
        if (exchange.getRequestContentLength() > configuration.limits().bodyBytes()) {
            return Refusal.closing(413, "body too large");
        }
        Route route =
                configuration.route(exchange.getRequestHeaders().getFirst(Headers.HOST), Replies.requestPath(exchange));
        if (route == null) {
            return Refusal.of(404, "no route");
        }
        Tenant tenant = null;
        if (configuration.requiresTenantKey()) {
            String key = Replies.clientKey(exchange);
            tenant = key == null ? null : configuration.tenantOfKey(key);
            if (tenant == null && (key != null || !route.isPublic())) {
                exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Token");
                return Refusal.of(401, key == null ? "a key is required" : "unknown key");
            }
            replaceTenantHeaders(exchange.getRequestHeaders(), tenant);
        }
        String keyFault = route.isKeyed() ? operationKeyFault(exchange) : null;
        if (keyFault != null) {
            return Refusal.of(400, keyFault);
        }
        String service = chooseService(route);
        return service == null
                ? Refusal.unavailable("no share", DEFAULT_RETRY_AFTER_MS)
                : new ResolvedRequest(
                        configuration, route, tenant, service, clock.nowMs() + timeoutMs(exchange, route));
    }

    /** The key is not forwarded, and only this proxy sets the tenant, whatever the client sent. */
    private static void replaceTenantHeaders(HeaderMap headers, Tenant tenant) {
        headers.remove(Headers.AUTHORIZATION);
        headers.remove(HeaderNames.TENANT);
        if (tenant != null) {
            headers.put(HeaderNames.TENANT, tenant.name());
        }
    }

    /** The shorter of the route's deadline and the client's, where they are set. */
    private long timeoutMs(HttpServerExchange exchange, Route route) {
        long requestedMs = Replies.positiveNumber(exchange, HeaderNames.DEADLINE);
        long timeoutMs = route.deadlineMs() > 0 && requestedMs > 0
                ? Math.min(route.deadlineMs(), requestedMs)
                : Math.max(route.deadlineMs(), requestedMs);
        return timeoutMs > 0 ? timeoutMs : connectTimeoutMs * DEFAULT_DEADLINE_FACTOR;
    }

    /** The fault of the idempotency key of a request that must have one, or null. */
    private static String operationKeyFault(HttpServerExchange exchange) {
        HeaderValues keys = exchange.getRequestHeaders().get(HeaderNames.OPERATION_KEY);
        if (keys == null || keys.size() != 1) {
            return "exactly one " + HeaderNames.OPERATION_KEY + " is required";
        }
        String key = keys.getFirst();
        return key.isEmpty() || key.length() > MAX_KEY_LENGTH || !key.chars().allMatch(c -> c > ' ' && c < 127)
                ? HeaderNames.OPERATION_KEY + " must be 1 to " + MAX_KEY_LENGTH + " printable characters without spaces"
                : null;
    }

    private String chooseService(Route route) {
        double totalWeight = 0;
        for (WeightedTarget share : route.weightedTargets()) {
            totalWeight += share.weight();
        }
        double remainingWeight = clock.random() * totalWeight;
        for (WeightedTarget share : route.weightedTargets()) {
            remainingWeight -= share.weight();
            if (remainingWeight < 0 && share.weight() > 0) {
                return share.service();
            }
        }
        return null;
    }
}
