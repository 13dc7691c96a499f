package bramblespool.protocol;

import bramblespool.state.DocumentReader;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.StrictJson;
import java.util.ArrayList;
import java.util.List;

/**
 * A server's heartbeat, and the paths of heartbeats and deregistration. Source: PROTOCOL-bramblespool.md, "Servers".
 *
 * @param id the server's id, from the path
 * @param target its service
 * @param address where it is reached
 * @param capacity requests that it runs at the same time, at least 1
 * @param isDraining whether it is about to end
 * @param warmupLeftMs remaining slow start; 0 where it has none
 * @param callSequence rises with each heartbeat of a server
 */
public record Heartbeat(
        String id,
        String target,
        String address,
        String zone,
        int capacity,
        boolean isDraining,
        long warmupLeftMs,
        long callSequence) {
    private static final String PATH_PREFIX = "/bramblespool/servers/";
    private static final String HEARTBEAT_SUFFIX = "/heartbeat";
    private static final String DEREGISTER_SUFFIX = "/deregister";

    /** The server id in the path of a heartbeat; null for other paths. */
    public static String heartbeatServerId(String path) {
        return serverIdIn(path, HEARTBEAT_SUFFIX);
    }

    /** The server id in the path of a deregistration; null for other paths. */
    public static String deregisteredServerId(String path) {
        return serverIdIn(path, DEREGISTER_SUFFIX);
    }

    private static String serverIdIn(String path, String suffix) {
        if (!path.startsWith(PATH_PREFIX)
                || !path.endsWith(suffix)
                || path.length() <= PATH_PREFIX.length() + suffix.length()) {
            return null;
        }
        String id = path.substring(PATH_PREFIX.length(), path.length() - suffix.length());
        return id.indexOf('/') >= 0 ? null : id;
    }

    /**
     * Parses the body of a heartbeat.
     *
     * @throws InvalidConfigurationException with all faults of the body
     */
    public static Heartbeat parse(String id, byte[] body) throws InvalidConfigurationException {
        List<String> faults = new ArrayList<>();
        DocumentReader fields = new DocumentReader(StrictJson.parseObject(body), "", faults);
        String state = fields.serverState("state");
        Heartbeat heartbeat = new Heartbeat(
                id,
                fields.string("target"),
                fields.address("address", null),
                fields.string("zone", ""),
                (int) fields.wholeNumber("capacity", null),
                "draining".equals(state),
                fields.durationMs("warmupLeft", "0ms"),
                fields.wholeNumber("callSeq", 0L));
        if (heartbeat.capacity < 1) {
            fields.addFault("capacity", "must be at least 1");
        }
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
        return heartbeat;
    }
}
