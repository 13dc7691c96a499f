package bramblespool.proxy;

import bramblespool.coordination.answer.StoredResponse;
import bramblespool.coordination.configuration.ShadowCommitParticipant;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.RequestAdmission;
import bramblespool.protocol.ExecutionOutcome;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Metrics;
import bramblespool.state.Route;
import bramblespool.state.Service;
import bramblespool.state.Tenant;
import bramblespool.transport.BodyStream;
import bramblespool.transport.Clock;
import bramblespool.transport.UpstreamClient;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Set;

/**
 * A client's request in progress, from its admission to its one response. It is sent to one endpoint after the other
 * until one answers, its deadline passes or nothing more may be tried. Confined to the event loop.
 */
final class ProxiedExchange implements RequestAdmission.AdmissionHandler, ExchangeMonitor.Owner {
    /** What all exchanges of a proxy share. */
    record Services(
            Clock clock,
            DataPlaneNode dataPlaneNode,
            ServerForwarder serverForwarder,
            PeerForwarder peerForwarder,
            Metrics metrics,
            EventLog log) {

        private ShadowCommitParticipant shadowCommit() {
            return dataPlaneNode.shadowCommit;
        }

        private EndpointDirectory endpointDirectory() {
            return dataPlaneNode.endpointDirectory;
        }

        private String localService() {
            return peerForwarder.sender().service();
        }
    }

    private static final long DEFAULT_RETRY_AFTER_MS = RequestResolver.DEFAULT_RETRY_AFTER_MS;
    /** Statuses that promise a client that its request was not executed. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);
    /** Admission may take the latency target, or the remaining time where that is less, divided by this. */
    private static final int ADMISSION_WAIT_DIVISOR = 2;

    private final Services services;
    private final HttpServerExchange exchange;
    private final RequestResolver.ResolvedRequest resolved;
    private final Route route;
    private final ForwardedRequest request;
    private final String versionMark;
    private final AttemptHistory history;
    private final RequestCancellation.Registration registration;
    private Runnable cancelRelay = () -> {};
    private Clock.Timer deadlineTimer;
    private RequestAttempt currentAttempt;
    private boolean isFinished;
    /** The claimed operation, where the request has an idempotency key and the claim was won. */
    private IdempotencyTable.Operation operation;

    /** {@code versionMark}: of the version in force when the request's head arrived. */
    ProxiedExchange(
            Services services,
            HttpServerExchange exchange,
            RequestResolver.ResolvedRequest resolved,
            String versionMark,
            BodyStream.Body body) {
        this.services = services;
        this.exchange = exchange;
        this.resolved = resolved;
        this.route = resolved.route();
        this.versionMark = versionMark;
        this.request = new ForwardedRequest(
                exchange.getRequestMethod(),
                Replies.requestTarget(exchange),
                exchange.getRequestHeaders(),
                body,
                services.localService(),
                resolved.deadlineMs(),
                new RequestCancellation(ClientClosePolicy.of(route), services.metrics));
        this.history =
                new AttemptHistory(route, resolved.service(), services.dataPlaneNode.retryBudget, body.isComplete());
        this.registration = request.cancellation().register(this::onCancelled);
    }

    ForwardedRequest request() {
        return request;
    }

    @Override
    public String stage() {
        if (isFinished) {
            return "the response";
        }
        return currentAttempt == null ? "admission" : currentAttempt.endpoint.proxy.node;
    }

    private long remainingMs() {
        return resolved.deadlineMs() - services.clock.nowMs();
    }

    /** Asks for admission; the first attempt follows. */
    void start() {
        deadlineTimer = services.clock.schedule(Math.max(1, remainingMs()), this::onDeadline);
        long targetMs = route.latencyTargetMs() > 0 ? route.latencyTargetMs() : remainingMs();
        services.dataPlaneNode.requestAdmission.admit(
                admissionRequest(), Math.max(1, Math.min(targetMs, remainingMs()) / ADMISSION_WAIT_DIVISOR), this);
    }

