package bramblespool.state;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Documents as they are kept and sent: deflated, in letters that JSON need not escape. */
public final class Packed {
    /** Larger documents are refused when they are sent; nothing that unpacks to more is one of ours. */
    private static final int LARGEST = 32 << 20;

    private Packed() {}

    public static String pack(String document) {
        Deflater d = new Deflater(Deflater.BEST_SPEED);
        d.setInput(document.getBytes(StandardCharsets.UTF_8));
        d.finish();
        ByteArrayOutputStream out = new ByteArrayOutputStream(document.length() / 4 + 64);
        byte[] part = new byte[8192];
        while (!d.finished()) {
            out.write(part, 0, d.deflate(part));
        }
        d.end();
        return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray());
    }

    public static String unpack(String packed) throws Config.Invalid {
        Inflater i = new Inflater();
        try {
            i.setInput(Base64.getDecoder().decode(packed));
            ByteArrayOutputStream out = new ByteArrayOutputStream(packed.length() * 3);
            byte[] part = new byte[8192];
            while (!i.finished()) {
                int n = i.inflate(part);
                if (n == 0 && (i.needsInput() || i.needsDictionary()) || out.size() > LARGEST) {
                    throw new Config.Invalid(List.of("is not a packed document"));
                }
                out.write(part, 0, n);
            }
            return out.toString(StandardCharsets.UTF_8);
        } catch (IllegalArgumentException | DataFormatException e) {
            throw new Config.Invalid(List.of("is not a packed document"));
        } finally {
            i.end();
        }
    }
}
