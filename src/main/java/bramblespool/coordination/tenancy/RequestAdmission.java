package bramblespool.coordination.tenancy;

import bramblespool.coordination.answer.AnswerCodec;
import bramblespool.coordination.answer.AnswerLookup;
import bramblespool.coordination.answer.StoredResponse;
import bramblespool.coordination.tenancy.IdempotencyTable.Operation;
import bramblespool.coordination.tenancy.IdempotencyTable.State;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Tenant;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
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
        void replay(StoredResponse response);
    }

    /** Asks the proxy that a claim names for the outcome of the claimed operation. */
    public interface OutcomeQuery {
        /** The callback gets null where that proxy did not answer, or cannot know the outcome after a restart. */
        void queryOperation(
                String registerId, String claim, long fingerprint, long timeoutMs, Consumer<JsonNode> callback);
    }

    /** In place of a {@link State}: another request than the one that was executed bears the key. */
    public static final String DIFFERENT_REQUEST = "DIFFERS";

    private static final int IN_PROGRESS_STATUS = 409;
    private static final int DIFFERENT_REQUEST_STATUS = 422;
    private static final int UNKNOWN_OUTCOME_STATUS = 502;
    /** When a repeated request may be sent again while the operation is being executed. */
    private static final long IN_PROGRESS_RETRY_MS = 100;

    private final AdmissionClient admissionClient;
    private final IdempotencyTable idempotencyTable;
    private final OutcomeQuery outcomeQuery;
    private final AnswerLookup answerLookup;
    private final Clock clock;
    private final EventLog log;

    /**
     * @param outcomeQuery asks other proxies about their claims
     * @param answerLookup finds copies of answers
     */
    public RequestAdmission(
            AdmissionClient admissionClient,
            IdempotencyTable idempotencyTable,
            OutcomeQuery outcomeQuery,
            AnswerLookup answerLookup,
            Clock clock,
            EventLog log) {
        this.admissionClient = admissionClient;
        this.idempotencyTable = idempotencyTable;
        this.outcomeQuery = outcomeQuery;
        this.answerLookup = answerLookup;
        this.clock = clock;
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
            rejectDifferent(handler);
            return;
        }
        switch (operation.state()) {
            case CLAIMING -> awaitClaim(request, operation, timeoutMs, handler);
            case RUNNING -> handler.reject(IN_PROGRESS_STATUS, IN_PROGRESS_RETRY_MS, "in progress");
            case ANSWERED -> replayStored(request, operation, timeoutMs, handler);
            case UNKNOWN -> rejectUnknown(operation.claim(), State.UNKNOWN.name(), handler);
            default -> {
                if (idempotencyTable.isClaimUsable(operation)) {
                    readmit(request, operation, timeoutMs, handler);
                } else {
                    claim(request, operation.claim(), false, timeoutMs, handler);
                }
            }
        }
    }

    /** Another request of the key is being admitted: what comes of that decides on this one. */
    private void awaitClaim(AdmissionRequest request, Operation operation, long timeoutMs, AdmissionHandler handler) {
        long startedMs = clock.nowMs();
        idempotencyTable.whenClaimDecided(operation, () -> {
            long remainingMs = timeoutMs - (clock.nowMs() - startedMs);
            if (remainingMs > 0) {
                admit(request, remainingMs, handler);
            } else {
                handler.reject(IN_PROGRESS_STATUS, IN_PROGRESS_RETRY_MS, "in progress");
            }
        });
    }

    private void replayStored(AdmissionRequest request, Operation operation, long timeoutMs, AdmissionHandler handler) {
        if (operation.response() == null) {
            findCopy(request, operation, operation.claim(), "dropped", timeoutMs, handler);
        } else {
            handler.replay(operation.response());
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
        if (!isSecondAttempt && idempotencyTable.isOwnFormerClaim(operation, existingClaim)) {
            idempotencyTable.markIdle(operation);
            claim(request, existingClaim, true, timeoutMs, handler);
            return;
        }
        outcomeQuery.queryOperation(request.registerId, existingClaim, request.fingerprint, timeoutMs, outcome -> {
            String state = outcome == null ? "" : outcome.path("state").asText();
            if (state.equals(State.GIVEN.name()) && !isSecondAttempt) {
                idempotencyTable.markIdle(operation);
                claim(request, existingClaim, true, timeoutMs, handler);
                return;
            }
            idempotencyTable.markIdle(operation);
            Optional<StoredResponse> response = outcome == null ? Optional.empty() : AnswerCodec.readResponse(outcome);
            if (state.equals(State.ANSWERED.name()) && response.isPresent()) {
                replayCopy(operation, existingClaim, response.get(), AnswerCodec.readRemaining(outcome), handler);
            } else if (state.equals(DIFFERENT_REQUEST)) {
                rejectDifferent(handler);
            } else if (state.equals(State.RUNNING.name()) || state.equals(State.CLAIMING.name())) {
                rejectInProgress(existingClaim, state, handler);
            } else {
                String cause = state.isEmpty() ? "silent" : state;
                findCopy(request, operation, existingClaim, cause, timeoutMs, handler);
            }
        });
    }

    private void replayCopy(
            Operation operation, String claim, StoredResponse response, long remainingMs, AdmissionHandler handler) {
        idempotencyTable.recordCopy(operation, claim, response, remainingMs);
        handler.replay(response);
    }

    /**
     * Who executed the operation does not know its response, or can't be asked: the controllers may have a copy. Where
     * they have none it may have been executed or not, and it is not executed again.
     *
     * @param claim the claim under which it was executed
     */
    private void findCopy(
            AdmissionRequest request,
            Operation operation,
            String claim,
            String cause,
            long timeoutMs,
            AdmissionHandler handler) {
        answerLookup.find(request.registerId, claim, timeoutMs, found -> {
            if (found.isEmpty()) {
                rejectUnknown(claim, cause, handler);
            } else if (found.get().fingerprint() != request.fingerprint) {
                rejectDifferent(handler);
            } else {
                replayCopy(operation, claim, found.get().response(), found.get().remainingMs(), handler);
            }
        });
    }

    private static void rejectDifferent(AdmissionHandler handler) {
        handler.reject(DIFFERENT_REQUEST_STATUS, 0, "the key belongs to another request");
    }

    /** It is being executed elsewhere. */
    private void rejectInProgress(String claim, String state, AdmissionHandler handler) {
        log.log(Event.IDEMPOTENCY_KEY_IN_USE, "owner", claim, "state", state, "status", IN_PROGRESS_STATUS);
        handler.reject(IN_PROGRESS_STATUS, IN_PROGRESS_RETRY_MS, "claimed elsewhere");
    }

    /**
     * It may have been executed or not, and nobody has the answer. It is not executed again, and nothing else can be
     * promised; 409 would say that it is in progress (PROTOCOL-bramblespool.md, "Answers").
     */
    private void rejectUnknown(String claim, String state, AdmissionHandler handler) {
        log.log(Event.IDEMPOTENCY_KEY_IN_USE, "owner", claim, "state", state, "status", UNKNOWN_OUTCOME_STATUS);
        handler.reject(UNKNOWN_OUTCOME_STATUS, 0, "the outcome is unknown");
    }
}