    private RequestAdmission.AdmissionRequest admissionRequest() {
        Tenant tenant = resolved.tenant();
        Tenant limitedTenant = tenant != null && tenant.ratePerSecond() > 0 ? tenant : null;
        String tenantName = tenant == null ? "" : tenant.name();
        long epoch = resolved.configuration().epoch();
        if (!route.isKeyed()) {
            return new RequestAdmission.AdmissionRequest(tenantName, limitedTenant, epoch, null, 0);
        }
        // Without a tenant the key belongs to the calling service.
        String keyOwner = tenant == null ? "~" + services.localService() : tenantName;
        var admissionClient = services.dataPlaneNode.admissionClient;
        return new RequestAdmission.AdmissionRequest(
                keyOwner,
                limitedTenant,
                epoch,
                admissionClient.registerId(keyOwner, request.headers().getFirst(HeaderNames.OPERATION_KEY)),
                admissionClient.fingerprint(
                        request.method().toString(),
                        request.headers().getFirst(Headers.HOST),
                        request.requestTarget(),
                        request.body().prefix()));
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
        finish();
        if (retryMs > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Replies.formatSeconds(retryMs));
        }
        Replies.sendText(exchange, status, reason);
    }

    @Override
    public void replay(StoredResponse response) {
        if (isFinished) {
            return;
        }
        finish();
        Replies.replay(exchange, response);
    }

    private void finish() {
        isFinished = true;
        deadlineTimer.cancel();
    }

    /** Records the outcome of the operation, for repeated requests. */
    private void recordOutcome(ExecutionOutcome outcome, UpstreamClient.Response response) {
        if (operation == null) {
            return;
        }
        IdempotencyTable idempotencyTable = services.dataPlaneNode.idempotencyTable;
        if (outcome == ExecutionOutcome.ANSWERED) {
            idempotencyTable.recordResponse(operation, Replies.toStoredResponse(response));
        } else if (outcome == ExecutionOutcome.NOT_EXECUTED || deduplicatesKeys()) {
            idempotencyTable.markIdle(operation);
        } else {
            idempotencyTable.markUnknown(operation);
        }
    }

    /** Whether the service deduplicates keys itself, so that a request with an unknown outcome may be sent again. */
    private boolean deduplicatesKeys() {
        Service service = resolved.configuration().service(resolved.service());
        return service != null && service.deduplicatesItself();
    }

    private void recordUnanswered() {
        boolean isUnknown = currentAttempt != null || history.mayHaveExecuted();
        recordOutcome(isUnknown ? ExecutionOutcome.POSSIBLY_EXECUTED : ExecutionOutcome.NOT_EXECUTED, null);
    }

    private void onDeadline() {
        if (isFinished) {
            return;
        }
        finish();
        recordUnanswered();
        if (currentAttempt != null) {
            currentAttempt.abandon();
        }
        Replies.sendText(exchange, 504, "deadline");
    }

    /** The client has left. The attempt in progress ends by its own registration. */
    private void onCancelled() {
        registration.close();
        if (isFinished) {
            cancelRelay.run();
            return;
        }
        finish();
        recordUnanswered();
        if (currentAttempt != null) {
            currentAttempt.releaseEndpoint();
        }
    }

    @Override
    public boolean endForShutdown() {
        if (isFinished) {
            return false;
        }
        if (currentAttempt != null) {
            history.recordAborted(currentAttempt.abort());
            currentAttempt = null;
        }
        giveUp(DEFAULT_RETRY_AFTER_MS, "shutting down");
        return true;
    }

    private void startNextAttempt() {
        EndpointDirectory.Endpoint endpoint = history.chooseEndpoint(services.endpointDirectory());
        if (endpoint == null) {
            long jitterMs = (long) (services.clock.random() * DEFAULT_RETRY_AFTER_MS);
            giveUp(history.retryAfterMs(DEFAULT_RETRY_AFTER_MS + jitterMs), "no server available");
            return;
        }
        services.endpointDirectory().onRequestStarted(endpoint);
        currentAttempt = new RequestAttempt(endpoint);
        currentAttempt.start();
    }

    private void onAttemptEnded(
            RequestAttempt attempt, AttemptResult result, AttemptResult.RelayCompletion relayCompletion) {
        if (isFinished) {
            if (relayCompletion != null) {
                relayCompletion.onRelayed(false);
            }
            return;
        }
        currentAttempt = null;
        if (result.isAnswered() && !isFalsePromise(result)) {
            finish();
            recordOutcome(ExecutionOutcome.ANSWERED, result.response());
            cancelRelay = Replies.relay(exchange, result.response(), relayCompletion);
            return;
        }
        if (relayCompletion != null) {
            relayCompletion.onRelayed(false);
        }
        onAttemptFailed(
                attempt,
                result.isAnswered() ? AttemptResult.possiblyExecuted("status without X-Not-Executed") : result);
    }

    /** Whether forwarding a server's status would promise that the request was not executed, which it did not say. */
    private boolean isFalsePromise(AttemptResult result) {
        return !route.isIdempotent()
                && NOT_EXECUTED_STATUSES.contains(result.response().statusCode());
    }

    private void onAttemptFailed(RequestAttempt attempt, AttemptResult result) {
        history.record(result);
        if (RouteResolution.isVersionMismatch(result.reason())) {
            services.peerForwarder.proxyObserver.onVersionMismatch();
        }
        services.log.log(
                Event.ATTEMPT_FAILED,
                "route",
                route.name(),
                "endpoint",
                attempt.endpoint.proxy.node,
                "outcome",
                result.outcome(),
                "cause",
                result.reason());
        if (history.mayRetry(result, remainingMs(), services.clock.nowMs())) {
            startNextAttempt();
        } else {
            giveUp(history.retryAfterMs(DEFAULT_RETRY_AFTER_MS), result.reason());
        }
    }

    private boolean mayHedge() {
        return history.mayHedge(remainingMs(), services.clock.nowMs());
    }

    /** The final response: it promises that the request was not executed only if that holds for every attempt. */
    private void giveUp(long retryAfterMs, String reason) {
        finish();
        recordUnanswered();
        if (history.mayHaveExecuted()) {
            Replies.sendText(exchange, 502, reason);
        } else {
            Replies.sendUnavailable(exchange, retryAfterMs, reason);
        }
    }

    /** One attempt at one endpoint: at a server of this proxy, or by way of another proxy. */
    private final class RequestAttempt {
        private final EndpointDirectory.Endpoint endpoint;
        /** Null where the endpoint is a server of this proxy. */
        private PeerAttempt peerAttempt;
        /** Null where the endpoint is another proxy's, or where the attempt has ended at once. */
        private ServerAttempt serverAttempt;

        private boolean isCountedInFlight = true;

        RequestAttempt(EndpointDirectory.Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        void start() {
            if (endpoint.proxy.node.equals(services.peerForwarder.sender().node())) {
                startLocally();
                return;
            }
            peerAttempt = new PeerAttempt(
                    services.peerForwarder, endpoint, request, ProxiedExchange.this::mayHedge, this::end);
            peerAttempt.start(services.peerForwarder.outgoingHeaders(request, resolved.service(), versionMark));
        }

        private void startLocally() {
            RouteResolution resolution = RouteResolution.resolve(
                    services.shadowCommit(),
                    services.dataPlaneNode.admissions,
                    versionMark,
                    request.headers(),
                    Replies.requestPath(exchange),
                    resolved.service());
            if (resolution.isRejected()) {
                end(AttemptResult.notExecuted(resolution.rejectionReason(), 0, false), null);
                return;
            }
            serverAttempt = services.serverForwarder.forward(resolution, request, (result, relayCompletion) -> {
                services.endpointDirectory()
                        .recordLoad(endpoint, services.dataPlaneNode.admissions.load(resolved.service()));
                end(result, relayCompletion);
            });
        }

        private void end(AttemptResult result, AttemptResult.RelayCompletion relayCompletion) {
            releaseEndpoint();
            onAttemptEnded(this, result, relayCompletion);
        }

        private void releaseEndpoint() {
            if (isCountedInFlight) {
                isCountedInFlight = false;
                services.endpointDirectory().onRequestEnded(endpoint);
            }
        }

        /** Ends it without a result; returns whether the request may have been executed. */
        ExecutionOutcome abort() {
            ExecutionOutcome outcome =
                    serverAttempt == null ? ExecutionOutcome.POSSIBLY_EXECUTED : serverAttempt.abort();
            abandon();
            return outcome;
        }

        /** Nobody waits for its result any more; a server of this proxy ends it by its own deadline. */
        void abandon() {
            if (peerAttempt != null) {
                peerAttempt.abandon();
            }
            releaseEndpoint();
        }
    }
}
