package bramblespool.proxy;

import bramblespool.coordination.traffic.ServerAdmissions;
import bramblespool.protocol.ExecutionOutcome;
import bramblespool.protocol.HeaderNames;
import io.undertow.server.HttpServerExchange;

/**
 * A request of another proxy in progress: one attempt at a server of this proxy, and its response. Confined to the
 * event loop.
 */
final class InboundExchange implements ExchangeMonitor.Owner {
    private static final String PRINTABLE_ONLY = "[^ -~]";

    private final HttpServerExchange exchange;
    private final ServerAdmissions serverAdmissions;
    private final String service;
    private final ForwardedRequest request;
    private final RequestCancellation.Registration registration;
    private ServerAttempt attempt;
    private Runnable cancelRelay = () -> {};
    private boolean isAnswered;

    /** {@code service}: of the server. */
    InboundExchange(
            HttpServerExchange exchange, ServerAdmissions serverAdmissions, String service, ForwardedRequest request) {
        this.exchange = exchange;
        this.serverAdmissions = serverAdmissions;
        this.service = service;
        this.request = request;
        this.registration = request.cancellation().register(this::onCancelled);
    }

    void start(ServerForwarder forwarder, RouteResolution resolution) {
        attempt = forwarder.forward(resolution, request, this::onResult);
    }

    @Override
    public String stage() {
        return isAnswered ? "the response" : "the server";
    }

    /** The caller has left. The attempt ends by its own registration. */
    private void onCancelled() {
        registration.close();
        cancelRelay.run();
    }

    @Override
    public boolean endForShutdown() {
        if (isAnswered) {
            return false;
        }
        onResult(
                attempt.abort() == ExecutionOutcome.NOT_EXECUTED
                        ? AttemptResult.notExecuted("leaving", 0, false)
                        : AttemptResult.possiblyExecuted("shutting down"),
                null);
        return true;
    }

    private void onResult(AttemptResult result, AttemptResult.RelayCompletion relayCompletion) {
        if (request.cancellation().isCancelled()) {
            if (relayCompletion != null) {
                relayCompletion.onRelayed(false);
            }
            return;
        }
        isAnswered = true;
        if (result.isAnswered()) {
            exchange.getResponseHeaders()
                    .put(HeaderNames.EXECUTION_OUTCOME, result.outcome().code)
                    .put(HeaderNames.SERVER_LOAD, serverAdmissions.load(service));
            cancelRelay = Replies.relay(exchange, result.response(), relayCompletion);
        } else if (result.outcome() == ExecutionOutcome.NOT_EXECUTED) {
            reject(exchange, serverAdmissions, service, result);
        } else {
            putOutcome(exchange, serverAdmissions, service, result.outcome(), result.reason());
            Replies.sendText(exchange, 502, "");
        }
    }

    /** Answers that the request was not executed. */
    static void reject(
            HttpServerExchange exchange, ServerAdmissions serverAdmissions, String service, AttemptResult result) {
        String reason =
                result.hasReachedServer() ? result.reason() + PeerAttempt.REACHED_SERVER_SUFFIX : result.reason();
        putOutcome(exchange, serverAdmissions, service, result.outcome(), reason);
        Replies.sendUnavailable(exchange, result.retryAfterMs(), "");
    }

    /** Every response names the attempt it answers, so that it cannot be mistaken for an answer to another one. */
    private static void putOutcome(
            HttpServerExchange exchange,
            ServerAdmissions serverAdmissions,
            String service,
            ExecutionOutcome outcome,
            String reason) {
        exchange.getResponseHeaders()
                .put(HeaderNames.ATTEMPT_ID, exchange.getRequestHeaders().getFirst(HeaderNames.ATTEMPT_ID))
                .put(HeaderNames.EXECUTION_OUTCOME, outcome.code)
                .put(HeaderNames.SERVER_LOAD, serverAdmissions.load(service))
                .put(HeaderNames.REASON, reason.replaceAll(PRINTABLE_ONLY, "?"));
    }
}
