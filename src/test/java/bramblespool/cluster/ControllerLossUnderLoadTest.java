package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.RequestAdmission;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.RaftNode;
import bramblespool.state.Tenant;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Ninety sidecars, four small controllers and the admissions of a busy fleet, most of whose tenants have limits: what
 * the loss of one controller does to the load of the others.
 */
class ControllerLossUnderLoadTest {
    private static final int CONTROLLERS = 4;
    private static final int SIDECARS = 90;
    private static final int TENANTS = 87;
    /** Milliseconds of a controller's processor for one message. */
    private static final double CONTROLLER_MS_PER_MESSAGE = 0.8;

    private static final double REQUESTS_PER_MS = 1.3;
    private static final double KEYED_SHARE = 0.4;
    private static final long ADMISSION_TIMEOUT_MS = 300;
    /** A client's one further try comes so long after a refusal. */
    private static final long CLIENT_RETRY_MS = 150;

    private final Random random = new Random(11);
    private final SimulatedMesh mesh = new SimulatedMesh(11, CONTROLLERS, SIDECARS);
    private long keyCount;
    private long askedCount;
    private long admittedCount;

    @BeforeEach
    void startWithConfiguration() {
        mesh.simulator.run(6000);
        mesh.simulator.accountsForSize = false;
        assertEquals(200, submit(SimulatedMesh.change(5, 0, "one"), 1000).status());
        mesh.simulator.run(2000);
        for (int i = 0; i < CONTROLLERS; i++) {
            mesh.simulator.machine(SimulatedMesh.controllerPeer(i)).cpuMsPerMessage = CONTROLLER_MS_PER_MESSAGE;
        }
    }

    /** Tenants differ in size: the largest sends a twentieth of all. */
    private Tenant randomTenant() {
        double position = random.nextDouble();
        int index = (int) (position * position * TENANTS);
        double limitPerS = 1.6
                * 1000
                * REQUESTS_PER_MS
                * (Math.sqrt((index + 1.0) / TENANTS) - Math.sqrt((double) index / TENANTS));
        return new Tenant("tenant-" + index, -1, limitPerS, limitPerS);
    }

    private void sendRequests(int durationMs) {
        for (int elapsedMs = 0; elapsedMs < durationMs; elapsedMs++) {
            for (double left = REQUESTS_PER_MS; random.nextDouble() < left; left--) {
                askedCount++;
                String key = random.nextDouble() < KEYED_SHARE ? "key-" + ++keyCount : null;
                request(randomTenant(), key, true);
            }
            mesh.simulator.run(1);
        }
    }

    private void request(Tenant tenant, String key, boolean mayRetry) {
        String peer = SimulatedMesh.sidecarPeer(random.nextInt(SIDECARS));
        DataPlaneNode sidecar = mesh.sidecars.get(peer);
        SimulatedMachine machine = mesh.simulator.machine(peer);
        String registerId = key == null ? null : sidecar.admissionClient.registerId(tenant.name(), key);
        sidecar.requestAdmission.admit(
                new RequestAdmission.AdmissionRequest(tenant.name(), tenant, 1, registerId, 7),
                ADMISSION_TIMEOUT_MS,
                new RequestAdmission.AdmissionHandler() {
                    @Override
                    public void proceed(IdempotencyTable.Operation operation) {
                        admittedCount++;
                    }

                    @Override
                    public void reject(int status, long retryMs, String reason) {
                        if (mayRetry) {
                            machine.schedule(CLIENT_RETRY_MS, () -> request(tenant, key, false));
                        }
                    }

                    @Override
                    public void replay(bramblespool.coordination.answer.StoredResponse response) {
                        admittedCount++;
                    }
                });
    }

    private double admittedShareOver(int durationMs) {
        askedCount = 0;
        admittedCount = 0;
        sendRequests(durationMs);
        return (double) admittedCount / askedCount;
    }

    private void killLeader() {
        mesh.killController(RaftNode.addressOf(mesh.leader().raft().leaderId()), true);
    }

    private OperatorRequest.Result submit(OperatorRequest.ConfigurationChange change, int timeoutMs) {
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        mesh.submitToLeader(change, o -> outcome[0] = o);
        for (int elapsedMs = 0; elapsedMs < timeoutMs && outcome[0] == null; elapsedMs += 20) {
            mesh.simulator.run(20);
        }
        return outcome[0];
    }

    /** Guards against SHORT: the load of a lost controller takes the others down, and they stay down. */
    @Test
    void goodputReturnsAfterTheLeadersLoss() {
        sendRequests(4000);
        double before = admittedShareOver(4000);

        assertTrue(before > 0.98, before + " admitted before the loss");
        killLeader();
        sendRequests(6000);
        double after = admittedShareOver(4000);

        assertTrue(after > 0.95, after + " admitted from 6 s after the loss on");
    }

    /** Guards against CONFIG: admissions keep a change from its quorum, and proxies from what was acknowledged. */
    @Test
    void changeIsAcknowledgedAndInForceInTimeAfterTheLeadersLoss() {
        sendRequests(6000);
        killLeader();
        sendRequests(3000);
        assertNotNull(mesh.leader(), "a leader");
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        mesh.submitToLeader(SimulatedMesh.change(6, 5, "two"), result -> outcome[0] = result);
        for (int elapsedMs = 0; elapsedMs < 5000 && outcome[0] == null; elapsedMs += 100) {
            sendRequests(100);
        }
        assertNotNull(outcome[0], "acknowledged within ack");
        assertEquals(200, outcome[0].status());
        sendRequests(2500);
        long behind = mesh.sidecars.values().stream()
                .filter(sidecar -> sidecar.shadowCommit.epoch() != 6)
                .count();
        assertEquals(0, behind, "proxies behind once apply is over");
    }
}
