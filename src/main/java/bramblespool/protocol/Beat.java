package bramblespool.protocol;

import bramblespool.state.DocumentReader;
import bramblespool.state.RoutingConfiguration;
import java.util.ArrayList;
import java.util.List;

/** A server's word about itself. */
public record Beat(
        String id,
        String target,
        String address,
        String zone,
        int capacity,
        boolean draining,
        long warmupLeft,
        long callSeq) {
    private static final String PREFIX = "/bramblespool/servers/";
    private static final String BEAT = "/heartbeat";
    private static final String LEAVE = "/deregister";

    /** The id in the path of a heartbeat, or null. */
    public static String beatOf(String path) {
        return id(path, BEAT);
    }

    public static String leaveOf(String path) {
        return id(path, LEAVE);
    }

    private static String id(String path, String suffix) {
        if (!path.startsWith(PREFIX) || !path.endsWith(suffix) || path.length() <= PREFIX.length() + suffix.length()) {
            return null;
        }
        String id = path.substring(PREFIX.length(), path.length() - suffix.length());
        return id.indexOf('/') >= 0 ? null : id;
    }

    public static Beat read(String id, byte[] body) throws RoutingConfiguration.InvalidConfigurationException {
        List<String> faults = new ArrayList<>();
        DocumentReader f = new DocumentReader(RoutingConfiguration.parseDocument(body), "", faults);
        String state = f.serverState("state");
        Beat b = new Beat(
                id,
                f.string("target"),
                f.address("address", null),
                f.string("zone", ""),
                (int) f.wholeNumber("capacity", null),
                "draining".equals(state),
                f.durationMs("warmupLeft", "0ms"),
                f.wholeNumber("callSeq", 0L));
        if (b.capacity < 1) {
            f.addFault("capacity", "must be at least 1");
        }
        if (!faults.isEmpty()) {
            throw new RoutingConfiguration.InvalidConfigurationException(faults);
        }
        return b;
    }
}
