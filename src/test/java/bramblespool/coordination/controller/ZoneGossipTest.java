package bramblespool.coordination.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ZoneGossipTest {
    private static final String PROXY_ADDRESS = "10.0.1.1:7000";

    private final ControllerTestContext test = new ControllerTestContext();
    private final ZoneGossip gossip = test.newGossip(List.of(PROXY_ADDRESS));

    @Test
    void whatAControllerSentGoesToTheZoneOnlyAndAllElseToTheOtherControllersToo() {
        List<String> all = List.of(PROXY_ADDRESS, ControllerTestContext.OTHER_ADDRESS);

        assertEquals(List.of(PROXY_ADDRESS), gossip.pushTargets(GossipStore.Source.CONTROLLER));
        assertEquals(all, gossip.pushTargets(GossipStore.Source.PROXY));
        assertEquals(all, gossip.pushTargets(GossipStore.Source.LOCAL));
    }

    @Test
    void withoutSessionsOnlyControllersAreComparedWith() {
        ZoneGossip lonely = test.newGossip(List.of());

        assertEquals(List.of(ControllerTestContext.OTHER_ADDRESS), lonely.reconciliationPeers());
        assertEquals(Set.of(ControllerTestContext.OTHER_ADDRESS), lonely.otherControllers());
    }

    @Test
    void itsOwnEntrySaysWhetherItIsLeavingAndAVoter() {
        gossip.publishSelf();
        gossip.publishVoterChange();
        assertEquals(1, ownEntry().sequence(), "no change, nothing published");

        test.context.local().startLeaving();
        gossip.publishSelf();
        assertTrue(ownEntry().body().path("gone").asBoolean());
        assertFalse(ownEntry().body().path("voter").asBoolean());
    }

    private GossipStore.GossipEntry ownEntry() {
        return gossip.store().get(GossipKeys.CONTROLLER_KEY_PREFIX + "helm-1");
    }

    @Test
    void aDigestIsAnsweredWithTheContactToTheLeader() {
        JsonNode[] response = new JsonNode[1];

        assertTrue(gossip.handleRequest(
                GossipStore.DIGEST, ControllerTestContext.json("{'hash':'0'}"), body -> response[0] = body));
        assertTrue(response[0].path("touch").asBoolean());
        assertFalse(gossip.handleRequest("session", ControllerTestContext.json("{}"), body -> {}));
    }
}
