package bramblespool.coordination.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SessionRegistryTest {
    private static final String NODE = "weft-1";
    private static final String PROXY_ADDRESS = "10.0.1.1:7000";
    /** {@code quiet} of the test's settings. */
    private static final long QUIET_MS = 3000;

    private final ControllerTestContext test = new ControllerTestContext();
    private final GossipStore gossip = test.newGossip(List.of()).store();
    private final SessionRegistry sessions = test.newSessions(gossip);

    private SessionResponse.Outcome ask(long incarnation, long sessionNumber) {
        return sessions.handle(
                new SessionRequest(NODE, PROXY_ADDRESS, incarnation, sessionNumber, gossip.rootHash(), false, null));
    }

    private SessionResponse.Outcome close(long incarnation, long sessionNumber) {
        return sessions.handle(new SessionRequest(NODE, PROXY_ADDRESS, incarnation, sessionNumber, "", true, null));
    }

    private void receiveFromOtherController(long incarnation, long sequence, boolean isOpen) {
        gossip.publish(
                GossipKeys.SESSION_KEY_PREFIX + NODE,
                incarnation,
                sequence,
                GossipPayloadCodec.encodeSession(
                        new SessionRecord(ControllerTestContext.OTHER_ADDRESS, PROXY_ADDRESS, isOpen)));
    }

    @Test
    void anOpenedSessionIsPublishedAndItsProxyIsAMember() {
        SessionResponse.Opened opened = assertInstanceOf(SessionResponse.Opened.class, ask(1, 1));

        assertEquals(new SessionResponse.Opened(true, 7, false), opened, "the entry is new to the proxy");
        assertEquals(Set.of(NODE), sessions.members());
        assertEquals(List.of(PROXY_ADDRESS), sessions.peerAddresses());
        assertEquals(Optional.of(ControllerTestContext.ADDRESS), sessions.controllerOf(NODE));
        assertEquals(2, gossip.get(GossipKeys.SESSION_KEY_PREFIX + NODE).sequence());
    }

    @Test
    void aRenewalPublishesNothingAndSaysWhetherGossipAgrees() {
        ask(1, 1);
        String hash = gossip.rootHash();

        assertEquals(new SessionResponse.Opened(true, 7, true), ask(1, 1));
        assertEquals(hash, gossip.rootHash());
    }

    @Test
    void aSessionThatIsNotRenewedIsClosed() {
        ask(1, 1);
        test.simulator.run(QUIET_MS / 6 * 26 / 10);
        sessions.closeExpired();
        assertEquals(Set.of(NODE), sessions.members(), "in time yet");

        test.simulator.run(1);
        sessions.closeExpired();
        assertEquals(Set.of(), sessions.members());
        assertEquals(Optional.empty(), sessions.peerAddressOf(NODE));
        assertEquals(3, gossip.get(GossipKeys.SESSION_KEY_PREFIX + NODE).sequence());
        assertInstanceOf(SessionResponse.Superseded.class, ask(1, 1), "a closed session stays closed");
        assertInstanceOf(SessionResponse.Opened.class, ask(1, 2));
    }

    @Test
    void onlyTheSessionThatStandsIsClosedOnRequest() {
        ask(1, 2);

        assertEquals(new SessionResponse.Closed(), close(1, 1));
        assertEquals(Set.of(NODE), sessions.members());
        assertEquals(new SessionResponse.Closed(), close(1, 2));
        assertEquals(Set.of(), sessions.members());
    }

    @Test
    void aSessionElsewhereThatRanksHigherSupersedesARequest() {
        receiveFromOtherController(2, 8, true);

        assertEquals(new SessionResponse.Superseded(2, 4), ask(1, 9), "a later incarnation");
        assertEquals(new SessionResponse.Superseded(2, 4), ask(2, 4), "the same session");
        assertInstanceOf(SessionResponse.Opened.class, ask(2, 5));
    }

    @Test
    void aSessionThatMovesToAnotherControllerIsDroppedHere() {
        ask(1, 1);
        receiveFromOtherController(1, 4, true);

        assertEquals(List.of(), sessions.peerAddresses());
        assertEquals(Set.of(NODE), sessions.members(), "a member all the same");
        assertEquals(Optional.of(ControllerTestContext.OTHER_ADDRESS), sessions.controllerOf(NODE));
        assertEquals(Optional.of(PROXY_ADDRESS), sessions.memberAddressOf(NODE));

        receiveFromOtherController(1, 5, false);
        assertEquals(Set.of(), sessions.members());
        assertEquals(Optional.empty(), sessions.memberAddressOf(NODE));
    }
}
