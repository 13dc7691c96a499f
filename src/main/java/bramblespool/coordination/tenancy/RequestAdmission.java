package bramblespool.coordination.tenancy;

import bramblespool.coordination.tenancy.IdempotencyTable.Operation;
import bramblespool.coordination.tenancy.IdempotencyTable.State;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Tenant;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Admits a request before it is forwarded: by its tenant's rate limit and the claim of its idempotency key. Confined to
 * the event loop.
 */
public final class RequestAdmission {
    /**
     * A request to be admitted.
     *
     * @param limit null without a rate limit
     * @param registerId null without an idempotency key
     * @param fingerprint see {@link AdmissionClient#fingerprint}
     */
    public record AdmissionRequest(String tenant, Tenant limit, long epoch, String registerId, long fingerprint) {
        boolean isUnrestricted() {
            return limit == null && registerId == null;
        }
    }

    /** Gets the outcome of an admission: exactly one method is called, once. */
    public interface AdmissionHandler {
        /**
         * The request may be forwarded; the handler records the outcome of the operation, which is null without a key.
         */
        void proceed(Operation operation);

        /** The request is answered with this status; {@code retryMs} is 0 without a time to retry. */
        void reject(int status, long retryMs, String reason);

        /** The request was executed before, with this response. */
        void replay(IdempotencyTable.StoredResponse response);
    }

    /** Asks the proxy that a claim names for the outcome of the claimed operation. */
    public interface OutcomeQuery {
        /** The callback gets null where that proxy did not answer, or cannot know the outcome after a restart. */
        void queryOperation(
                String registerId, String claim, long fingerprint, long timeoutMs, Consumer<JsonNode> callback);
    }

    /** When a repeated request may be sent again while the operation is being executed. */
    private static final long IN_PROGRESS_RETRY_MS = 100;

    private final AdmissionClient admissionClient;
    private final IdempotencyTable idempotencyTable;
    private final OutcomeQuery outcomeQuery;
    private final EventLog log;

    /** {@code outcomeQuery}: asks other proxies about their claims. */
    public RequestAdmission(
            AdmissionClient admissionClient,
            IdempotencyTable idempotencyTable,
            OutcomeQuery outcomeQuery,
            EventLog log) {
        this.admissionClient = admissionClient;
        this.idempotencyTable = idempotencyTable;
        this.outcomeQuery = outcomeQuery;
        this.log = log;
    }

    /** Admits a request; the handler may be called before this returns. */
    public void admit(AdmissionRequest request, long timeoutMs, AdmissionHandler handler) {
        if (request.isUnrestricted()) {
            handler.proceed(null);
            return;
        }
        Operation operation = request.registerId == null ? null : idempotencyTable.get(request.registerId);
        if (operation == null) {
            claim(request, null, false, timeoutMs, handler);
            return;
        }
        if (!operation.isSameRequest(request.fingerprint)) {
            handler.reject(422, 0, "the key belongs to another request");
            return;
        }
        switch (operation.state()) {
            case CLAIMING, RUNNING -> handler.reject(409, IN_PROGRESS_RETRY_MS, "in progress");
            case ANSWERED -> replayStored(operation.response(), handler);
            case UNKNOWN -> handler.reject(409, 0, "the outcome is unknown");
            default -> {
                if (idempotencyTable.isClaimUsable(operation)) {
                    readmit(request, operation, timeoutMs, handler);
                } else {
                    claim(request, operation.claim(), false, timeoutMs, handler);
                }
            }
        }
    }

    private void replayStored(IdempotencyTable.StoredResponse response, AdmissionHandler handler) {
        if (response == null) {
            handler.reject(409, 0, "executed before, and the response is no longer stored");
        } else {
            handler.replay(response);
        }
    }

