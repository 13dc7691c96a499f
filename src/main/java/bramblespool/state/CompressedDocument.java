package bramblespool.state;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Documents as they are kept and sent: deflated, in letters that JSON need not escape. */
public final class CompressedDocument {
    /** Larger documents are refused when they are sent; nothing that unpacks to more is one of ours. */
    private static final int MAX_DOCUMENT_BYTES = 32 << 20;

    private CompressedDocument() {}

    public static String compress(String document) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        deflater.setInput(document.getBytes(StandardCharsets.UTF_8));
        deflater.finish();
        ByteArrayOutputStream out = new ByteArrayOutputStream(document.length() / 4 + 64);
        byte[] buffer = new byte[8192];
        while (!deflater.finished()) {
            out.write(buffer, 0, deflater.deflate(buffer));
        }
        deflater.end();
        return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray());
    }

    public static String decompress(String compressed) throws InvalidConfigurationException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(Base64.getDecoder().decode(compressed));
            ByteArrayOutputStream out = new ByteArrayOutputStream(compressed.length() * 3);
            byte[] buffer = new byte[8192];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                if (length == 0 && (inflater.needsInput() || inflater.needsDictionary())
                        || out.size() > MAX_DOCUMENT_BYTES) {
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
