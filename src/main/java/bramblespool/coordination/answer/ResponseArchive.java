package bramblespool.coordination.answer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import java.util.zip.InflaterInputStream;

/**
 * A response packed into a short text, in which it crosses links and lies on disks: its fields one after the other,
 * deflated, in Base64. Stateless.
 */
final class ResponseArchive {
    private ResponseArchive() {}

    static String pack(StoredResponse response) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        try (DataOutputStream fields = new DataOutputStream(new DeflaterOutputStream(packed, deflater))) {
            fields.writeShort(response.statusCode());
            fields.writeShort(response.headers().size());
            for (String header : response.headers()) {
                fields.writeUTF(header);
            }
            fields.writeInt(response.body().length);
            fields.write(response.body());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } finally {
            deflater.end();
        }
        return Base64.getEncoder().withoutPadding().encodeToString(packed.toByteArray());
    }

    /** The response that was packed; empty where the text is none. */
    static Optional<StoredResponse> unpack(String packed) {
        Inflater inflater = new Inflater(true);
        try (DataInputStream fields = new DataInputStream(new InflaterInputStream(
                new ByteArrayInputStream(Base64.getDecoder().decode(packed)), inflater))) {
            int statusCode = fields.readUnsignedShort();
            int headerCount = fields.readUnsignedShort();
            List<String> headers = new ArrayList<>(headerCount);
            for (int i = 0; i < headerCount; i++) {
                headers.add(fields.readUTF());
            }
            int length = fields.readInt();
            byte[] body = fields.readNBytes(Math.max(0, length));
            return body.length == length
                    ? Optional.of(new StoredResponse(statusCode, headers, body))
                    : Optional.empty();
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }
}
