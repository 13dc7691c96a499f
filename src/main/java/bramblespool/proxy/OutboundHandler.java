package bramblespool.proxy;

import bramblespool.coordination.configuration.ShadowCommitParticipant;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.coordination.tenancy.AdmissionClient;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.RequestAdmission;
import bramblespool.coordination.traffic.RetryBudget;
import bramblespool.coordination.traffic.ServerAdmissions;
import bramblespool.protocol.ExecutionOutcome;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Metric;
import bramblespool.state.Metrics;
import bramblespool.state.Route;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Service;
import bramblespool.state.Tenant;
import bramblespool.state.WeightedTarget;
import bramblespool.transport.BodyStream;
import bramblespool.transport.Clock;
import bramblespool.transport.UpstreamClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.HashSet;
import java.util.Set;

/**
 * Requests of clients and of this machine's server: selects route, version and endpoint for each and handles its
 * attempts until it is answered. Source: PROTOCOL-bramblespool.md, "Requests" and "Answers". Confined to the event
 * loop.
 */
public final class OutboundHandler implements HttpHandler {
    /**
     * Endpoints that one request is sent to at most; a rejection by an admission does not count as a server arrival.
     */
    private static final int MAX_ENDPOINTS_TRIED = 4;
    /** Time before the deadline that a retry needs. */
    private static final long MIN_RETRY_TIME_MS = 15;

    private static final long DEFAULT_RETRY_AFTER_MS = 60;
    private static final int MAX_KEY_LENGTH = 255;
    /** Statuses that promise a client that its request was not executed. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);
    /** Admission may take the latency target, or the remaining time where that is less, divided by this. */
    private static final int ADMISSION_WAIT_DIVISOR = 2;

    private final Clock clock;
    private final ShadowCommitParticipant shadowCommit;
    private final EndpointDirectory endpointDirectory;
    private final ServerAdmissions serverAdmissions;
    private final RetryBudget retryBudget;
    private final ServerForwarder forwarder;
    private final RequestAdmission requestAdmission;
    private final AdmissionClient admissionClient;
    private final IdempotencyTable idempotencyTable;
    private final UpstreamClient upstream;
    private final ByteBufferPool bufferPool;
    private final String node;
    /** The service of this machine's server; empty where clients come from outside. */
    private final String localService;

    private final UpstreamClient.ConnectionOptions connectionOptions;
    private final ProxyObserver proxyObserver;
    private final Metrics metrics;
    private final EventLog log;
    private boolean isStopping;
    private int inFlightRequests;

    /** Gets observations about other proxies. */
    public interface ProxyObserver {
        /** A request to the proxy has been waiting, and nothing else was received from it. */
        void onProxySilent(EndpointDirectory.Proxy proxy);

        /** A proxy rejected a request because of its version mark or route. */
        void onVersionMismatch();
    }

    /**
     * @param node this proxy's name
     * @param localService the service of this machine's server; empty in a gateway
     * @param connectionOptions for requests to other proxies
     */
    public OutboundHandler(
            Clock clock,
            DataPlaneNode dataPlaneNode,
            ServerForwarder forwarder,
            UpstreamClient upstream,
            ByteBufferPool bufferPool,
            String node,
            String localService,
            UpstreamClient.ConnectionOptions connectionOptions,
            ProxyObserver proxyObserver,
            Metrics metrics,
            EventLog log) {
        this.clock = clock;
        this.shadowCommit = dataPlaneNode.shadowCommit;
        this.endpointDirectory = dataPlaneNode.endpointDirectory;
        this.serverAdmissions = dataPlaneNode.admissions;
        this.retryBudget = dataPlaneNode.retryBudget;
        this.admissionClient = dataPlaneNode.admissionClient;
        this.idempotencyTable = dataPlaneNode.idempotencyTable;
        this.requestAdmission = new RequestAdmission(
                dataPlaneNode.admissionClient, dataPlaneNode.idempotencyTable, dataPlaneNode::queryOperation, log);
        this.forwarder = forwarder;
        this.upstream = upstream;
        this.bufferPool = bufferPool;
        this.node = node;
        this.localService = localService;
        this.connectionOptions = connectionOptions;
        this.proxyObserver = proxyObserver;
        this.metrics = metrics;
        this.log = log;
    }

