package bramblespool.raft;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The state of a snapshot with the digest of its text before it, so that one that was damaged is known. */
final class Seal {
    /** Letters of a SHA-256 digest in hex. */
    private static final int DIGEST = 64;

    private static final int SHORT = 16;
    private static final int AT_ONCE = 1 << 15;

    private Seal() {}

    static String seal(String state) {
        return digest(state, 0) + state;
    }

    /** The state as it was sealed; one written before there were seals as it is; null where it does not fit its digest. */
    static String open(String data) {
        if (data.startsWith("{")) {
            return data;
        }
        return data.length() > DIGEST && data.startsWith(digest(data, DIGEST)) ? data.substring(DIGEST) : null;
    }

    /** What members compare: a part of the digest is enough to tell states apart that differ by a fault. */
    static String brief(String data) {
        return data.startsWith("{") ? digest(data, 0).substring(0, SHORT) : data.substring(0, SHORT);
    }

    static boolean sealed(String data) {
        return !data.startsWith("{");
    }

    private static String digest(String text, int from) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            // Piece by piece: no second copy of all the documents in bytes.
            int i = from;
            while (i < text.length()) {
                int to = Math.min(text.length(), i + AT_ONCE);
                if (to < text.length() && Character.isHighSurrogate(text.charAt(to - 1))) {
                    to--;
                }
                sha.update(text.substring(i, to).getBytes(StandardCharsets.UTF_8));
                i = to;
            }
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
