package bramblespool.coordination.controller;

/**
 * Kinds of the messages between daemons that a controller serves itself. They stand on the wire, so they are those of
 * 0.4.0. The kinds of consensus, registers, admission, shard leases, usage, fencing tokens, phases and gossip stand
 * with those parts.
 */
final class PeerMessageKinds {
    /** A proxy opens, renews or closes its session. */
    static final String SESSION = "session";
    /** A proxy, or another controller for it, asks for leased retries of a service. */
    static final String RETRY_LEASE = "lease";
    /** A proxy asks for the document of a version. */
    static final String DOCUMENT = "doc";
    /** The status command asks for a report. */
    static final String STATUS = "status";

    private PeerMessageKinds() {}
}
