package bramblespool.coordination.controller;

/**
 * Whether a request may go on, or whether a tenant has a token.
 *
 * @param shardOwner who decided on the token; null where that was not the shard's owner, or no token was asked for
 */
record AdmissionResponse(Verdict verdict, ShardOwner shardOwner) {
    /** No verdict: no owner of the shard could be asked. */
    static final AdmissionResponse UNDECIDED = new AdmissionResponse(new Undecided(), null);
    /** Admission that no shard's owner had to decide on. */
    static final AdmissionResponse ADMITTED = new AdmissionResponse(new Admitted(), null);

    /**
     * The owner of a shard.
     *
     * @param address its peer address
     * @param fencingToken the token of its ownership
     */
    record ShardOwner(String address, long fencingToken) {}

    /** What was decided. */
    sealed interface Verdict permits Admitted, RateLimited, Claimed, Undecided {}

    /** The request may go on, or the token is granted. */
    record Admitted() implements Verdict {}

    /** The tenant is over its limit; it is worth asking again after so many milliseconds. */
    record RateLimited(long waitMs) implements Verdict {}

    /** The idempotency key is another request's, whose claim is given. */
    record Claimed(String existingClaim) implements Verdict {}

    /** No controller could decide in time. */
    record Undecided() implements Verdict {}

    boolean isAdmitted() {
        return verdict instanceof Admitted;
    }

    boolean isUndecided() {
        return verdict instanceof Undecided;
    }

    /** Another verdict, by the same owner of the shard. */
    AdmissionResponse withVerdict(Verdict newVerdict) {
        return new AdmissionResponse(newVerdict, shardOwner);
    }
}
