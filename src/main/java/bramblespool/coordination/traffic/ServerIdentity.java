package bramblespool.coordination.traffic;

import bramblespool.protocol.Heartbeat;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which server stands behind an address now, and which stood there before: every start of a server has an id of its
 * own, and heartbeats may be late. Confined to the event loop.
 */
final class ServerIdentity {
    private String currentId;
    private long lastCallSequence = -1;
    /** Ids of servers that have left, or were draining when another one replaced them. */
    private final Set<String> endedIds = new HashSet<>();
    /** Ids of servers that another one has replaced, each with its last {@code callSeq}. */
    private final Map<String, Long> supersededServers = new HashMap<>();

    /** The id of the present server; null where none is known. */
    String currentId() {
        return currentId;
    }

    boolean isKnown() {
        return currentId != null;
    }

    boolean isCurrent(String id) {
        return id.equals(currentId);
    }

    boolean hasEnded(String id) {
        return endedIds.contains(id);
    }

    /** The server is known by other means than a heartbeat. */
    void setCurrent(String id) {
        currentId = id;
    }

    /** Whether a heartbeat is one of a server that has ended, or a delayed one. */
    boolean isOutdated(Heartbeat heartbeat, boolean isUnreachable) {
        return endedIds.contains(heartbeat.id())
                || isCurrent(heartbeat.id()) && heartbeat.callSequence() <= lastCallSequence
                || isLate(heartbeat, isUnreachable);
    }

    /**
     * Whether the heartbeat is a delayed one of a server that another one has replaced. After a restart of this process
     * the order of servers is not known, and the delayed heartbeat may have been the other one's: where that server is
     * unreachable, this one is accepted.
     */
    private boolean isLate(Heartbeat heartbeat, boolean isUnreachable) {
        Long lastSequence = supersededServers.get(heartbeat.id());
        if (lastSequence == null) {
            return false;
        }
        if (heartbeat.isDraining()) {
            markEnded(heartbeat.id());
            return true;
        }
        return !isUnreachable || heartbeat.callSequence() <= lastSequence;
    }

    /**
     * Another server takes the place of the present one.
     *
     * @param wasDraining whether the present one was draining, so that it never returns
     * @return whether the new one was here before
     */
    boolean replace(String newId, boolean wasDraining) {
        if (wasDraining) {
            endedIds.add(currentId);
        } else if (currentId != null) {
            supersededServers.put(currentId, lastCallSequence);
        }
        currentId = newId;
        return supersededServers.remove(newId) != null;
    }

    void recordCallSequence(long callSequence) {
        lastCallSequence = callSequence;
    }

    void markEnded(String id) {
        supersededServers.remove(id);
        endedIds.add(id);
    }
}
