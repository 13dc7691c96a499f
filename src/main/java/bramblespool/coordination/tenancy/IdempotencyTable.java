package bramblespool.coordination.tenancy;

import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The operations whose keys this side has claimed. The register of a key names a side and its life; that side alone says
 * what became of the operation: while its claim stands, the request is run from here or nowhere.
 */
public final class IdempotencyTable {
    /** What is known of an operation here. */
    public enum State {
        /** Its claim is being asked for. */
        CLAIMING,
        /** Never handed on under its claim, whether that was won or not: it may be run, or given away. */
        IDLE,
        /** In work. */
        RUNNING,
        /** Answered, and the answer is here or was dropped for want of room. */
        ANSWERED,
        /** Handed on, and nobody can say what came of it: it stays shut. */
        UNKNOWN,
        /** The claim was given up for good, for another side to replace. */
        GIVEN
    }

    /** The first answer, whole, as every repeat gets it: names and values of headers in turn. */
    public record StoredResponse(int statusCode, List<String> headers, byte[] body) {
        /** About what it takes in memory. */
        int sizeBytes() {
            int total = body.length;
            for (String header : headers) {
                total += header.length();
            }
            return total;
        }
    }

    /** An operation as it stands here. */
    public static final class Operation {
        private final String id;
        private final long fingerprint;
        private State state = State.CLAIMING;
        /** The last claim: every one is written differently, so that one given up is never taken for a later one. */
        private String claim;

        private boolean isClaimWon;
        private StoredResponse response;
        private int responseBytes;
        private long expiresAtMs;

        private Operation(String id, long fingerprint) {
            this.id = id;
            this.fingerprint = fingerprint;
        }

        public String id() {
            return id;
        }

        public State state() {
            return state;
        }

        public String claim() {
            return claim;
        }

        public StoredResponse response() {
            return response;
        }

        /** Whether its claim stands, so that it needs no other one to be run. */
        public boolean isClaimWon() {
            return isClaimWon;
        }

        /** Whether this is the same request as the one that came with the key first. */
        public boolean isSameRequest(long otherFingerprint) {
            return fingerprint == otherFingerprint;
        }
    }

    private record Expiry(String id, long expiresAtMs) {}

    /** An operation and its claim are known for longer than the window, which begins when the client sends the request. */
    private static final double RETENTION_FACTOR = 1.25;

    private final Clock clock;
    private final String claimant;
    private final long windowMs;
    private final long maxBytes;
    private final Map<String, Operation> operations = new HashMap<>();
    private final ArrayDeque<Expiry> expiries = new ArrayDeque<>();
    private final ArrayDeque<Operation> answeredOperations = new ArrayDeque<>();
    private long storedBytes;
    private long claimCount;

    /**
     * {@code claimer}: this side and its life; {@code mostBytes}: what the answers kept may take. Of the oldest ones beyond
     * it only the fact is kept.
     */
    public IdempotencyTable(Clock clock, String claimant, long windowMs, long maxBytes) {
        this.claimant = claimant;
        this.clock = clock;
        this.windowMs = windowMs;
        this.maxBytes = maxBytes;
    }

    /** For how long an operation is remembered, here and in its register, where tries within a window may not both run. */
    public static long retentionMs(long windowMs) {
        return (long) (windowMs * RETENTION_FACTOR);
    }

    public int size() {
        return operations.size();
    }

    public long storedBytes() {
        return storedBytes;
    }

    public Operation get(String id) {
        expire();
        return operations.get(id);
    }

    /** A claim for a key that nothing is known of here, or that was not won, or was given away. */
    public Operation startClaim(String id, long fingerprint) {
        Operation operation = operations.get(id);
        if (operation == null) {
            operation = new Operation(id, fingerprint);
            operations.put(id, operation);
        }
        operation.state = State.CLAIMING;
        operation.isClaimWon = false;
        operation.claim = claimant + " " + ++claimCount;
        operation.expiresAtMs = clock.nowMs() + windowMs;
        expiries.add(new Expiry(id, operation.expiresAtMs));
        return operation;
    }

    /** The claim stands and the request is in work from now on. */
    public void markRunning(Operation operation) {
        operation.state = State.RUNNING;
        operation.isClaimWon = true;
        operation.expiresAtMs = clock.nowMs() + windowMs;
    }

    /** It was refused before it was handed on: it may be tried again, here or elsewhere. */
    public void markIdle(Operation operation) {
        operation.state = State.IDLE;
    }

    /** It may have run, and no answer came. */
    public void markUnknown(Operation operation) {
        operation.state = State.UNKNOWN;
    }

    /** It was answered; null where the answer was too large to be kept. */
    public void recordResponse(Operation operation, StoredResponse response) {
        operation.state = State.ANSWERED;
        if (response == null) {
            return;
        }
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
     * What another side is told that found a claim of this life in the register: the operation, or null where that claim
     * is void and will never be acted on, as of now at the latest.
     */
    public Operation resolveClaim(String id, String claim) {
        expire();
        Operation operation = operations.get(id);
        if (operation == null || !claim.equals(operation.claim) || operation.state == State.GIVEN) {
            // Forgotten only when its window is over, and replaced only where it was never acted on.
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
                expiries.add(new Expiry(expiry.id, isOpen ? nowMs + windowMs : operation.expiresAtMs));
            } else if (operation != null) {
                operations.remove(expiry.id);
                if (operation.response != null) {
                    dropResponse(operation);
                    removeAnswered(operation);
                }
            }
        }
    }

    /** Answers expire nearly in the order in which they came. */
    private void removeAnswered(Operation operation) {
        for (Iterator<Operation> iterator = answeredOperations.iterator(); iterator.hasNext(); ) {
            if (iterator.next() == operation) {
                iterator.remove();
                return;
            }
        }
    }
}
