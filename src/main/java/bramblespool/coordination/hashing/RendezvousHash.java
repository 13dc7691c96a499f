package bramblespool.coordination.hashing;

import java.util.Collection;
import java.util.Comparator;

/**
 * Rendezvous hashing, also known as highest random weight (Thaler and Ravishankar, "Using name-based mappings to
 * increase hit rates", 1998): all who know the same candidates name the same one for a key, and when a candidate goes
 * only its own keys move. Processes of different versions have to agree, so the function never changes.
 */
public final class RendezvousHash {
    /** Odd 64-bit constants that spread 32-bit hash codes: of the golden ratio, and of xxHash64 (its second prime). */
    private static final long KEY_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final long CANDIDATE_MULTIPLIER = 0xC2B2AE3D27D4EB4FL;
    /** One multiplier of the SplitMix64 finalizer. */
    private static final long MIX_MULTIPLIER = 0xBF58476D1CE4E5B9L;

    private RendezvousHash() {}

    /** A candidate's weight for a key; not negative. */
    public static long weight(String key, String candidate) {
        return mix(key.hashCode() * KEY_MULTIPLIER ^ candidate.hashCode() * CANDIDATE_MULTIPLIER) & Long.MAX_VALUE;
    }

    /** Spreads every bit of the hash over all bits of the result. */
    public static long mix(long hash) {
        hash ^= hash >>> 29;
        hash *= MIX_MULTIPLIER;
        return hash ^ hash >>> 32;
    }

    /** Orders candidates by their weights for a key, the highest first. */
    public static Comparator<String> heaviestFirst(String key) {
        return Comparator.comparingLong((String candidate) -> weight(key, candidate))
                .reversed();
    }

    /** The candidate of the highest weight, the first of those of equal weight; null where there are no candidates. */
    public static String highestWeighted(String key, Collection<String> candidates) {
        String best = null;
        long bestWeight = -1;
        for (String candidate : candidates) {
            long weight = weight(key, candidate);
            if (weight > bestWeight) {
                best = candidate;
                bestWeight = weight;
            }
        }
        return best;
    }
}
