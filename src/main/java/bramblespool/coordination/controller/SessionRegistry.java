package bramblespool.coordination.controller;

import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Sessions of proxies: those that this controller has opened, and, from gossip, which proxies have an open session with
 * any controller. A proxy has one session at a time. Which of two holds is decided by incarnation, then by session
 * number: the gossip entry of a session is published under them, and a controller that reads of a session elsewhere
 * drops its own. Confined to the event loop.
 */
final class SessionRegistry {
    /** A proxy renews its session so many times within {@code quiet}. */
    static final int RENEWAL_DIVISOR = 6;
    /** Renewals missed before a session is closed. */
    private static final double MISSED_RENEWALS_TO_CLOSE = 2.6;
    /** Sequence numbers of gossip for one session: the even one opens it, the odd one closes it. */
    private static final int SEQUENCES_PER_SESSION = 2;

    private static final class Session {
        private final String peerAddress;
        private final long incarnation;
        private final long sessionNumber;
        private long lastRenewedMs;
        private boolean isOpen = true;

        Session(SessionRequest request) {
            peerAddress = request.peerAddress();
            incarnation = request.incarnation();
            sessionNumber = request.sessionNumber();
        }

        boolean isRenewedBy(SessionRequest request) {
            return isOpen && incarnation == request.incarnation() && sessionNumber == request.sessionNumber();
        }
    }

    private final LocalController local;
    private final GossipStore gossip;
    private final LeaderContact leaderContact;
    private final Clock clock;
    private final EventLog log;
    private final Map<String, Session> sessions = new HashMap<>();
    private final Set<String> members = new HashSet<>();

    SessionRegistry(ControllerContext context, GossipStore gossip, LeaderContact leaderContact) {
        this.local = context.local();
        this.gossip = gossip;
        this.leaderContact = leaderContact;
        this.clock = context.clock();
        this.log = context.log();
    }

    /** Opens, renews or closes the session of a proxy. */
    SessionResponse.Outcome handle(SessionRequest request) {
        String node = request.node();
        Session session = sessions.get(node);
        boolean isRenewal = session != null && session.isRenewedBy(request);
        if (request.isClosing()) {
            if (isRenewal) {
                close(node, session);
            }
            return new SessionResponse.Closed();
        }
        if (!isRenewal) {
            GossipStore.GossipEntry known = gossip.get(GossipKeys.SESSION_KEY_PREFIX + node);
            if (known != null && isSuperseded(request, known)) {
                return new SessionResponse.Superseded(known.incarnation(), known.sequence() / SEQUENCES_PER_SESSION);
            }
            session = open(request);
        }
        session.lastRenewedMs = clock.nowMs();
        return new SessionResponse.Opened(
                leaderContact.isRecent(),
                leaderContact.leaderTerm(),
                gossip.rootHash().equals(request.gossipHash()));
    }

    private static boolean isSuperseded(SessionRequest request, GossipStore.GossipEntry known) {
        return known.incarnation() > request.incarnation()
                || known.incarnation() == request.incarnation()
                        && known.sequence() >= request.sessionNumber() * SEQUENCES_PER_SESSION;
    }

    private Session open(SessionRequest request) {
        Session session = new Session(request);
        sessions.put(request.node(), session);
        log.log(Event.SESSION_OPENED, "proxy", request.node());
        publish(request.node(), session);
        return session;
    }

    private void close(String node, Session session) {
        session.isOpen = false;
        log.log(Event.SESSION_CLOSED, "proxy", node);
        publish(node, session);
    }

    private void publish(String node, Session session) {
        gossip.publish(
                GossipKeys.SESSION_KEY_PREFIX + node,
                session.incarnation,
                session.sessionNumber * SEQUENCES_PER_SESSION + (session.isOpen ? 0 : 1),
                GossipPayloadCodec.encodeSession(
                        new SessionRecord(local.peerAddress(), session.peerAddress, session.isOpen)));
    }

    /** Closes the sessions that have not been renewed in time; to be called once in each renewal. */
    void closeExpired() {
        long renewalMs = local.settings().bounds().quietPeriodMs() / RENEWAL_DIVISOR;
        long expiryMs = (long) (renewalMs * MISSED_RENEWALS_TO_CLOSE);
        long nowMs = clock.nowMs();
        Map.copyOf(sessions).forEach((node, session) -> {
            if (session.isOpen && nowMs - session.lastRenewedMs > expiryMs) {
                close(node, session);
            }
        });
    }

    /** Takes note of a gossip entry, whatever it is about. */
    void onGossipEntry(GossipStore.GossipEntry entry) {
        if (!entry.key().startsWith(GossipKeys.SESSION_KEY_PREFIX)) {
            return;
        }
        String node = entry.key().substring(GossipKeys.SESSION_KEY_PREFIX.length());
        SessionRecord session = GossipPayloadCodec.decodeSession(entry.body());
        if (session.isOpen()) {
            members.add(node);
        } else {
            members.remove(node);
        }
        if (!session.controllerAddress().equals(local.peerAddress())) {
            sessions.remove(node);
        }
    }

    /** The proxies that have an open session with any controller; a view that changes with it. */
    Set<String> members() {
        return Collections.unmodifiableSet(members);
    }

    /** The peer address of a proxy; empty where it has no open session here. */
    Optional<String> peerAddressOf(String node) {
        Session session = sessions.get(node);
        return session == null || !session.isOpen ? Optional.empty() : Optional.of(session.peerAddress);
    }

    /** The peer address of the controller that has, or last had, a proxy's session; empty where none is known. */
    Optional<String> controllerOf(String node) {
        GossipStore.GossipEntry entry = gossip.get(GossipKeys.SESSION_KEY_PREFIX + node);
        return entry == null
                ? Optional.empty()
                : Optional.of(GossipPayloadCodec.decodeSession(entry.body()).controllerAddress());
    }

    /** The peer address of a proxy with an open session anywhere, as gossip has it; empty where it has none. */
    Optional<String> memberAddressOf(String node) {
        GossipStore.GossipEntry entry = gossip.get(GossipKeys.SESSION_KEY_PREFIX + node);
        return entry == null || !members.contains(node)
                ? Optional.empty()
                : Optional.of(GossipPayloadCodec.decodeSession(entry.body()).proxyAddress());
    }

    /** The peer addresses of the proxies with an open session here. */
    List<String> peerAddresses() {
        List<String> addresses = new ArrayList<>();
        for (Session session : sessions.values()) {
            if (session.isOpen) {
                addresses.add(session.peerAddress);
            }
        }
        return addresses;
    }
}