    /** The claim was won a short while ago by an attempt that was never executed: only a token is needed. */
    private void readmit(AdmissionRequest request, Operation operation, long timeoutMs, AdmissionHandler handler) {
        idempotencyTable.markRunning(operation);
        if (request.limit == null) {
            handler.proceed(operation);
            return;
        }
        admissionClient.admit(request.tenant, request.limit, request.epoch, null, null, null, timeoutMs, decision -> {
            if (decision.verdict() == AdmissionClient.Verdict.ADMITTED) {
                handler.proceed(operation);
            } else {
                idempotencyTable.markIdle(operation);
                rejectDecision(decision, handler);
            }
        });
    }

    private void claim(
            AdmissionRequest request,
            String expectedClaim,
            boolean isTokenTaken,
            long timeoutMs,
            AdmissionHandler handler) {
        Operation operation = request.registerId == null
                ? null
                : idempotencyTable.startClaim(request.registerId, request.fingerprint);
        admissionClient.admit(
                request.tenant,
                isTokenTaken ? null : request.limit,
                request.epoch,
                request.registerId,
                operation == null ? null : operation.claim(),
                expectedClaim,
                timeoutMs,
                decision -> {
                    if (decision.verdict() == AdmissionClient.Verdict.ADMITTED) {
                        if (operation != null) {
                            idempotencyTable.markRunning(operation);
                        }
                        handler.proceed(operation);
                        return;
                    }
                    if (decision.verdict() == AdmissionClient.Verdict.CLAIMED_ELSEWHERE && operation != null) {
                        resolveConflict(request, operation, decision.existingClaim(), isTokenTaken, timeoutMs, handler);
                        return;
                    }
                    if (operation != null) {
                        idempotencyTable.markIdle(operation);
                    }
                    rejectDecision(decision, handler);
                });
    }

    private void rejectDecision(AdmissionClient.Decision decision, AdmissionHandler handler) {
        if (decision.verdict() == AdmissionClient.Verdict.RATE_LIMITED) {
            handler.reject(429, decision.waitMs(), "over the rate limit");
        } else {
            log.log(Event.ADMISSION_UNAVAILABLE, "cause", decision.verdict());
            handler.reject(503, decision.waitMs(), "no controller could admit it");
        }
    }

    /** Another proxy has claimed the key: only that one knows the outcome. */
    private void resolveConflict(
            AdmissionRequest request,
            Operation operation,
            String existingClaim,
            boolean isSecondAttempt,
            long timeoutMs,
            AdmissionHandler handler) {
        outcomeQuery.queryOperation(request.registerId, existingClaim, request.fingerprint, timeoutMs, outcome -> {
            String state = outcome == null ? "" : outcome.path("state").asText();
            if (state.equals(State.GIVEN.name()) && !isSecondAttempt) {
                idempotencyTable.markIdle(operation);
                claim(request, existingClaim, true, timeoutMs, handler);
                return;
            }
            idempotencyTable.markIdle(operation);
            if (state.equals(State.ANSWERED.name()) && outcome.has("code")) {
                IdempotencyTable.StoredResponse response = decodeResponse(outcome);
                idempotencyTable.recordResponse(operation, response);
                handler.replay(response);
            } else if (state.equals("DIFFERS")) {
                handler.reject(422, 0, "the key belongs to another request");
            } else {
                log.log(
                        Event.IDEMPOTENCY_KEY_IN_USE,
                        "owner",
                        existingClaim,
                        "state",
                        state.isEmpty() ? "silent" : state);
                handler.reject(409, state.equals(State.RUNNING.name()) ? IN_PROGRESS_RETRY_MS : 0, "claimed elsewhere");
            }
        });
    }

    private static IdempotencyTable.StoredResponse decodeResponse(JsonNode outcome) {
        List<String> headers = new ArrayList<>();
        outcome.path("headers").forEach(header -> headers.add(header.asText()));
        try {
            return new IdempotencyTable.StoredResponse(
                    outcome.path("code").asInt(), headers, outcome.path("body").binaryValue());
        } catch (IOException e) {
            return new IdempotencyTable.StoredResponse(outcome.path("code").asInt(), headers, new byte[0]);
        }
    }
}
