package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.tenancy.TenantSharding;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/** A shard's owner and a proxy whose lease of token buckets has lapsed. */
class LapsedBucketsTest {
    private static final String HOLDER = "10.0.9.1:7000 run";
    /** Twice {@code quiet} of the simulated settings, and a little more. */
    private static final long LEASE_MS = 6500;

    private final SimulatedMesh mesh = new SimulatedMesh(3, 3, 0);
    private final SimulatedMachine probe = mesh.simulator.machine("10.0.9.1:7000");

    private JsonNode admit(boolean mayHold) {
        ObjectNode request = JsonNodeFactory.instance
                .objectNode()
                .put("slice", TenantSharding.shardOf("t"))
                .put("tenant", "t")
                .put("epoch", 1)
                .put("rate", 1.0)
                .put("burst", 20.0)
                .put("within", 300);
        if (mayHold) {
            request.putObject("query").put("candidate", HOLDER).put("known", 0);
        }
        JsonNode[] answer = new JsonNode[1];
        String controller = SimulatedMesh.controllerPeer(0);
        for (int attempt = 0; attempt < 20 && (answer[0] == null || !answer[0].has("fence")); attempt++) {
            probe.call(controller, "admit", request.deepCopy(), 300, response -> answer[0] = response);
            mesh.simulator.run(100);
        }
        return answer[0];
    }

    /** Guards against QUOTA: a former holder fills up from what its owner has granted in between. */
    @Test
    void formerHolderBeginsAnewWhereTheOwnerHasGrantedSince() {
        probe.boot();
        mesh.simulator.run(5000);
        JsonNode first = admit(true).path("grant");
        assertTrue(first.path("full").asBoolean());
        mesh.simulator.run(LEASE_MS);
        assertTrue(admit(true).path("grant").path("kept").asBoolean(), "nobody has granted since");
        mesh.simulator.run(LEASE_MS);
        assertEquals("go", admit(false).path("verdict").asText(), "by the owner");
        JsonNode last = admit(true).path("grant");
        assertTrue(last.isObject());
        assertFalse(last.path("kept").asBoolean() || last.path("full").asBoolean(), last.toString());
    }
}
