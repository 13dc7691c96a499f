package bramblespool.coordination.tenancy;

import bramblespool.coordination.answer.ExecutedOperation;
import bramblespool.coordination.answer.StoredResponse;
import bramblespool.coordination.register.RegisterTimings;
import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The operations whose idempotency keys this proxy has claimed. A key's register names a proxy and the run of its
 * process, and only that proxy knows the outcome of the operation: while its claim is valid, the request is executed
 * from here or not at all. Confined to the event loop.
 */
public final class IdempotencyTable {
    /** The state of an operation; its name is sent to other proxies. */
    public enum State {
        /** Its claim has been requested. */
        CLAIMING,
        /** Never forwarded under its claim, whether that was won or not: it may be executed, or given up. */
        IDLE,
        /** Being executed. */
        RUNNING,
        /** Answered; the response is stored here, or was dropped to save memory and is left with the controllers. */
        ANSWERED,
        /** Forwarded, and its outcome is unknown: it is not executed again. */
        UNKNOWN,
        /** The claim was given up for good, so that another proxy may replace it. */
        GIVEN
    }

    /** An operation; changed by this table only. */
    public static final class Operation {
        private final String id;
        private final long fingerprint;
        private State state = State.CLAIMING;
        /** The last claim. Each claim is unique, so that one that was given up is never mistaken for a later one. */
        private String claim;

        private long claimedAtMs;
        /** Who waits for the claim that is being made. */
        private final List<Runnable> claimListeners = new ArrayList<>();

        private boolean isClaimWon;
        private StoredResponse response;
        private int responseBytes;
        private long expiresAtMs;

        private Operation(String id, long fingerprint) {
            this.id = id;
            this.fingerprint = fingerprint;
        }

        /** The register's id. */
        public String id() {
            return id;
        }

        /** The present state. */
        public State state() {
            return state;
        }

        /** The last claim. */
        public String claim() {
            return claim;
        }

        /** The stored response, or null. */
        public StoredResponse response() {
            return response;
        }

        /** Whether this is the same request as the one that came with the key first. */
        public boolean isSameRequest(long otherFingerprint) {
            return fingerprint == otherFingerprint;
        }
    }

    private record Expiry(String id, long expiresAtMs) {}

    /** Retention as a multiple of the window, which begins when the client sends the request. */
    private static final double RETENTION_FACTOR = 1.25;
    /**
     * A claim may be used for the retention divided by this, a third of what that is longer than the window; the rest
     * is for clocks that differ and for requests that are long under way.
     */
    private static final int CLAIM_USE_DIVISOR = 15;
    /** An answer counts as recent for its claim's validity divided by this. */
    private static final int RECENT_DIVISOR = 13;

    private final Clock clock;
    private final String claimant;
    private final long retentionMs;
    /** For how long a claim counts: after that its register may be given to another one. */
    private final long validityMs;

    private final long maxBytes;
    private final Map<String, Operation> operations = new HashMap<>();
    private final ArrayDeque<Expiry> expiries = new ArrayDeque<>();
    private final ArrayDeque<Operation> answeredOperations = new ArrayDeque<>();
    private long storedBytes;
    private long claimCount;
    private Consumer<ExecutedOperation> executionListener = operation -> {};

    /**
     * @param claimant this proxy and the run of its process
     * @param retentionMs how long the voters hold a claim, see {@link #retentionMs(long)}
     * @param maxBytes limit of the stored responses; beyond it the oldest are dropped, but not their operations
     */
    public IdempotencyTable(Clock clock, String claimant, long retentionMs, long maxBytes) {
        this.claimant = claimant;
        this.clock = clock;
        this.retentionMs = retentionMs;
        this.validityMs = RegisterTimings.formerUseMs(retentionMs);
        this.maxBytes = maxBytes;
    }

    /**
     * The retention of a claim in its register, for a window within which an operation must not be executed twice.
     */
    public static long retentionMs(long windowMs) {
        return (long) (windowMs * RETENTION_FACTOR);
    }

    /** Number of operations. */
    public int size() {
        return operations.size();
    }

    /** Approximate size of the stored responses. */
    public long storedBytes() {
        return storedBytes;
    }

    /** The operation of a register, or null. */
    public Operation get(String id) {
        expire();
        Operation operation = operations.get(id);
        if (operation != null && operation.state == State.ANSWERED && remainingMs(operation) <= 0) {
            operations.remove(id);
            releaseResponse(operation);
            return null;
        }
        return operation;
    }

    /** Starts a claim for a key that is unknown here, or whose last claim was not won or was given up. */
    public Operation startClaim(String id, long fingerprint) {
        Operation operation = operations.get(id);
        if (operation == null) {
            operation = new Operation(id, fingerprint);
            operations.put(id, operation);
        }
        releaseResponse(operation);
        operation.state = State.CLAIMING;
        operation.isClaimWon = false;
        operation.claim = claimant + " " + ++claimCount;
        operation.claimedAtMs = clock.nowMs();
        operation.expiresAtMs = clock.nowMs() + validityMs;
        expiries.add(new Expiry(id, operation.expiresAtMs));
        return operation;
    }

