package bramblespool.raft;

import bramblespool.state.EventLog;
import bramblespool.transport.Clock;

/**
 * What every part of a member knows and none changes.
 *
 * @param localId this member's id, {@code address#incarnation}
 * @param controlAddress where this member serves operators
 * @param requiredReplicas on how many disks an entry must be before it counts as committed, as far as there are that
 *     many
 */
record RaftContext(
        String localId, String controlAddress, int requiredReplicas, Clock clock, RaftTimeouts timeouts, EventLog log) {
    long nowMs() {
        return clock.nowMs();
    }

    boolean isLocal(String memberId) {
        return localId.equals(memberId);
    }
}
