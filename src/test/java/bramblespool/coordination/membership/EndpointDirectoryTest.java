package bramblespool.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.Simulator;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The choice of an endpoint for a request. */
class EndpointDirectoryTest {
    private final Simulator simulator = new Simulator(5);
    private final SimulatedMachine machine = simulator.machine("10.0.1.1:7000");
    private final Map<String, Integer> localLoads = new HashMap<>();
    private EndpointDirectory directory;
    private long sequence;

    @BeforeEach
    void boot() {
        machine.boot();
        directory = new EndpointDirectory(machine, "me", "a", 1000, t -> localLoads.getOrDefault(t, 0));
    }

    private void addEndpoint(String node, String zone, int slow) {
        ObjectNode payload = JsonNodeFactory.instance
                .objectNode()
                .put("peer", node + ":1")
                .put("inbound", node + ":2")
                .put("zone", zone);
        payload.putArray("doors")
                .addObject()
                .put("target", "desk")
                .put("servers", "s-" + node)
                .put("capacity", 4)
                .put("open", true)
                .put("slow", slow);
        directory.onUpdate(new GossipStore.GossipEntry(GossipKeys.PROXY_KEY_PREFIX + node, 1, ++sequence, payload));
    }

    private Map<String, Integer> countChoices(int times) {
        Map<String, Integer> choices = new HashMap<>();
        for (int i = 0; i < times; i++) {
            choices.merge(directory.chooseEndpoint("desk", Set.of()).proxy.node, 1, Integer::sum);
        }
        return choices;
    }

    private void reportLoad(String node, int load) {
        Set<EndpointDirectory.Endpoint> others = new HashSet<>();
        EndpointDirectory.Endpoint endpoint = directory.chooseEndpoint("desk", others);
        while (!endpoint.proxy.node.equals(node)) {
            others.add(endpoint);
            endpoint = directory.chooseEndpoint("desk", others);
        }
        directory.recordLoad(endpoint, load);
    }

    @Test
    void idleEndpointIsPreferredToUnknownAndUnknownToBusy() {
        for (String node : new String[] {"idle", "unseen", "busy"}) {
            addEndpoint(node, "a", 0);
        }
        for (int i = 0; i < 200; i++) {
            reportLoad("busy", 3);
            reportLoad("idle", 0);
        }
        Map<String, Integer> choices = countChoices(300);
        assertTrue(
                choices.get("idle") > 150 && choices.get("unseen") > 50 && !choices.containsKey("busy"),
                choices.toString());
        simulator.run(3000);
        choices = countChoices(300);
        assertTrue(choices.get("busy") > 70, "an old report counts little: " + choices);
    }

    @Test
    void slowEndpointGetsLittleWhileOthersHaveCapacity() {
        addEndpoint("me", "a", 2);
        addEndpoint("slow", "a", 2);
        addEndpoint("sound", "a", 0);
        addEndpoint("well", "a", 0);
        Map<String, Integer> choices = countChoices(300);
        assertTrue(
                choices.get("sound") + choices.get("well") > 220, "the own endpoint does not come first: " + choices);
    }

    @Test
    void localEndpointIsPreferredWhileItHasCapacity() {
        addEndpoint("me", "a", 0);
        addEndpoint("near", "a", 0);
        addEndpoint("far", "b", 0);
        localLoads.put("desk", 3);
        assertEquals(Map.of("me", 50), countChoices(50));
        localLoads.put("desk", 4);
        assertTrue(countChoices(50).containsKey("near"));
    }
}
