package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.state.Tenant;
import bramblespool.testing.SimulatedMesh;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/** Shards' registers are written anew before they are forgotten, also by an owner that is late. */
class ShardRefreshTest {
    /** Settings without {@code keyWindow} have this one. */
    private static final long KEY_WINDOW_MS = 60_000;

    private static final long REFRESH_MS = IdempotencyTable.retentionMs(KEY_WINDOW_MS) / 4;
    private static final int TENANTS = 12;

    private final SimulatedMesh mesh = new SimulatedMesh(3, 3, 2);
    private final long startMs = mesh.simulator.nowMs();

    private void sendRequestsUntil(long elapsedMs) {
        while (mesh.simulator.nowMs() - startMs < elapsedMs) {
            for (DataPlaneNode sidecar : mesh.sidecars.values()) {
                for (int i = 0; i < TENANTS; i++) {
                    Tenant tenant = new Tenant("tenant" + i, -1, 100, 100);
                    sidecar.admissionClient.admit(tenant.name(), tenant, 1, null, null, null, 300, decision -> {});
                }
            }
            mesh.simulator.run(10);
        }
    }

    private static int ownedShards(ControllerNode controller) {
        ObjectNode[] status = new ObjectNode[1];
        controller.handleRequest("status", JsonNodeFactory.instance.objectNode(), answer -> status[0] = answer);
        return status[0].path("slices").asInt();
    }

    /** Guards against SHORT: an owner that is late once refreshes its shards no more, and they are forgotten. */
    @Test
    void leaseThatLapsesRightBeforeARefreshEndsNoRefresh() {
        long freezeMs = 600;
        long renewalMs = 3000 / 24;
        for (long beforeMs = 10; beforeMs < renewalMs; beforeMs += 20) {
            ShardRefreshTest run = new ShardRefreshTest();
            run.sendRequestsUntil(REFRESH_MS - beforeMs);
            String owner = run.mesh.controllers.entrySet().stream()
                    .filter(entry -> ownedShards(entry.getValue()) > 1)
                    .findFirst()
                    .orElseThrow()
                    .getKey();
            run.mesh.simulator.machine(owner).freeze(freezeMs, true);
            assertDoesNotThrow(
                    () -> run.sendRequestsUntil(REFRESH_MS + 2 * freezeMs), "frozen " + beforeMs + " ms before");
            int owned = run.mesh.controllers.values().stream()
                    .mapToInt(ShardRefreshTest::ownedShards)
                    .sum();
            assertTrue(owned > 1, "owned after it: " + owned);
        }
    }
}