    /** From now on connections are closed after the response. */
    public void beginShutdown() {
        isStopping = true;
    }

    /** Requests that are not yet answered. */
    public int inFlightRequests() {
        return inFlightRequests;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        inFlightRequests++;
        exchange.addExchangeCompleteListener((done, next) -> {
            inFlightRequests--;
            next.proceed();
        });
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> accept(exchange));
    }

    private void accept(HttpServerExchange exchange) {
        if (isStopping) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        String framingFault = Replies.framingFault(exchange);
        if (framingFault != null) {
            log.log(Event.BAD_REQUEST, "cause", framingFault);
            Replies.sendTextAndClose(exchange, 400, framingFault);
            return;
        }
        long requestedTimeoutMs = Replies.positiveNumber(exchange, HeaderNames.DEADLINE);
        if (requestedTimeoutMs == -2) {
            Replies.sendTextAndClose(exchange, 400, "bad " + HeaderNames.DEADLINE);
            return;
        }
        RoutingConfiguration configuration = shadowCommit.realConfiguration();
        if (configuration == null) {
            Replies.sendUnavailable(exchange, connectionOptions.connectTimeoutMs(), "no configuration yet");
            return;
        }
        if (exchange.getRequestContentLength() > configuration.limits().bodyBytes()) {
            Replies.sendTextAndClose(exchange, 413, "body too large");
            return;
        }
        Route route =
                configuration.route(exchange.getRequestHeaders().getFirst(Headers.HOST), Replies.requestPath(exchange));
        if (route == null) {
            Replies.sendText(exchange, 404, "no route");
            return;
        }
        Tenant tenant = null;
        if (configuration.requiresTenantKey()) {
            String key = Replies.clientKey(exchange);
            tenant = key == null ? null : configuration.tenantOfKey(key);
            if (tenant == null && (key != null || !route.isPublic())) {
                exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Token");
                Replies.sendText(exchange, 401, key == null ? "a key is required" : "unknown key");
                return;
            }
            // The key is not forwarded, and only this proxy sets the tenant, whatever the client sent.
            exchange.getRequestHeaders().remove(Headers.AUTHORIZATION);
            exchange.getRequestHeaders().remove(HeaderNames.TENANT);
            if (tenant != null) {
                exchange.getRequestHeaders().put(HeaderNames.TENANT, tenant.name());
            }
        }
        if (route.isKeyed()) {
            String keyFault = operationKeyFault(exchange);
            if (keyFault != null) {
                Replies.sendText(exchange, 400, keyFault);
                return;
            }
        }
        long timeoutMs = route.deadlineMs() > 0 && requestedTimeoutMs > 0
                ? Math.min(route.deadlineMs(), requestedTimeoutMs)
                : Math.max(route.deadlineMs(), requestedTimeoutMs);
        if (timeoutMs <= 0) {
            timeoutMs = connectionOptions.connectTimeoutMs() * 10;
        }
        String service = chooseService(route);
        if (service == null) {
            Replies.sendUnavailable(exchange, DEFAULT_RETRY_AFTER_MS, "no share");
            return;
        }
        retryBudget.onRequest(service);
        ProxiedExchange proxiedExchange =
                new ProxiedExchange(exchange, configuration, route, tenant, service, clock.nowMs() + timeoutMs);
        BodyStream.read(
                exchange.getRequestChannel(),
                bufferPool,
                ServerForwarder.MAX_BUFFERED_BYTES,
                proxiedExchange::admit,
                e -> exchange.endExchange());
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

    /** A request in progress. */
    private final class ProxiedExchange implements RequestAdmission.AdmissionHandler {
        private final HttpServerExchange exchange;
        private final RoutingConfiguration configuration;
        private final Route route;
        private final Tenant tenant;
        private final String service;
        private final long deadlineMs;
        private final String versionMark = shadowCommit.currentMark();
        private final Set<EndpointDirectory.Endpoint> triedEndpoints = new HashSet<>();
        private ServerForwarder.ForwardedRequest request;
        private Clock.Timer deadlineTimer;
        private int serverArrivals;
        private long shortestRetryAfterMs;
        private RequestAttempt currentAttempt;
        private boolean isFinished;
        private boolean mayHaveExecuted;
        /** The claimed operation, where the request has an idempotency key and the claim was won. */
        private IdempotencyTable.Operation operation;

        ProxiedExchange(
                HttpServerExchange exchange,
                RoutingConfiguration configuration,
                Route route,
                Tenant tenant,
                String service,
                long deadlineMs) {
            this.exchange = exchange;
            this.configuration = configuration;
            this.route = route;
            this.tenant = tenant;
            this.service = service;
            this.deadlineMs = deadlineMs;
        }

        void admit(BodyStream.Body body) {
            metrics.increment(Metric.REQUESTS_READ);
            exchange.addExchangeCompleteListener((done, next) -> {
                metrics.increment(done.isResponseComplete() ? Metric.REQUESTS_ANSWERED : Metric.REQUESTS_CLIENT_CLOSED);
                next.proceed();
            });
            request = new ServerForwarder.ForwardedRequest(
                    exchange.getRequestMethod(),
                    Replies.requestTarget(exchange),
                    exchange.getRequestHeaders(),
                    body,
                    exchange.getRequestHeaders().getFirst(HeaderNames.ATTEMPT_ID),
                    localService,
                    deadlineMs);
            deadlineTimer = clock.schedule(Math.max(1, deadlineMs - clock.nowMs()), this::onDeadline);
            long remainingMs = deadlineMs - clock.nowMs();
            requestAdmission.admit(
                    admissionRequest(body),
                    Math.max(
                            1,
                            Math.min(route.latencyTargetMs() > 0 ? route.latencyTargetMs() : remainingMs, remainingMs)
                                    / ADMISSION_WAIT_DIVISOR),
                    this);
        }

        private RequestAdmission.AdmissionRequest admissionRequest(BodyStream.Body body) {
            Tenant limitedTenant = tenant != null && tenant.ratePerSecond() > 0 ? tenant : null;
            String tenantName = tenant == null ? "" : tenant.name();
            if (!route.isKeyed()) {
                return new RequestAdmission.AdmissionRequest(tenantName, limitedTenant, configuration.epoch(), null, 0);
            }
            // Without a tenant the key belongs to the calling service.
            String keyOwner = tenant == null ? "~" + localService : tenantName;
            return new RequestAdmission.AdmissionRequest(
                    keyOwner,
                    limitedTenant,
                    configuration.epoch(),
                    admissionClient.registerId(
                            keyOwner, exchange.getRequestHeaders().getFirst(HeaderNames.OPERATION_KEY)),
                    admissionClient.fingerprint(
                            exchange.getRequestMethod().toString(),
                            exchange.getRequestHeaders().getFirst(Headers.HOST),
                            Replies.requestTarget(exchange),
                            body.prefix()));
        }

        @Override
        public void proceed(IdempotencyTable.Operation claimed) {
            operation = claimed;
            if (isFinished) {
                recordOutcome(ExecutionOutcome.NOT_EXECUTED, null);
                return;
            }
            startNextAttempt();
        }

        @Override
        public void reject(int status, long retryMs, String reason) {
            if (isFinished) {
                return;
            }
            isFinished = true;
            deadlineTimer.cancel();
            if (retryMs > 0) {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Replies.formatSeconds(retryMs));
            }
            Replies.sendText(exchange, status, reason);
        }

        @Override
        public void replay(IdempotencyTable.StoredResponse response) {
            if (isFinished) {
                return;
            }
            isFinished = true;
            deadlineTimer.cancel();
            Replies.replay(exchange, response);
        }

        /** Records the outcome of the operation, for repeated requests. */
        private void recordOutcome(ExecutionOutcome outcome, UpstreamClient.Response response) {
            if (operation == null) {
                return;
            }
            if (outcome == ExecutionOutcome.ANSWERED) {
                idempotencyTable.recordResponse(operation, Replies.toStoredResponse(response));
            } else if (outcome == ExecutionOutcome.NOT_EXECUTED || deduplicatesKeys()) {
                idempotencyTable.markIdle(operation);
            } else {
                idempotencyTable.markUnknown(operation);
            }
        }

        /**
         * Whether the service deduplicates keys itself, so that a request with an unknown outcome may be sent again.
         */
        private boolean deduplicatesKeys() {
            Service serviceConfiguration = configuration.service(service);
            return serviceConfiguration != null && serviceConfiguration.deduplicatesItself();
        }

        private void onDeadline() {
            if (isFinished) {
                return;
            }
            isFinished = true;
            recordOutcome(
                    currentAttempt != null || mayHaveExecuted
                            ? ExecutionOutcome.POSSIBLY_EXECUTED
                            : ExecutionOutcome.NOT_EXECUTED,
                    null);
            if (currentAttempt != null) {
                currentAttempt.abandon();
            }
            Replies.sendText(exchange, 504, "deadline");
        }

        private void startNextAttempt() {
            EndpointDirectory.Endpoint endpoint = triedEndpoints.size() < MAX_ENDPOINTS_TRIED
                    ? endpointDirectory.chooseEndpoint(service, triedEndpoints)
                    : null;
            if (endpoint == null) {
                giveUp(
                        shortestRetryAfterMs > 0
                                ? shortestRetryAfterMs
                                : DEFAULT_RETRY_AFTER_MS + (long) (clock.random() * DEFAULT_RETRY_AFTER_MS),
                        "no server available");
                return;
            }
            triedEndpoints.add(endpoint);
            endpointDirectory.onRequestStarted(endpoint);
            currentAttempt = new RequestAttempt(endpoint);
            currentAttempt.start();
        }

        private void onAttemptEnded(
                RequestAttempt attempt,
                ServerForwarder.Result result,
                ServerForwarder.RelayCompletion relayCompletion) {
            if (isFinished) {
                if (relayCompletion != null) {
                    relayCompletion.onRelayed(false);
                }
                return;
            }
            currentAttempt = null;
            if (result.hasReachedServer()) {
                serverArrivals++;
            }
            if (result.outcome() == ExecutionOutcome.ANSWERED
                    && !route.isIdempotent()
                    && NOT_EXECUTED_STATUSES.contains(result.response().statusCode())) {
                // The server did not promise that the request was not executed, and forwarding its status would promise
                // it.
                if (relayCompletion != null) {
                    relayCompletion.onRelayed(false);
                }
                result = ServerForwarder.Result.possiblyExecuted("status without X-Not-Executed");
            }
            if (result.outcome() == ExecutionOutcome.ANSWERED) {
                isFinished = true;
                deadlineTimer.cancel();
                recordOutcome(ExecutionOutcome.ANSWERED, result.response());
                Replies.relay(exchange, result.response(), bufferPool, relayCompletion);
                return;
            }
            mayHaveExecuted |= result.outcome() == ExecutionOutcome.POSSIBLY_EXECUTED;
            if (result.retryAfterMs() > 0) {
                shortestRetryAfterMs = shortestRetryAfterMs == 0
                        ? result.retryAfterMs()
                        : Math.min(shortestRetryAfterMs, result.retryAfterMs());
            }
            if ("mark".equals(result.reason()) || "route".equals(result.reason())) {
                proxyObserver.onVersionMismatch();
            }
            log.log(
                    Event.ATTEMPT_FAILED,
                    "route",
                    route.name(),
                    "endpoint",
                    attempt.endpoint.proxy.node,
                    "outcome",
                    result.outcome(),
                    "cause",
                    result.reason());
            boolean shouldRetry = request.body().isComplete()
                    && (result.outcome() == ExecutionOutcome.NOT_EXECUTED || route.isIdempotent())
                    && deadlineMs - clock.nowMs() > MIN_RETRY_TIME_MS
                    && (!result.hasReachedServer()
                            || serverArrivals < route.maxAttempts() && retryBudget.tryAcquire(service, clock.nowMs()));
            if (shouldRetry) {
                startNextAttempt();
                return;
            }
            giveUp(shortestRetryAfterMs > 0 ? shortestRetryAfterMs : DEFAULT_RETRY_AFTER_MS, result.reason());
        }

        /** The final response: it promises that the request was not executed only if that holds for every attempt. */
        private void giveUp(long retryAfterMs, String reason) {
            isFinished = true;
            deadlineTimer.cancel();
            recordOutcome(mayHaveExecuted ? ExecutionOutcome.POSSIBLY_EXECUTED : ExecutionOutcome.NOT_EXECUTED, null);
            if (mayHaveExecuted) {
                Replies.sendText(exchange, 502, reason);
            } else {
                Replies.sendUnavailable(exchange, retryAfterMs, reason);
            }
        }

        /** One attempt at one endpoint. */
        private final class RequestAttempt implements UpstreamClient.ResponseListener {
            private final EndpointDirectory.Endpoint endpoint;
            private UpstreamClient.Call upstreamCall;
            private Clock.Timer silenceTimer;
            private boolean isCountedInFlight = true;

            RequestAttempt(EndpointDirectory.Endpoint endpoint) {
                this.endpoint = endpoint;
            }

            void start() {
                if (endpoint.proxy.node.equals(node)) {
                    InboundHandler.RouteResolution resolution = InboundHandler.RouteResolution.resolve(
                            shadowCommit,
                            serverAdmissions,
                            versionMark,
                            exchange.getRequestHeaders(),
                            Replies.requestPath(exchange),
                            service);
                    if (resolution.serverAdmission() == null) {
                        finish(ServerForwarder.Result.notExecuted(resolution.rejectionReason(), 0, false), null);
                        return;
                    }
                    forwarder.forward(
                            resolution.serverAdmission(),
                            request,
                            resolution.route(),
                            resolution.rank(),
                            (result, relayCompletion) -> {
                                endpointDirectory.recordLoad(endpoint, serverAdmissions.load(service));
                                finish(result, relayCompletion);
                            });
                    return;
                }
                HeaderMap headers = new HeaderMap();
                HeaderNames.copyEndToEnd(request.headers(), headers);
                headers.put(HeaderNames.DEADLINE, Math.max(1, deadlineMs - clock.nowMs()));
                headers.put(HeaderNames.TARGET_SERVICE, service);
                if (!localService.isEmpty()) {
                    headers.put(HeaderNames.CALLER_SERVICE, localService);
                }
                headers.put(HeaderNames.VERSION_MARK, versionMark);
                headers.put(HeaderNames.SENDER_NODE, node);
                watchForSilence();
                upstreamCall = upstream.send(
                        endpoint.proxy.inboundAddress,
                        connectionOptions,
                        ServerForwarder.toUpstreamRequest(request, headers),
                        this);
            }

            /** Pings the proxy while the response is late; hedges where the proxy is suspected. */
            private void watchForSilence() {
                silenceTimer = clock.schedule(connectionOptions.connectTimeoutMs(), () -> {
                    if (endpointDirectory.isSuspected(endpoint.proxy) && mayHedge()) {
                        upstreamCall.cancel();
                        finish(ServerForwarder.Result.possiblyExecuted("proxy does not answer"), null);
                        return;
                    }
                    if (clock.nowMs() - endpoint.proxy.lastHeardMs > connectionOptions.connectTimeoutMs()) {
                        proxyObserver.onProxySilent(endpoint.proxy);
                    }
                    watchForSilence();
                });
            }

            /** Whether a request that may be executing at a silent proxy may be sent to another one as well. */
            private boolean mayHedge() {
                return route.isIdempotent()
                        && request.body().isComplete()
                        && serverArrivals + 1 < route.maxAttempts()
                        && triedEndpoints.size() < MAX_ENDPOINTS_TRIED
                        && retryBudget.hasRetry(service, clock.nowMs())
                        && deadlineMs - clock.nowMs() > MIN_RETRY_TIME_MS;
            }

            private void finish(ServerForwarder.Result result, ServerForwarder.RelayCompletion relayCompletion) {
                releaseEndpoint();
                onAttemptEnded(this, result, relayCompletion);
            }

            private void releaseEndpoint() {
                if (silenceTimer != null) {
                    silenceTimer.cancel();
                }
                if (isCountedInFlight) {
                    isCountedInFlight = false;
                    endpointDirectory.onRequestEnded(endpoint);
                }
            }

            /** The deadline has passed: the attempt is cancelled without a result. */
            void abandon() {
                if (upstreamCall != null) {
                    upstreamCall.cancel();
                }
                releaseEndpoint();
            }

            @Override
            public void onResponse(UpstreamClient.Response response) {
                if (!Replies.namesAttempt(request.attemptId(), response.headers())) {
                    // It answers another request, whether it is a rejection or a success.
                    upstreamCall.discardConnection();
                    upstream.closeIdleConnections(endpoint.proxy.inboundAddress);
                    finish(ServerForwarder.Result.possiblyExecuted("response to another request"), null);
                    return;
                }
                String serverLoad = response.headers().getFirst(HeaderNames.SERVER_LOAD);
                if (serverLoad != null && serverLoad.length() < 6) {
                    endpointDirectory.recordLoad(endpoint, Integer.parseInt(serverLoad));
                }
                ExecutionOutcome outcome =
                        ExecutionOutcome.fromCode(response.headers().getFirst(HeaderNames.EXECUTION_OUTCOME));
                if (outcome == ExecutionOutcome.ANSWERED) {
                    finish(
                            new ServerForwarder.Result(outcome, response, null, 0, true),
                            response.body().isComplete() ? null : isComplete -> upstreamCall.finish(isComplete));
                    return;
                }
                if (!response.body().isComplete()) {
                    upstreamCall.finish(false);
                }
                String reason = response.headers().getFirst(HeaderNames.REASON);
                reason = reason == null ? "no reason given" : reason;
                boolean hasReachedServer = reason.endsWith("!");
                if (outcome == ExecutionOutcome.NOT_EXECUTED) {
                    finish(
                            ServerForwarder.Result.notExecuted(
                                    hasReachedServer ? reason.substring(0, reason.length() - 1) : reason,
                                    retryAfterMs(response),
                                    hasReachedServer),
                            null);
                } else {
                    finish(ServerForwarder.Result.possiblyExecuted(reason), null);
                }
            }

            private long retryAfterMs(UpstreamClient.Response response) {
                String value = response.headers().getFirst(Headers.RETRY_AFTER);
                try {
                    return value == null ? 0 : (long) (Double.parseDouble(value) * 1000);
                } catch (NumberFormatException e) {
                    return 0;
                }
            }

            @Override
            public void onFailure(UpstreamClient.SendProgress progress, String cause) {
                endpointDirectory.markSuspected(endpoint.proxy);
                upstream.closeIdleConnections(endpoint.proxy.inboundAddress);
                finish(
                        progress == UpstreamClient.SendProgress.NOT_SENT
                                ? ServerForwarder.Result.notExecuted(cause, 0, false)
                                : ServerForwarder.Result.possiblyExecuted(cause),
                        null);
            }
        }
    }
}
