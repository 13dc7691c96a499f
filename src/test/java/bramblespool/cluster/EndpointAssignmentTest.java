package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.protocol.OperatorRequest;
import bramblespool.protocol.RegistryPage;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.ReplicatedState;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.SimulatedPlatform;
import bramblespool.transport.PlatformClient;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Gateways, the platform's registry of servers and its readers, on a simulated network, clock and disks. */
class EndpointAssignmentTest {
    private final SimulatedPlatform platform = new SimulatedPlatform();
    private SimulatedMesh mesh;

    @BeforeEach
    void start() {
        for (int i = 0; i < 36; i++) {
            platform.addServer("s" + i, i % 2 == 0 ? "desk" : "till", SimulatedMesh.ZONES[i % 3]);
        }
        mesh = new SimulatedMesh(11, 5, 9, 2, platform);
        mesh.simulator.run(6000);
    }

    /** Which gateways admit requests to a server. */
    private List<String> gatewaysAssigned(String id) {
        List<String> assigned = new ArrayList<>();
        mesh.gateways.forEach((peer, gateway) -> {
            if (gateway.admissions.serverIds().contains(id)) {
                assigned.add(peer);
            }
        });
        return assigned;
    }

    private void assertEachServerAssignedOnce() {
        for (String id : platform.servers.keySet()) {
            assertEquals(1, gatewaysAssigned(id).size(), id + " " + gatewaysAssigned(id));
        }
    }

    private String registryReader(String zone) {
        ReplicatedState.SingletonRole role =
                mesh.leader().replicatedState().singletonRoles().get("list/" + zone);
        return role.owner();
    }

    private boolean isAcceptingRequests(String id) {
        for (DataPlaneNode gateway : mesh.gateways.values()) {
            for (String target : List.of("desk", "till")) {
                var admission = gateway.admissions.leastLoaded(target);
                if (admission != null && id.equals(admission.serverId()) && admission.isAccepting()) {
                    return true;
                }
            }
        }
        return false;
    }

    @Test
    void everyServerIsAssignedOnceInItsZoneAndLoadIsEven() {
        assertEachServerAssignedOnce();
        mesh.gateways.forEach(
                (peer, h) -> assertEquals(4, h.admissions.serverIds().size(), peer));
        for (SimulatedPlatform.Server server : platform.servers.values()) {
            int gatewayNumber =
                    Integer.parseInt(gatewaysAssigned(server.id()).get(0).split("[.:]")[3]);
            assertEquals(server.zone(), SimulatedMesh.ZONES[(gatewayNumber - 1) % 3]);
        }
        assertTrue(mesh.gateways.values().stream().allMatch(h -> h.endpointDirectory.hasAvailableServer()));
    }

    @Test
    void restartedGatewayMovesOnlyItsOwnServers() {
        Map<String, List<String>> before = new HashMap<>();
        platform.servers.keySet().forEach(id -> before.put(id, gatewaysAssigned(id)));
        String gone = SimulatedMesh.gatewayPeer(0);
        mesh.killGateway(gone);
        mesh.simulator.run(4000);
        assertEachServerAssignedOnce();
        long moved = platform.servers.keySet().stream()
                .filter(id -> !gatewaysAssigned(id).equals(before.get(id)))
                .count();
        assertEquals(4, moved, "only the servers of the one that went have moved");
        mesh.startGateway(gone);
        mesh.simulator.run(6000);
        assertEachServerAssignedOnce();
        assertEquals(4, mesh.gateways.get(gone).admissions.serverIds().size(), "and it has its share again");
    }

    /** Back within a second: its session never lapsed, but its gates are gone. */
    @Test
    void quicklyRestartedGatewayIsAssignedAgain() {
        String peer = SimulatedMesh.gatewayPeer(4);
        mesh.killGateway(peer);
        mesh.simulator.run(300);
        mesh.startGateway(peer);
        mesh.simulator.run(4000);
        assertEachServerAssignedOnce();
    }

    @Test
    void zoneWithoutGatewaysIsServedByOthersAndFullyTakenBack() {
        for (int i = 0; i < 9; i += 3) {
            mesh.killGateway(SimulatedMesh.gatewayPeer(i));
        }
        mesh.simulator.run(5000);
        assertEachServerAssignedOnce();
        mesh.startGateway(SimulatedMesh.gatewayPeer(0));
        mesh.simulator.run(8000);
        assertEachServerAssignedOnce();
        assertEquals(
                12,
                mesh.gateways
                        .get(SimulatedMesh.gatewayPeer(0))
                        .admissions
                        .serverIds()
                        .size(),
                "all of its zone, and nobody else holds on");
    }

