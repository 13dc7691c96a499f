package bramblespool.proxy;

import bramblespool.coordination.traffic.AdmissionTicket;
import bramblespool.coordination.traffic.ServerAdmission;
import bramblespool.protocol.ExecutionOutcome;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.Metric;
import bramblespool.state.Route;
import bramblespool.transport.Clock;
import bramblespool.transport.UpstreamClient;
import io.undertow.util.HeaderMap;

/**
 * One attempt at a server: it waits for the server's admission, is sent, and reports its result. It holds a slot of the
 * admission from its sending to its end. Confined to the event loop.
 */
final class ServerAttempt implements UpstreamClient.ResponseListener {
    /** How long after the deadline the server's own 504 may arrive before the connection is closed. */
    private static final long DEADLINE_GRACE_MS = 40;

    private static final int MISDIRECTED_REQUEST = 421;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ServerForwarder forwarder;
    private final ServerAdmission serverAdmission;
    private final ForwardedRequest request;
    private final AttemptResult.Listener listener;
    private AdmissionTicket ticket;
    private boolean isAdmittedImmediately;
    private String serverId;
    private UpstreamClient.Call upstreamCall;
    private Clock.Timer deadlineTimer;
    private RequestCancellation.Registration registration;
    private boolean isFinished;
    private String tenant;
    private long usageWindow;

    ServerAttempt(
            ServerForwarder forwarder,
            ServerAdmission serverAdmission,
            ForwardedRequest request,
            AttemptResult.Listener listener) {
        this.forwarder = forwarder;
        this.serverAdmission = serverAdmission;
        this.request = request;
        this.listener = listener;
    }

    void start(Route route, int rank) {
        registration = request.cancellation().register(this::onCancelled);
        ticket = serverAdmission.admit(
                route.name(),
                rank,
                route.latencyTargetMs(),
                request.deadlineMs(),
                this::onAdmitted,
                rejection -> endUnsent(AttemptResult.notExecuted(rejection.reason(), rejection.retryAfterMs(), false)));
        if (isAdmittedImmediately) {
            send();
        }
    }

    private void onAdmitted() {
        if (ticket == null) {
            isAdmittedImmediately = true;
        } else {
            send();
        }
    }

    private void endUnsent(AttemptResult result) {
        end();
        listener.onResult(result, null);
    }

    private void end() {
        isFinished = true;
        registration.close();
    }

    /**
     * The client has left: ends the attempt, save a run at the server that is not to be broken off, or that ends at its
     * deadline about now, so that closing the connection would gain nothing.
     */
    private void onCancelled() {
        boolean mayEndByItself = request.cancellation().policy() == ClientClosePolicy.FINISH_RUN
                || request.deadlineMs() - forwarder.clock.nowMs() <= DEADLINE_GRACE_MS;
        if (mayEndByItself && isSent() && upstreamCall.isRequestSent()) {
            registration.close();
            forwarder.metrics.increment(Metric.SERVER_REQUESTS_DETACHED);
        } else {
            abort();
        }
    }

    private boolean isSent() {
        return upstreamCall != null;
    }

    /** Ends the attempt without a result; returns whether the request may have been executed. */
    ExecutionOutcome abort() {
        if (isFinished) {
            return ExecutionOutcome.POSSIBLY_EXECUTED;
        }
        end();
        if (!isSent()) {
            ticket.cancel();
            forwarder.metrics.increment(Metric.QUEUED_REQUESTS_CANCELLED);
            return ExecutionOutcome.NOT_EXECUTED;
        }
        deadlineTimer.cancel();
        upstreamCall.cancel();
        ticket.releaseCancelled();
        forwarder.metrics.increment(Metric.SERVER_REQUESTS_CANCELLED);
        return ExecutionOutcome.POSSIBLY_EXECUTED;
    }

    private void send() {
        if (!request.cancellation().checkMaySend(request.attemptId())) {
            ticket.release(false);
            end();
            return;
        }
        serverId = ticket.serverId();
        long remainingMs = request.deadlineMs() - forwarder.clock.nowMs();
        if (remainingMs <= 0) {
            ticket.release(false);
            endUnsent(AttemptResult.notExecuted("late", 0, false));
            return;
        }
        deadlineTimer = forwarder.clock.schedule(remainingMs + DEADLINE_GRACE_MS, this::onDeadline);
        countUsage();
        forwarder.metrics.increment(Metric.SERVER_REQUESTS);
        upstreamCall = forwarder.upstream.send(
                serverAdmission.address(),
                forwarder.connectionOptions(),
                request.toUpstreamRequest(outgoingHeaders(remainingMs)),
                this);
    }

