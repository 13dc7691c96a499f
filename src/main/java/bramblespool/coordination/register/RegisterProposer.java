package bramblespool.coordination.register;

import java.util.function.Consumer;

/**
 * Proposes changes of registers on behalf of this controller; each is a {@link Proposal}. Any controller may propose, a
 * voter or not. A register's id begins with the number of its shard and a slash.
 *
 * <p>Confined to the event loop. A callback gets exactly one result, in the caller's time, and possibly before the
 * method returns.
 */
public final class RegisterProposer {
    /**
     * Begins the key by which rendezvous hashing names the voter that leads a shard's registers; the shard's number
     * follows.
     */
    public static final String SHARD_KEY_PREFIX = "tenants/";

    private final Proposal.Context context;
    private long proposalCount;
    private long unknownCount;

    RegisterProposer(Proposal.Context context) {
        this.context = context;
    }

    /** How many changes were proposed; reads do not count. */
    public long proposalRounds() {
        return proposalCount;
    }

    /** How many proposals, reads among them, ended as {@link RegisterResult.Unknown}. */
    public long unknownOutcomes() {
        return unknownCount;
    }

    /**
     * Sets the register to {@code value} where it is empty, holds that value already, or holds the expected one.
     *
     * @param expectedValue a value that the caller knows to have been given up for good, or null for none
     * @param callback gets Chosen, Conflict or Unknown
     */
    public void compareAndSet(
            String registerId, String value, String expectedValue, long timeoutMs, Consumer<RegisterResult> callback) {
        proposalCount++;
        proposal(registerId, RegisterChange.compareAndSet(value, expectedValue), timeoutMs, callback)
                .startFromLocalState();
    }

    /**
     * Sets the register to {@code value} where it is empty, and finds out which value is chosen where it is not.
     *
     * @param callback gets Chosen, with the caller's value or the one that was there, or Unknown
     */
    public void setIfAbsent(String registerId, String value, long timeoutMs, Consumer<RegisterResult> callback) {
        proposalCount++;
        proposal(registerId, RegisterChange.setIfAbsent(value), timeoutMs, callback)
                .startFromLocalState();
    }

    /**
     * Reads the register: the value that a quorum holds is chosen by this.
     *
     * @param callback gets Chosen, Empty or Unknown
     */
    public void read(String registerId, long timeoutMs, Consumer<RegisterResult> callback) {
        proposal(registerId, RegisterChange.read(), timeoutMs, callback).prepare();
    }

    private Proposal proposal(
            String registerId, RegisterChange change, long timeoutMs, Consumer<RegisterResult> callback) {
        return new Proposal(context, registerId, change, timeoutMs, result -> {
            if (result instanceof RegisterResult.Unknown) {
                unknownCount++;
            }
            callback.accept(result);
        });
    }
}
