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

/** The operator's changes of the configuration and their results. Source: PROTOCOL-bramblespool.md, "The operator". */
public final class OperatorRequest {
    /**
     * A change of the configuration.
     *
     * @param document the whole document, or the named items of an amendment
     * @param baseVersion the version that it changes; 0 where it names none
     * @param digest identifies a repeated request
     */
    public record ConfigurationChange(JsonObject document, boolean isAmendment, long baseVersion, String digest) {
        /**
         * The document that results from this change.
         *
         * @param current the version in force, or null
         * @throws InvalidConfigurationException where an amendment does not apply
         */
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

    /**
     * The answer to the operator.
     *
     * @param status the HTTP status
     * @param epoch the version it is about; 0 where there is none
     */
    public record Result(int status, String message, long epoch) {
        /** The change is in force as this version. */
        public static Result accepted(long epoch) {
            return new Result(200, "taken", epoch);
        }

        /** The change names another version than the current one, which is given. */
        public static Result versionConflict(long epoch) {
            return new Result(412, "another version is current", epoch);
        }

        /** The document has faults. */
        public static Result invalid(String faults) {
            return new Result(400, faults, 0);
        }

        /** The outcome is unknown: the operator has to send the change again. */
        public static Result unknown(String reason) {
            return new Result(503, reason, 0);
        }
    }

    private OperatorRequest() {}

    /**
     * Parses a change and checks its version numbers; the rest is checked when it is applied.
     *
     * @throws InvalidConfigurationException where the body is no JSON object or a version number is invalid
     */
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