    /**
     * Whether the operation may be executed under its claim. The voters retain the claim from when it was made, so a
     * request that is executed under it much later would be forgotten by them before its window is over: that one needs
     * a claim of its own.
     */
    public boolean isClaimUsable(Operation operation) {
        return operation.isClaimWon && clock.nowMs() - operation.claimedAtMs <= retentionMs / CLAIM_USE_DIVISOR;
    }

    /**
     * Whether a claim is one of this process that will never be used, or not any more: a later one has taken its place,
     * or its time is over.
     */
    boolean isOwnFormerClaim(Operation operation, String claim) {
        return claim.startsWith(claimant + " ") && !claim.equals(operation.claim);
    }

    /** Runs the task once the claim that is being made is decided. */
    void whenClaimDecided(Operation operation, Runnable task) {
        operation.claimListeners.add(task);
    }

    /** Whoever waits is told at the event loop's next turn: the operation may have gone on until then. */
    private void changeState(Operation operation, State newState) {
        operation.state = newState;
        List<Runnable> listeners = List.copyOf(operation.claimListeners);
        operation.claimListeners.clear();
        listeners.forEach(clock::execute);
    }

    /** The claim was won and the request is executed from now on. */
    public void markRunning(Operation operation) {
        changeState(operation, State.RUNNING);
        operation.isClaimWon = true;
    }

    /** It was rejected before it was forwarded: it may be tried again, here or elsewhere. */
    public void markIdle(Operation operation) {
        changeState(operation, State.IDLE);
    }

    /** It may have been executed, and no response arrived. */
    public void markUnknown(Operation operation) {
        changeState(operation, State.UNKNOWN);
    }

    /** Sets who is told of each operation that this proxy has executed and whose response is stored. */
    public void onExecuted(Consumer<ExecutedOperation> listener) {
        executionListener = listener;
    }

    /** It was executed from here and answered; {@code response} is null where it was too large to be stored. */
    public void recordResponse(Operation operation, StoredResponse response) {
        changeState(operation, State.ANSWERED);
        if (response == null) {
            return;
        }
        store(operation, response);
        executionListener.accept(new ExecutedOperation(
                operation.id, operation.claim, operation.fingerprint, response, operation.expiresAtMs));
    }

    /**
     * It was executed elsewhere, with this response, which is given here, too. Where that was a short while ago, the
     * proxy that executed it may end before anybody has a copy, so this one sees to copies as well.
     *
     * @param claim the claim under which it was executed
     * @param remainingMs for how long that claim still counts: a repeat after that may be executed again
     */
    void recordCopy(Operation operation, String claim, StoredResponse response, long remainingMs) {
        changeState(operation, State.ANSWERED);
        operation.expiresAtMs = Math.min(operation.expiresAtMs, clock.nowMs() + remainingMs);
        store(operation, response);
        if (validityMs - remainingMs < validityMs / RECENT_DIVISOR) {
            executionListener.accept(
                    new ExecutedOperation(operation.id, claim, operation.fingerprint, response, operation.expiresAtMs));
        }
    }

    /** For how long an operation's claim is retained from now on. */
    public long remainingMs(Operation operation) {
        return operation.expiresAtMs - clock.nowMs();
    }

    private void store(Operation operation, StoredResponse response) {
        releaseResponse(operation);
        operation.response = response;
        operation.responseBytes = response.sizeBytes();
        storedBytes += operation.responseBytes;
        answeredOperations.add(operation);
        while (storedBytes > maxBytes) {
            dropResponse(answeredOperations.poll());
        }
    }

    private void dropResponse(Operation operation) {
        storedBytes -= operation.responseBytes;
        operation.responseBytes = 0;
        operation.response = null;
    }

    /**
     * Answers another proxy that found a claim of this run in the register: the operation, or null where the claim is
     * void and will never be used, from now on at the latest. Gives up a claim that has not been used.
     */
    public Operation resolveClaim(String id, String claim) {
        expire();
        Operation operation = operations.get(id);
        if (operation == null || !claim.equals(operation.claim) || operation.state == State.GIVEN) {
            // Removed only once its time is over, and replaced only where it was never used.
            return null;
        }
        if (operation.state == State.IDLE) {
            operation.state = State.GIVEN;
            operation.isClaimWon = false;
            return null;
        }
        return operation;
    }

    private void expire() {
        long nowMs = clock.nowMs();
        while (!expiries.isEmpty() && expiries.peek().expiresAtMs <= nowMs) {
            Expiry expiry = expiries.poll();
            Operation operation = operations.get(expiry.id);
            boolean isOpen =
                    operation != null && (operation.state == State.RUNNING || operation.state == State.CLAIMING);
            if (operation != null && (isOpen || operation.expiresAtMs > nowMs)) {
                expiries.add(new Expiry(expiry.id, isOpen ? nowMs + validityMs : operation.expiresAtMs));
            } else if (operation != null) {
                operations.remove(expiry.id);
                releaseResponse(operation);
            }
        }
    }

    private void releaseResponse(Operation operation) {
        if (operation.response != null) {
            dropResponse(operation);
            removeAnswered(operation);
        }
    }

    /** Responses expire nearly in the order in which they arrived, so the search ends soon. */
    private void removeAnswered(Operation operation) {
        for (Iterator<Operation> iterator = answeredOperations.iterator(); iterator.hasNext(); ) {
            if (iterator.next() == operation) {
                iterator.remove();
                return;
            }
        }
    }
}
