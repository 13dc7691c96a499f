package bramblespool.coordination.controller;

/**
 * Kinds of the messages between daemons that a controller serves itself. They stand on the wire, so they are those of
 * 0.4.0; the kinds of consensus, registers, shard leases, usage and gossip stand with those parts.
 */
final class PeerMessageKinds {
    /** A proxy opens, renews or closes its session. */
    static final String SESSION = "session";
    /** A proxy, or another controller for it, asks for leased retries of a service. */
    static final String RETRY_LEASE = "lease";
    /** A proxy asks whether a request may go on: rate limit, idempotency key, or both. */
    static final String ADMIT = "admit";
    /** A controller asks the owner of a shard for a token of a tenant. */
    static final String TOKEN = "token";
    /** The owner of a singleton role asks the leader for a higher fencing token. */
    static final String RAISE_FENCING_TOKEN = "raise";
    /** The leader asks a controller to pass a phase of the shadow commit on to proxies with sessions there. */
    static final String PHASE_RELAY = "cell";
    /** A controller passes a phase of the shadow commit on to a proxy. */
    static final String PHASE = "phase";
    /** A proxy asks for the document of a version. */
    static final String DOCUMENT = "doc";
    /** Anybody asks whether this controller answers, and whether it has heard of the leader lately. */
    static final String PING = "ping";
    /** The status command asks for a report. */
    static final String STATUS = "status";

    private PeerMessageKinds() {}
}
