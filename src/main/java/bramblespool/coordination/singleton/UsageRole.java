package bramblespool.coordination.singleton;

import bramblespool.raft.RaftNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.transport.Clock;
import java.util.Optional;

/**
 * Whether this controller owns the role of reporting usage, and under which fencing token. The token comes from the
 * log, not from a register: it must never start over, and registers are forgotten in time. Confined to the event
 * loop.
 */
final class UsageRole {
    /** Fencing tokens are log indexes, which begin at 1. */
    private static final long NO_TOKEN = 0;

    private final String localAddress;
    private final boolean hasFreshStore;
    private final long leaseMs;
    private final Clock clock;
    private final RaftNode raft;
    private final ReplicatedState replicatedState;
    private final EventLog log;
    private long fencingToken = NO_TOKEN;
    private long ownedSinceMs;

    /**
     * @param hasFreshStore whether this process founded its store, so that nobody acted before the first owner
     * @param leaseMs how long an earlier owner may still act after the role was taken from it
     */
    UsageRole(
            String localAddress,
            boolean hasFreshStore,
            long leaseMs,
            Clock clock,
            RaftNode raft,
            ReplicatedState replicatedState,
            EventLog log) {
        this.localAddress = localAddress;
        this.hasFreshStore = hasFreshStore;
        this.leaseMs = leaseMs;
        this.clock = clock;
        this.raft = raft;
        this.replicatedState = replicatedState;
        this.log = log;
    }

    /** The role's assignment as far as it is known here; empty before the first. */
    Optional<ReplicatedState.SingletonRole> assignment() {
        return Optional.ofNullable(replicatedState.singletonRoles().get(SingletonRoleKeys.USAGE));
    }

    /** Whether the role is assigned here, and the lease held that lets this controller act on it alone. */
    boolean isActingOwner() {
        ReplicatedState.SingletonRole role = assignment().orElse(null);
        if (role == null || !role.owner().equals(localAddress) || !raft.hasLease()) {
            return false;
        }
        if (role.fencingToken() != fencingToken) {
            fencingToken = role.fencingToken();
            ownedSinceMs = clock.nowMs();
            log.log(Event.SINGLETON_ROLE_ACQUIRED, "role", SingletonRoleKeys.USAGE, "fencingToken", fencingToken);
        }
        // Whoever held it before may have acted just now.
        return isFirstOwnerEver(role) || clock.nowMs() - ownedSinceMs > leaseMs;
    }

    /** The token under which this controller last owned the role. */
    long fencingToken() {
        return fencingToken;
    }

    /** Whether nobody can have reported anything before this controller. */
    boolean isFirstOwnerEver() {
        return assignment().filter(this::isFirstOwnerEver).isPresent();
    }

    private boolean isFirstOwnerEver(ReplicatedState.SingletonRole role) {
        return hasFreshStore && role.isFirstOwner();
    }
}
