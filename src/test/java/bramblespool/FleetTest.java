package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.sim.SimWorld;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which of many doors a request is sent to. */
class FleetTest {
    private final SimWorld world = new SimWorld(5);
    private final SimWorld.Machine machine = world.machine("10.0.1.1:7000");
    private final Map<String, Integer> own = new HashMap<>();
    private EndpointDirectory fleet;
    private long seq;

    @BeforeEach
    void boot() {
        machine.boot();
        fleet = new EndpointDirectory(machine, "me", "a", 1000, t -> own.getOrDefault(t, 0));
    }

    private void door(String node, String zone, int slow) {
        ObjectNode b = JsonNodeFactory.instance
                .objectNode()
                .put("peer", node + ":1")
                .put("inbound", node + ":2")
                .put("zone", zone);
        b.putArray("doors")
                .addObject()
                .put("target", "desk")
                .put("servers", "s-" + node)
                .put("capacity", 4)
                .put("open", true)
                .put("slow", slow);
        fleet.onUpdate(new GossipStore.GossipEntry(EndpointDirectory.PROXY_KEY_PREFIX + node, 1, ++seq, b));
    }

    private Map<String, Integer> chosen(int times) {
        Map<String, Integer> out = new HashMap<>();
        for (int i = 0; i < times; i++) {
            out.merge(fleet.chooseEndpoint("desk", Set.of()).proxy.node, 1, Integer::sum);
        }
        return out;
    }

    private void report(String node, int load) {
        Set<EndpointDirectory.Endpoint> others = new HashSet<>();
        EndpointDirectory.Endpoint d = fleet.chooseEndpoint("desk", others);
        while (!d.proxy.node.equals(node)) {
            others.add(d);
            d = fleet.chooseEndpoint("desk", others);
        }
        fleet.recordLoad(d, load);
    }

    @Test
    void oneSeenIdleGoesBeforeOneNotSeenAndThatBeforeOneSeenBusy() {
        for (String n : new String[] {"idle", "unseen", "busy"}) {
            door(n, "a", 0);
        }
        for (int i = 0; i < 200; i++) {
            report("busy", 3);
            report("idle", 0);
        }
        Map<String, Integer> at = chosen(300);
        assertTrue(at.get("idle") > 150 && at.get("unseen") > 50 && !at.containsKey("busy"), at.toString());
        world.run(3000);
        at = chosen(300);
        assertTrue(at.get("busy") > 70, "an old report says little: " + at);
    }

    @Test
    void aSlowServerGetsLittleWhileOthersHaveRoom() {
        door("me", "a", 2);
        door("slow", "a", 2);
        door("sound", "a", 0);
        door("well", "a", 0);
        Map<String, Integer> at = chosen(300);
        assertTrue(at.get("sound") + at.get("well") > 220, "not even one's own comes first: " + at);
    }

    @Test
    void theOwnGateIsKnownExactlyAndComesFirstWhileItHasRoom() {
        door("me", "a", 0);
        door("near", "a", 0);
        door("far", "b", 0);
        own.put("desk", 3);
        assertEquals(Map.of("me", 50), chosen(50));
        own.put("desk", 4);
        assertTrue(chosen(50).containsKey("near"));
    }
}