    /** The reader dies in the moment in which it has seen a server draining, and has notified nobody. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void drainingIsNoticedThoughReaderDies(boolean isRestartedAtOnce) {
        String readerPeer = registryReader("a");
        boolean[] isKilled = new boolean[1];
        platform.startDraining("s0");
        platform.afterPage = peer -> {
            if (peer.equals(readerPeer) && !isKilled[0]) {
                isKilled[0] = true;
                mesh.killController(readerPeer, true);
            }
        };
        mesh.simulator.run(700);
        assertTrue(isKilled[0], "the reader was there to be killed");
        if (isRestartedAtOnce) {
            mesh.startController(readerPeer, false);
        }
        // drain is 2.5 s, but the gateways have sessions only after quiet, 3 s from the last kill or start.
        mesh.simulator.run(3000);
        assertFalse(isAcceptingRequests("s0"));
        assertEachServerAssignedOnce();
        assertEquals(gatewaysAssigned("s0").size(), 1);
    }

    /**
     * The readers lose contact while there is no leader, and go on under the same fencing token: what they send then
     * is new.
     */
    @Test
    void drainingWithoutLeaderIsNoticedOnceThereIsOne() {
        String readerPeer = registryReader("a");
        // The reader has no contact for longer than it trusts a silent leader.
        mesh.controllers.keySet().forEach(h -> mesh.simulator.setLinkCut(h, readerPeer, !h.equals(readerPeer)));
        mesh.simulator.run(1300);
        mesh.controllers.keySet().forEach(h -> mesh.simulator.setLinkCut(h, readerPeer, false));
        platform.startDraining("s0");
        platform.startDraining("s3");
        mesh.simulator.run(3500);
        assertFalse(isAcceptingRequests("s0") || isAcceptingRequests("s3"));
        assertEachServerAssignedOnce();
    }

    /**
     * The bound runs while the controllers are unstable, and holds for machines with a session, which they have
     * {@code quiet} after the losses: by then nobody may send to a server that the list showed as leaving at the
     * moment of the losses.
     */
    @ParameterizedTest
    @CsvSource({"3, true", "4, true", "8, true", "9, true", "32, true", "8, false"})
    void drainingAtMomentOfFaultsIsNoticedOnceGatewaysReconnect(long seed, boolean includesLeader) {
        mesh = new SimulatedMesh(seed, 5, 9, 2, platform);
        mesh.simulator.run(6000);
        Set<String> lostPeers = new TreeSet<>(List.of(registryReader("a")));
        if (includesLeader) {
            mesh.controllers.forEach((peer, controller) -> {
                if (controller.raft().isLeader()) {
                    lostPeers.add(peer);
                }
            });
        }
        lostPeers.forEach(peer -> mesh.killController(peer, true));
        platform.startDraining("s0");
        mesh.simulator.run(3000);
        assertFalse(isAcceptingRequests("s0"));
    }

    @Test
    void reusedAddressWithNewIdIsAnotherServer() {
        SimulatedPlatform.Server old = platform.servers.remove("s0");
        platform.servers.put("t0", new SimulatedPlatform.Server("t0", "till", old.address(), old.zone(), 4, false));
        mesh.simulator.run(2000);
        assertTrue(gatewaysAssigned("s0").isEmpty());
        assertEquals(1, gatewaysAssigned("t0").size());
    }

    @Test
    void lastAssignmentSurvivesLossOfAllControllers() {
        List<String> controllerPeers = new ArrayList<>(mesh.controllers.keySet());
        controllerPeers.forEach(h -> mesh.killController(h, false));
        mesh.simulator.run(3000);
        assertEachServerAssignedOnce();
        controllerPeers.forEach(h -> mesh.startController(h, false));
        mesh.simulator.run(6000);
        assertEachServerAssignedOnce();
        platform.startDraining("s5");
        mesh.simulator.run(2500);
        assertFalse(isAcceptingRequests("s5"), "the list is read again");
    }

    @ParameterizedTest
    @ValueSource(strings = {"429", "cut", "state", "capacity", "address", "twice", "endless", "silence"})
    void invalidRegistryPageLeavesLastListInForce(String fault) {
        String validEntry =
                "{\"id\":\"x1\",\"target\":\"desk\",\"address\":\"10.3.9.9:80\",\"capacity\":4,\"state\":\"ready\",\"warmupLeft\":\"0ms\"}";
        String entry =
                switch (fault) {
                    case "state" -> validEntry.replace("ready", "asleep");
                    case "capacity" -> validEntry.replace("4,", "0,");
                    case "address" -> validEntry.replace(":80", "");
                    case "twice" -> validEntry + "," + validEntry;
                    default -> validEntry;
                };
        String page = "{\"servers\":{\"a\":[" + entry + "],\"b\":[],\"c\":[]},\"nextToken\":"
                + (fault.equals("endless") ? "\"p\"" : "null") + "}";
        platform.pageOverride = new PlatformClient.Response(
                fault.equals("429") ? 429 : fault.equals("silence") ? 0 : 200,
                fault.equals("silence")
                        ? null
                        : (fault.equals("cut") ? page.substring(0, page.length() - 9) : page)
                                .getBytes(StandardCharsets.UTF_8));
        if (!fault.equals("429") && !fault.equals("silence") && !fault.equals("endless")) {
            assertThrows(InvalidConfigurationException.class, () -> RegistryPage.parse(platform.pageOverride.body()));
        }
        int before = platform.callsByPeer.values().stream().mapToInt(i -> i).sum();
        mesh.simulator.run(6000);
        assertEachServerAssignedOnce();
        int calls = platform.callsByPeer.values().stream().mapToInt(i -> i).sum() - before;
        assertTrue(calls < 60, "it backs off and gives up at a bound: " + calls + " calls");
        platform.pageOverride = null;
        platform.startDraining("s0");
        mesh.simulator.run(4000);
        assertFalse(isAcceptingRequests("s0"), "and it reads again when the platform is well");
    }

