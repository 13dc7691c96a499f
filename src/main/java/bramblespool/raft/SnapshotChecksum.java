package bramblespool.raft;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The state of a snapshot with the digest of its text before it, so that one that was damaged is known. */
final class SnapshotChecksum {
    /** Letters of a SHA-256 digest in hex. */
    private static final int DIGEST_CHARS = 64;

    private static final int SHORT_DIGEST_CHARS = 16;
    private static final int CHUNK_CHARS = 1 << 15;

    private SnapshotChecksum() {}

    static String addChecksum(String state) {
        return digest(state, 0) + state;
    }

    /** The state as it was sealed; one written before there were seals as it is; null where it does not fit its digest. */
    static String verify(String data) {
        if (data.startsWith("{")) {
            return data;
        }
        return data.length() > DIGEST_CHARS && data.startsWith(digest(data, DIGEST_CHARS))
                ? data.substring(DIGEST_CHARS)
                : null;
    }

    /** What members compare: a part of the digest is enough to tell states apart that differ by a fault. */
    static String shortDigest(String data) {
        return data.startsWith("{")
                ? digest(data, 0).substring(0, SHORT_DIGEST_CHARS)
                : data.substring(0, SHORT_DIGEST_CHARS);
    }

    static boolean hasChecksum(String data) {
        return !data.startsWith("{");
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
