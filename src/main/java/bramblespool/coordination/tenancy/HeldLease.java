package bramblespool.coordination.tenancy;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Clock;

/**
 * A controller's own lease: a majority of the voters has granted it, counted from when they were asked. It is renewed
 * while somebody asks for tokens. A lease that has lapsed while shards were owned under it is given up for one of
 * another id, so that the old id owns nothing any more. Confined to the event loop.
 */
final class HeldLease {
    /** Long before any time of the clock, yet far enough from overflow in a difference. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;
    /** Bits of the random number that tells this process from others that have been at the same address. */
    private static final int PROCESS_ID_BITS = 48;

    private static final String COUNT_SEPARATOR = ".";

    private final String peer;
    private final LeaseClient voters;
    private final Clock clock;
    private final LeaseTimings timings;
    private final EventLog log;
    private final String processId;
    private long leaseCount;
    private String id;
    /** When the voters were asked whose majority granted it last. */
    private long grantedSinceMs = NEVER_MS;

    private long lastRequestedMs = NEVER_MS;
    /** Whether shards were lost with the lease before, and no majority has granted this one yet. */
    private boolean isLost;

    HeldLease(String peer, LeaseClient voters, Clock clock, LeaseTimings timings, EventLog log) {
        this.peer = peer;
        this.voters = voters;
        this.clock = clock;
        this.timings = timings;
        this.log = log;
        this.processId = Long.toHexString((long) (clock.random() * (1L << PROCESS_ID_BITS)));
        startNewId();
    }

    private void startNewId() {
        leaseCount++;
        id = processId + COUNT_SEPARATOR + leaseCount;
    }

    String id() {
        return id;
    }

    /** Whether a lease of this id is, or was, this process's. */
    boolean isOfThisProcess(String leaseId) {
        return leaseId.startsWith(processId + COUNT_SEPARATOR);
    }

    /** Whether a majority of the voters stands behind this lease now. */
    boolean isValid() {
        return clock.nowMs() - grantedSinceMs < timings.holderLeaseMs();
    }

    /** Gives the lapsed lease up, with the shards owned under it. */
    void giveUp() {
        startNewId();
        isLost = true;
        log.log(Event.LEASE_LOST, "incarnation", leaseCount);
    }

    /** Notes that a token was asked for here; returns whether the lease was not being renewed until now. */
    boolean markRequested() {
        boolean wasIdle = !isRequested();
        lastRequestedMs = clock.nowMs();
        return wasIdle;
    }

    private boolean isRequested() {
        return clock.nowMs() - lastRequestedMs < timings.requestedMs();
    }

    /** Asks the voters, unless nobody asks for tokens: a mesh without rate limits pays nothing for leases. */
    void renew() {
        if (!isRequested() || !voters.hasVoters()) {
            return;
        }
        long askedAtMs = clock.nowMs();
        String askedId = id;
        LeaseVote vote = voters.newVote();
        voters.askAll(new LeaseRequest(LeaseRequest.Kind.RENEW, peer), (voter, reply) -> {
            vote.add(voter, reply.isGranted());
            if (reply.isGranted() && vote.hasMajority() && askedId.equals(id)) {
                onGranted(askedAtMs);
            }
        });
    }

    private void onGranted(long askedAtMs) {
        grantedSinceMs = Math.max(grantedSinceMs, askedAtMs);
        if (isLost) {
            isLost = false;
            log.log(Event.LEASE_REGAINED, "incarnation", leaseCount);
        }
    }
}
