package bramblespool.protocol;

import bramblespool.state.RoutingConfiguration;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/** What the operator may order, as it is sent. */
public final class Orders {
    /** A change of configuration, whole or by named items, with the digest that makes a repeat known. */
    public record Change(JsonObject tree, boolean amends, long base, String digest) {
        /** The whole document that this change makes. */
        public JsonObject whole(RoutingConfiguration current)
                throws RoutingConfiguration.InvalidConfigurationException {
            if (!amends) {
                JsonObject whole = tree.deepCopy();
                whole.remove("baseVersion");
                return whole;
            }
            if (current == null) {
                throw new RoutingConfiguration.InvalidConfigurationException(
                        List.of("there is no configuration to amend"));
            }
            return current.applyAmendment(tree);
        }
    }

    /** What the operator hears. */
    public record Outcome(int status, String word, long epoch) {
        public static Outcome taken(long epoch) {
            return new Outcome(200, "taken", epoch);
        }

        public static Outcome stale(long epoch) {
            return new Outcome(412, "another version is current", epoch);
        }

        public static Outcome invalid(String faults) {
            return new Outcome(400, faults, 0);
        }

        /** Not known whether it is in force: the caller is to send it again. */
        public static Outcome unclear(String why) {
            return new Outcome(503, why, 0);
        }
    }

    private Orders() {}

    public static Change change(boolean amends, byte[] body) throws RoutingConfiguration.InvalidConfigurationException {
        JsonObject tree = RoutingConfiguration.parseDocument(body);
        if (!tree.has("epoch") || !whole(tree, "epoch")) {
            throw new RoutingConfiguration.InvalidConfigurationException(List.of("epoch: must be a whole number"));
        }
        if (tree.has("baseVersion") && !whole(tree, "baseVersion")) {
            throw new RoutingConfiguration.InvalidConfigurationException(
                    List.of("baseVersion: must be a whole number"));
        }
        long base = tree.has("baseVersion") ? tree.get("baseVersion").getAsLong() : 0;
        return new Change(tree, amends, base, digest(amends, body));
    }

    private static boolean whole(JsonObject tree, String field) {
        if (!(tree.get(field) instanceof JsonPrimitive p) || !p.isNumber()) {
            return false;
        }
        double d = p.getAsDouble();
        return d == Math.rint(d) && d >= 0;
    }

    private static String digest(boolean amends, byte[] body) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((byte) (amends ? 1 : 0));
            return HexFormat.of().formatHex(sha.digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
