package bramblespool.state;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * The form in which documents are stored and sent between processes: deflated, then Base64 without padding, which JSON
 * need not escape. Stateless, and so safe on any thread.
 */
public final class CompressedDocument {
    /** Larger documents are rejected when an operator sends them: what inflates to more is none of ours. */
    private static final int MAX_DOCUMENT_BYTES = 32 << 20;

    private static final int BUFFER_BYTES = 8192;

    private CompressedDocument() {}

    /** Compresses a document. */
    public static String compress(String document) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        deflater.setInput(document.getBytes(StandardCharsets.UTF_8));
        deflater.finish();
        ByteArrayOutputStream out = new ByteArrayOutputStream(document.length() / 4 + 64);
        byte[] buffer = new byte[BUFFER_BYTES];
        while (!deflater.finished()) {
            out.write(buffer, 0, deflater.deflate(buffer));
        }
        deflater.end();
        return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray());
    }

    /**
     * The document that was compressed.
     *
     * @throws InvalidConfigurationException where the text is not what {@link #compress} gives
     */
    public static String decompress(String compressed) throws InvalidConfigurationException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(Base64.getDecoder().decode(compressed));
            ByteArrayOutputStream out = new ByteArrayOutputStream(compressed.length() * 3);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                boolean isTruncated = length == 0 && (inflater.needsInput() || inflater.needsDictionary());
                if (isTruncated || out.size() > MAX_DOCUMENT_BYTES) {
                    throw new InvalidConfigurationException(List.of("is not a packed document"));
                }
                out.write(buffer, 0, length);
            }
            return out.toString(StandardCharsets.UTF_8);
        } catch (IllegalArgumentException | DataFormatException e) {
            throw new InvalidConfigurationException(List.of("is not a packed document"));
        } finally {
            inflater.end();
        }
    }
}