    @Test
    void assignmentWithOlderFencingTokenIsRejected() {
        DataPlaneNode gateway = mesh.gateways.get(SimulatedMesh.gatewayPeer(0));
        List<String> serversBefore = gateway.admissions.serverIds();
        ObjectNode staleAssignment = JsonNodeFactory.instance
                .objectNode()
                .put("zone", "a")
                .put("fence", 1)
                .put("n", 99);
        staleAssignment.putArray("servers");
        ObjectNode[] answer = new ObjectNode[1];
        gateway.handleRequest("assign", staleAssignment, a -> answer[0] = a);
        assertFalse(answer[0].path("ok").asBoolean());
        assertEquals(serversBefore, gateway.admissions.serverIds());
    }

    @Test
    void partitionedReaderLosesItsRoleAndSuccessorGetsHigherFencingToken() {
        String readerPeer = registryReader("b");
        long fencingToken =
                mesh.leader().replicatedState().singletonRoles().get("list/b").fencingToken();
        mesh.simulator.setIsolated(readerPeer, true);
        mesh.simulator.run(5000);
        assertNotEquals(readerPeer, registryReader("b"));
        assertTrue(
                mesh.leader().replicatedState().singletonRoles().get("list/b").fencingToken() > fencingToken);
        int calls = platform.callsByPeer.getOrDefault(readerPeer, 0);
        mesh.simulator.run(2000);
        assertEquals(calls, platform.callsByPeer.getOrDefault(readerPeer, 0), "cut off, it reads no more");
        mesh.simulator.setIsolated(readerPeer, false);
        mesh.simulator.run(3000);
        assertEachServerAssignedOnce();
    }

    /** Five voters, so that the loss of two disks right after an acknowledgement loses nothing. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void acknowledgedChangesSurviveTwoDiskLossesAndPowerLoss(long seed) {
        SimulatedMesh cluster = new SimulatedMesh(seed, 5, 2, 2, platform);
        cluster.simulator.run(6000);
        assertEquals(5, cluster.leader().raft().voters().size());
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        cluster.submitToLeader(SimulatedMesh.change(5, 0, "one"), o -> outcome[0] = o);
        while (outcome[0] == null) {
            cluster.simulator.run(1);
        }
        assertEquals(200, outcome[0].status());
        List<String> controllerPeers = new ArrayList<>(cluster.controllers.keySet());
        controllerPeers.forEach(h -> cluster.killController(h, true));
        java.util.Collections.shuffle(controllerPeers, cluster.simulator.random);
        cluster.simulator.machine(controllerPeers.get(0)).disk.wipe();
        cluster.simulator.machine(controllerPeers.get(1)).disk.wipe();
        controllerPeers.forEach(h -> cluster.startController(h, false));
        cluster.simulator.run(6000);
        assertEquals(5, cluster.leader().replicatedState().current().epoch());
    }

    /** With a hundred gateways a change costs each about one message, and the cost does not grow with the square. */
    @Test
    void changeCostsAboutOneMessagePerNode() {
        long few = changeCost(30);
        long many = changeCost(100);
        assertTrue(many < 100 * 6, many + " messages for one change among 100");
        assertTrue(many < few * 5, few + " among 30, " + many + " among 100");
    }

    private long changeCost(int gatewayCount) {
        SimulatedMesh cluster = new SimulatedMesh(3, 3, gatewayCount, 1, platform);
        cluster.simulator.run(15_000);
        long messagesBefore = cluster.simulator.messageCount;
        cluster.simulator.run(1000);
        long idleMessages = cluster.simulator.messageCount - messagesBefore;
        cluster.gateways.values().iterator().next().leave();
        messagesBefore = cluster.simulator.messageCount;
        cluster.simulator.run(1000);
        return Math.max(1, cluster.simulator.messageCount - messagesBefore - idleMessages);
    }
}
