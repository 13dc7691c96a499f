package bramblespool.coordination.hashing;

import java.util.Collection;

/** Rendezvous hashing: who, of those there are, is first in line for a key. */
public final class RendezvousHash {
    private RendezvousHash() {}

    public static long weight(String key, String candidate) {
        return mix(key.hashCode() * 0x9E3779B97F4A7C15L ^ candidate.hashCode() * 0xC2B2AE3D27D4EB4FL) & Long.MAX_VALUE;
    }

    /** Spreads every bit over all of them. */
    public static long mix(long hash) {
        hash ^= hash >>> 29;
        hash *= 0xBF58476D1CE4E5B9L;
        return hash ^ hash >>> 32;
    }

    public static String highestWeighted(String key, Collection<String> candidates) {
        String best = null;
        for (String candidate : candidates) {
            if (best == null || weight(key, candidate) > weight(key, best)) {
                best = candidate;
            }
        }
        return best;
    }
}