    private HeaderMap outgoingHeaders(long remainingMs) {
        HeaderMap headers = new HeaderMap();
        HeaderNames.copyEndToEnd(request.headers(), headers);
        headers.put(HeaderNames.DEADLINE, remainingMs);
        headers.put(HeaderNames.TARGET_INSTANCE, serverId);
        if (!request.callerService().isEmpty()) {
            headers.put(HeaderNames.CALLER_SERVICE, request.callerService());
        }
        return headers;
    }

    private void countUsage() {
        tenant = forwarder.usageCounter == null ? null : request.headers().getFirst(HeaderNames.TENANT);
        if (tenant != null) {
            usageWindow = forwarder.usageCounter.recordRun(tenant);
        }
    }

    private void onDeadline() {
        boolean wasSent = upstreamCall.isRequestSent();
        forwarder.metrics.increment(Metric.SERVER_REQUESTS_CANCELLED);
        upstreamCall.cancel();
        finish(
                wasSent ? AttemptResult.possiblyExecuted("deadline") : AttemptResult.notExecuted("late", 0, false),
                false,
                null);
    }

    private void finish(AttemptResult result, boolean hasSucceeded, AttemptResult.RelayCompletion relayCompletion) {
        if (isFinished) {
            return;
        }
        end();
        deadlineTimer.cancel();
        if (tenant != null && result.outcome() == ExecutionOutcome.NOT_EXECUTED) {
            forwarder.usageCounter.undoRun(tenant, usageWindow);
        }
        if (result.outcome() == ExecutionOutcome.POSSIBLY_EXECUTED) {
            ticket.recordOutcome(false);
        } else if (result.isAnswered() && result.response().statusCode() != GATEWAY_TIMEOUT) {
            ticket.recordOutcome(result.response().statusCode() < FIRST_SERVER_ERROR);
        }
        if (relayCompletion == null) {
            ticket.release(hasSucceeded);
        }
        listener.onResult(result, relayCompletion);
    }

    @Override
    public void onResponse(UpstreamClient.Response response) {
        forwarder.onKeepAlive(HeaderNames.keepAliveSeconds(response.headers()));
        if (!Replies.namesAttempt(request.attemptId(), response.headers())) {
            // It answers another request, whether it is a rejection or a success.
            upstreamCall.discardConnection();
            forwarder.upstream.closeIdleConnections(serverAdmission.address());
            finish(AttemptResult.possiblyExecuted("response to another request"), false, null);
        } else if (response.statusCode() == MISDIRECTED_REQUEST) {
            upstreamCall.discardConnection();
            serverAdmission.markUnreachable(serverId);
            finish(AttemptResult.notExecuted(RouteResolution.NO_SERVER, 0, false), false, null);
        } else if (response.headers().contains(HeaderNames.NOT_EXECUTED)) {
            if (!response.body().isComplete()) {
                upstreamCall.finish(false);
            }
            finish(AttemptResult.notExecuted("rejected by the server", 0, true), false, null);
        } else if (response.body().isComplete()) {
            finish(AttemptResult.answered(response), response.statusCode() < FIRST_SERVER_ERROR, null);
        } else {
            finish(AttemptResult.answered(response), true, isComplete -> {
                upstreamCall.finish(isComplete);
                ticket.release(false);
            });
        }
    }

    @Override
    public void onBodySent() {
        request.cancellation().onBodySent();
    }

    @Override
    public void onFailure(UpstreamClient.SendProgress progress, String cause) {
        if (progress == UpstreamClient.SendProgress.NOT_SENT) {
            serverAdmission.markUnreachable(serverId);
            finish(AttemptResult.notExecuted(RouteResolution.NO_SERVER, 0, false), false, null);
        } else {
            finish(AttemptResult.possiblyExecuted(cause), false, null);
        }
    }
}
