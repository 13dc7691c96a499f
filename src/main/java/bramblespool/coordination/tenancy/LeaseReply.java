package bramblespool.coordination.tenancy;

/**
 * A voter's answer to a lease request.
 *
 * @param silentMs with a bar that is granted, for how long this voter has not granted that controller a lease; 0 where
 *     it does not say
 */
record LeaseReply(boolean isGranted, long silentMs) {
    /** What a silent voter's answer counts as. */
    static final LeaseReply REFUSED = new LeaseReply(false, 0);
}
