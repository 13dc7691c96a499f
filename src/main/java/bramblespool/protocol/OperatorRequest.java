package bramblespool.protocol;

import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.StrictJson;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/** What the operator may order, as it is sent. */
public final class OperatorRequest {
    /** A change of configuration, whole or by named items, with the digest that makes a repeat known. */
    public record ConfigurationChange(JsonObject document, boolean isAmendment, long baseVersion, String digest) {
        /** The whole document that this change makes. */
        public JsonObject applyTo(RoutingConfiguration current) throws InvalidConfigurationException {
            if (!isAmendment) {
                JsonObject newDocument = document.deepCopy();
                newDocument.remove("baseVersion");
                return newDocument;
            }
            if (current == null) {
                throw new InvalidConfigurationException(List.of("there is no configuration to amend"));
            }
            return current.applyAmendment(document);
        }
    }

    /** What the operator hears. */
    public record Result(int status, String message, long epoch) {
        public static Result accepted(long epoch) {
            return new Result(200, "taken", epoch);
        }

        public static Result versionConflict(long epoch) {
            return new Result(412, "another version is current", epoch);
        }

        public static Result invalid(String faults) {
            return new Result(400, faults, 0);
        }

        /** Not known whether it is in force: the caller is to send it again. */
        public static Result unknown(String reason) {
            return new Result(503, reason, 0);
        }
    }

    private OperatorRequest() {}

    public static ConfigurationChange parseChange(boolean isAmendment, byte[] body)
            throws InvalidConfigurationException {
        JsonObject document = StrictJson.parseObject(body);
        if (!document.has("epoch") || !isWholeNumber(document, "epoch")) {
            throw new InvalidConfigurationException(List.of("epoch: must be a whole number"));
        }
        if (document.has("baseVersion") && !isWholeNumber(document, "baseVersion")) {
            throw new InvalidConfigurationException(List.of("baseVersion: must be a whole number"));
        }
        long baseVersion =
                document.has("baseVersion") ? document.get("baseVersion").getAsLong() : 0;
        return new ConfigurationChange(document, isAmendment, baseVersion, digest(isAmendment, body));
    }

    private static boolean isWholeNumber(JsonObject document, String field) {
        if (!(document.get(field) instanceof JsonPrimitive primitive) || !primitive.isNumber()) {
            return false;
        }
        double value = primitive.getAsDouble();
        return value == Math.rint(value) && value >= 0;
    }

    private static String digest(boolean isAmendment, byte[] body) {
        try {
            MessageDigest messageDigest = MessageDigest.getInstance("SHA-256");
            messageDigest.update((byte) (isAmendment ? 1 : 0));
            return HexFormat.of().formatHex(messageDigest.digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
