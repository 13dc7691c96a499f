package bramblespool.raft;

import java.util.Optional;

/** A follower: who leads, as far as it has heard. Confined to the event loop. */
final class FollowerState implements RoleState {
    private Optional<String> leaderId = Optional.empty();
    private String leaderControlAddress;

    /** A leader's request was accepted. */
    void onLeaderRequest(String newLeaderId, String newControlAddress) {
        if (leaderId.isEmpty() || !leaderId.get().equals(newLeaderId)) {
            leaderId = Optional.of(newLeaderId);
        }
        leaderControlAddress = newControlAddress;
    }

    /** The leader last heard of, which may be that of an earlier term. */
    Optional<String> leaderId() {
        return leaderId;
    }

    /** Where that leader serves operators; null where none is known. */
    String leaderControlAddress() {
        return leaderControlAddress;
    }
}
