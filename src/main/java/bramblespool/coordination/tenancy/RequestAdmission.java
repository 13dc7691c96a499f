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

/** What a request must get past before it is sent anywhere: its tenant's limit, and the claim of its operation key. */
public final class RequestAdmission {
    /** Whose request it is, and which operation; {@code limited} is null without a limit, {@code register} without a key. */
    public record AdmissionRequest(String tenant, Tenant limit, long epoch, String registerId, long fingerprint) {
        boolean isUnrestricted() {
            return limit == null && registerId == null;
        }
    }

    public interface AdmissionHandler {
        /** It may be sent; whoever sends it tells what comes of the operation, if there is one. */
        void proceed(Operation operation);

        void reject(int status, long retryMs, String reason);

        /** It has run before, and this is what the first one was answered. */
        void replay(IdempotencyTable.StoredResponse response);
    }

    /** Asks the daemon that a claim names for the outcome of the claimed operation. */
    public interface OutcomeQuery {
        /** The callback gets null where that daemon did not answer, or cannot know the outcome after a restart. */
        void queryOperation(
                String registerId, String claim, long fingerprint, long timeoutMs, Consumer<JsonNode> callback);
    }

    /** After how long a repeat may ask again for an operation that is in work. */
    private static final long IN_PROGRESS_RETRY_MS = 100;

    private final AdmissionClient admissionClient;
    private final IdempotencyTable idempotencyTable;
    private final OutcomeQuery outcomeQuery;
    private final EventLog log;

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
            handler.reject(422, 0, "the key is another request's");
            return;
        }
        switch (operation.state()) {
            case CLAIMING, RUNNING -> handler.reject(409, IN_PROGRESS_RETRY_MS, "in work");
            case ANSWERED -> replayStored(operation.response(), handler);
            case UNKNOWN -> handler.reject(409, 0, "what came of it is not known");
            default -> {
                if (operation.isClaimWon()) {
                    readmit(request, operation, timeoutMs, handler);
                } else {
                    claim(request, operation.claim(), false, timeoutMs, handler);
                }
            }
        }
    }

    private void replayStored(IdempotencyTable.StoredResponse response, AdmissionHandler handler) {
        if (response == null) {
            handler.reject(409, 0, "it has run, and its answer is no longer here");
        } else {
            handler.replay(response);
        }
    }

    /** The claim stands since an earlier try that never ran: only the limit is asked for. */
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
            handler.reject(429, decision.waitMs(), "over the limit");
        } else {
            log.log(Event.ADMISSION_UNAVAILABLE, "cause", decision.verdict());
            handler.reject(503, decision.waitMs(), "nobody could admit it");
        }
    }

    /** The key is claimed by another side: only that one knows what came of it. */
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
                handler.reject(422, 0, "the key is another request's");
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
