package bramblespool.coordination;

import java.util.Collection;

/** Rendezvous hashing: who, of those there are, is first in line for a key. */
final class Rendezvous {
    private Rendezvous() {}

    static long weight(String key, String who) {
        return mix(key.hashCode() * 0x9E3779B97F4A7C15L ^ who.hashCode() * 0xC2B2AE3D27D4EB4FL) & Long.MAX_VALUE;
    }

    /** Spreads every bit over all of them. */
    static long mix(long h) {
        h ^= h >>> 29;
        h *= 0xBF58476D1CE4E5B9L;
        return h ^ h >>> 32;
    }

    static String first(String key, Collection<String> of) {
        String best = null;
        for (String who : of) {
            if (best == null || weight(key, who) > weight(key, best)) {
                best = who;
            }
        }
        return best;
    }
}
