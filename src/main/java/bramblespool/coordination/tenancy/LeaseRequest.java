package bramblespool.coordination.tenancy;

/**
 * What a voter is asked about a controller's lease.
 *
 * @param holder the peer address of the controller that holds, or is to hold, the lease
 */
record LeaseRequest(Kind kind, String holder) {
    enum Kind {
        /** To grant the holder, which asks itself, a lease from now on. */
        RENEW,
        /** To promise that the holder, which has been silent, gets no grant for a while. */
        BAR
    }

    /**
     * A request on its way to one voter.
     *
     * @param to the voter's member id: an address alone may belong to a lost disk's successor
     * @param votersEpoch the log index of the entry that made the sender's voters the voters
     */
    record Addressed(String to, long votersEpoch, LeaseRequest request) {}
}
