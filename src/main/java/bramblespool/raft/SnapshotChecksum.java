package bramblespool.raft;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * The data of a snapshot: the SHA-256 digest of the state's text in hex, and the text, so that damage is detected.
 * Snapshots written before there were checksums are the text alone, which begins with a brace.
 */
final class SnapshotChecksum {
    /** Characters of a SHA-256 digest in hex. */
    private static final int DIGEST_CHARS = 64;

    private static final int SHORT_DIGEST_CHARS = 16;
    /** How the text of a state begins, and no digest. */
    private static final String STATE_START = "{";
    /** Characters that are digested at a time. */
    private static final int CHUNK_CHARS = 1 << 15;

    private SnapshotChecksum() {}

    /** The data for a state's text. */
    static String addChecksum(String state) {
        return digest(state, 0) + state;
    }

    /** The data with a checksum, if it has none yet. */
    static String withChecksum(String data) {
        return hasChecksum(data) ? data : addChecksum(data);
    }

    /** The state's text; empty where the data does not fit its digest. */
    static Optional<String> verify(String data) {
        if (!hasChecksum(data)) {
            return Optional.of(data);
        }
        return data.length() > DIGEST_CHARS && data.startsWith(digest(data, DIGEST_CHARS))
                ? Optional.of(data.substring(DIGEST_CHARS))
                : Optional.empty();
    }

    /** What members compare: a part of the digest is enough to tell states apart that differ by a fault. */
    static String shortDigest(String data) {
        String digest = hasChecksum(data) ? data : digest(data, 0);
        return digest.substring(0, SHORT_DIGEST_CHARS);
    }

    private static boolean hasChecksum(String data) {
        return !data.startsWith(STATE_START);
    }

    private static String digest(String text, int from) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            // Piece by piece: no second copy of all the documents in bytes.
            int position = from;
            while (position < text.length()) {
                int chunkEnd = Math.min(text.length(), position + CHUNK_CHARS);
                if (chunkEnd < text.length() && Character.isHighSurrogate(text.charAt(chunkEnd - 1))) {
                    chunkEnd--;
                }
                sha.update(text.substring(position, chunkEnd).getBytes(StandardCharsets.UTF_8));
                position = chunkEnd;
            }
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
