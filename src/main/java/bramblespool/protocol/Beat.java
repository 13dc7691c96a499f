package bramblespool.protocol;

import bramblespool.state.Config;
import bramblespool.state.Fields;
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

    public static Beat read(String id, byte[] body) throws Config.Invalid {
        List<String> faults = new ArrayList<>();
        Fields f = new Fields(Config.tree(body), "", faults);
        String state = f.state("state");
        Beat b = new Beat(
                id,
                f.text("target"),
                f.address("address", null),
                f.text("zone", ""),
                (int) f.whole("capacity", null),
                "draining".equals(state),
                f.time("warmupLeft", "0ms"),
                f.whole("callSeq", 0L));
        if (b.capacity < 1) {
            f.fault("capacity", "must be at least 1");
        }
        if (!faults.isEmpty()) {
            throw new Config.Invalid(faults);
        }
        return b;
    }
}
