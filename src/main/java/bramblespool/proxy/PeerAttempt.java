package bramblespool.proxy;

import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.protocol.ExecutionOutcome;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.Metric;
import bramblespool.transport.Clock;
import bramblespool.transport.UpstreamClient;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.function.BooleanSupplier;

/** One attempt at another proxy. Confined to the event loop. */
final class PeerAttempt implements UpstreamClient.ResponseListener {
    /** Ends the reason of a rejection where the server has received the request. */
    static final String REACHED_SERVER_SUFFIX = "!";

    private static final int MAX_LOAD_DIGITS = 5;
    private static final double MS_PER_SECOND = 1000;

    private final PeerForwarder forwarder;
    private final EndpointDirectory.Endpoint endpoint;
    private final ForwardedRequest request;
    private final BooleanSupplier mayHedge;
    private final AttemptResult.Listener listener;
    private UpstreamClient.Call upstreamCall;
    private Clock.Timer silenceTimer;
    private RequestCancellation.Registration registration;

    /**
     * @param mayHedge whether a request that may be executing at a silent proxy may be sent to another one as well
     * @param listener gets the result, once, unless the attempt is abandoned before
     */
    PeerAttempt(
            PeerForwarder forwarder,
            EndpointDirectory.Endpoint endpoint,
            ForwardedRequest request,
            BooleanSupplier mayHedge,
            AttemptResult.Listener listener) {
        this.forwarder = forwarder;
        this.endpoint = endpoint;
        this.request = request;
        this.mayHedge = mayHedge;
        this.listener = listener;
    }

    void start(HeaderMap headers) {
        if (!request.cancellation().checkMaySend(request.attemptId())) {
            return;
        }
        registration = request.cancellation().register(this::abandon);
        watchForSilence();
        upstreamCall = forwarder.upstream.send(
                endpoint.proxy.inboundAddress, forwarder.connectionOptions, request.toUpstreamRequest(headers), this);
    }

    /** Pings the proxy while the response is late; hedges where the proxy is suspected. */
    private void watchForSilence() {
        long silenceMs = forwarder.connectionOptions.connectTimeoutMs();
        silenceTimer = forwarder.clock.schedule(silenceMs, () -> {
            if (forwarder.endpointDirectory.isSuspected(endpoint.proxy) && mayHedge.getAsBoolean()) {
                upstreamCall.cancel();
                finish(AttemptResult.possiblyExecuted("proxy does not answer"), null);
                return;
            }
            if (forwarder.clock.nowMs() - endpoint.proxy.lastHeardMs > silenceMs) {
                forwarder.proxyObserver.onProxySilent(endpoint.proxy);
            }
            watchForSilence();
        });
    }

    private void finish(AttemptResult result, AttemptResult.RelayCompletion relayCompletion) {
        silenceTimer.cancel();
        registration.close();
        listener.onResult(result, relayCompletion);
    }

    /** Ends the attempt without a result; the other proxy sees that its connection is closed. */
    void abandon() {
        silenceTimer.cancel();
        registration.close();
        forwarder.metrics.increment(Metric.PEER_ATTEMPTS_CANCELLED);
        upstreamCall.cancel();
    }

    @Override
    public void onResponse(UpstreamClient.Response response) {
        if (!Replies.namesAttempt(request.attemptId(), response.headers())) {
            // It answers another request, whether it is a rejection or a success.
            upstreamCall.discardConnection();
            forwarder.upstream.closeIdleConnections(endpoint.proxy.inboundAddress);
            finish(AttemptResult.possiblyExecuted("response to another request"), null);
            return;
        }
        recordLoad(response);
        ExecutionOutcome outcome =
                ExecutionOutcome.fromCode(response.headers().getFirst(HeaderNames.EXECUTION_OUTCOME));
        if (outcome == ExecutionOutcome.ANSWERED) {
            finish(
                    AttemptResult.answered(response),
                    response.body().isComplete() ? null : isComplete -> upstreamCall.finish(isComplete));
            return;
        }
        if (!response.body().isComplete()) {
            upstreamCall.finish(false);
        }
        finish(rejection(outcome, response), null);
    }

    private void recordLoad(UpstreamClient.Response response) {
        String serverLoad = response.headers().getFirst(HeaderNames.SERVER_LOAD);
        if (serverLoad != null && serverLoad.length() <= MAX_LOAD_DIGITS) {
            forwarder.endpointDirectory.recordLoad(endpoint, Integer.parseInt(serverLoad));
        }
    }

    private static AttemptResult rejection(ExecutionOutcome outcome, UpstreamClient.Response response) {
        String header = response.headers().getFirst(HeaderNames.REASON);
        String reason = header == null ? "no reason given" : header;
        if (outcome != ExecutionOutcome.NOT_EXECUTED) {
            return AttemptResult.possiblyExecuted(reason);
        }
        boolean hasReachedServer = reason.endsWith(REACHED_SERVER_SUFFIX);
        return AttemptResult.notExecuted(
                hasReachedServer ? reason.substring(0, reason.length() - REACHED_SERVER_SUFFIX.length()) : reason,
                retryAfterMs(response),
                hasReachedServer);
    }

    private static long retryAfterMs(UpstreamClient.Response response) {
        String value = response.headers().getFirst(Headers.RETRY_AFTER);
        try {
            return value == null ? 0 : (long) (Double.parseDouble(value) * MS_PER_SECOND);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    @Override
    public void onBodySent() {
        request.cancellation().onBodySent();
    }

    @Override
    public void onFailure(UpstreamClient.SendProgress progress, String cause) {
        forwarder.endpointDirectory.markSuspected(endpoint.proxy);
        forwarder.upstream.closeIdleConnections(endpoint.proxy.inboundAddress);
        finish(
                progress == UpstreamClient.SendProgress.NOT_SENT
                        ? AttemptResult.notExecuted(cause, 0, false)
                        : AttemptResult.possiblyExecuted(cause),
                null);
    }
}
