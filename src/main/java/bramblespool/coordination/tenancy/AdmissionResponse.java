package bramblespool.coordination.tenancy;

/**
 * Whether a request may go on, or whether a tenant has a token.
 *
 * @param shardOwner who decided on the token; null where that was not the shard's owner, or no token was asked for
 * @param bucketGrant the buckets of the tenant's group, lent to the asker, who takes the token there; null for none
 * @param bucketMap who holds the buckets that the shard's owner has lent; null where the asker knows, or did not ask
 */
public record AdmissionResponse(Verdict verdict, ShardOwner shardOwner, BucketGrant bucketGrant, BucketMap bucketMap) {
    /** No verdict: no owner of the shard could be asked. */
    public static final AdmissionResponse UNDECIDED = new AdmissionResponse(new Undecided(), null);
    /** Admission that no shard's owner had to decide on. */
    public static final AdmissionResponse ADMITTED = new AdmissionResponse(new Admitted(), null);

    /**
     * The owner of a shard.
     *
     * @param address its peer address
     * @param fencingToken the token of its ownership
     */
    public record ShardOwner(String address, long fencingToken) {}

    /** What was decided. */
    public sealed interface Verdict permits Admitted, RateLimited, Claimed, Undecided, Unavailable {}

    /** The request may go on, or the token is granted. */
    public record Admitted() implements Verdict {}

    /** The tenant is over its limit; it is worth asking again after so many milliseconds. */
    public record RateLimited(long waitMs) implements Verdict {}

    /** The idempotency key is another request's, whose claim is given. */
    public record Claimed(String existingClaim) implements Verdict {}

    /** No controller could decide in time; another one, or the holder of the bucket, may. */
    public record Undecided() implements Verdict {}

    /** It was not decided, and nobody can before so many milliseconds are over. */
    public record Unavailable(long waitMs) implements Verdict {}

    /** A response that does not concern lent buckets. */
    public AdmissionResponse(Verdict verdict, ShardOwner shardOwner) {
        this(verdict, shardOwner, null, null);
    }

    /** Whether the request may go on. */
    public boolean isAdmitted() {
        return verdict instanceof Admitted;
    }

    /** Whether nothing was decided, and somebody else may decide at once. */
    public boolean isUndecided() {
        return verdict instanceof Undecided;
    }

    /** Another verdict, by the same owner of the shard. */
    public AdmissionResponse withVerdict(Verdict newVerdict) {
        return new AdmissionResponse(newVerdict, shardOwner, bucketGrant, bucketMap);
    }

    /** The same response with a grant of buckets. */
    public AdmissionResponse withBucketGrant(BucketGrant grant) {
        return new AdmissionResponse(verdict, shardOwner, grant, bucketMap);
    }

    /** The same response with the owner's map of lent buckets. */
    public AdmissionResponse withBucketMap(BucketMap map) {
        return new AdmissionResponse(verdict, shardOwner, bucketGrant, map);
    }
}
