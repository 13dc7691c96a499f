package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.protocol.OperatorRequest;
import bramblespool.protocol.RegistryPage;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimPlatform;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
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

/** Hems, the list of servers and its readers, on a simulated network, clock and disks. */
class GatewayTest {
    private final SimPlatform platform = new SimPlatform();
    private SimMesh mesh;

    @BeforeEach
    void start() {
        for (int i = 0; i < 36; i++) {
            platform.add("s" + i, i % 2 == 0 ? "desk" : "till", SimMesh.ZONES[i % 3]);
        }
        mesh = new SimMesh(11, 5, 9, 2, platform);
        mesh.world.run(6000);
    }

    /** Which hems have a gate to a server. */
    private List<String> stewards(String id) {
        List<String> out = new ArrayList<>();
        mesh.hems.forEach((peer, h) -> {
            if (h.admissions.serverIds().contains(id)) {
                out.add(peer);
            }
        });
        return out;
    }

    private void eachHasOneSteward() {
        for (String id : platform.list.keySet()) {
            assertEquals(1, stewards(id).size(), id + " " + stewards(id));
        }
    }

    private String reader(String zone) {
        ReplicatedState.SingletonRole d =
                mesh.leader().replicatedState().singletonRoles().get("list/" + zone);
        return d.owner();
    }

    private boolean takesWork(String id) {
        for (DataPlaneNode h : mesh.hems.values()) {
            for (String target : List.of("desk", "till")) {
                var g = h.admissions.leastLoaded(target);
                if (g != null && id.equals(g.serverId()) && g.isAccepting()) {
                    return true;
                }
            }
        }
        return false;
    }

    @Test
    void everyServerHasOneStewardInItsZoneAndTheLoadIsEven() {
        eachHasOneSteward();
        mesh.hems.forEach((peer, h) -> assertEquals(4, h.admissions.serverIds().size(), peer));
        for (SimPlatform.Server s : platform.list.values()) {
            int hem = Integer.parseInt(stewards(s.id()).get(0).split("[.:]")[3]);
            assertEquals(s.zone(), SimMesh.ZONES[(hem - 1) % 3]);
        }
        assertTrue(mesh.hems.values().stream().allMatch(h -> h.endpointDirectory.hasAvailableServer()));
    }

    @Test
    void aStewardThatGoesAndComesBackMovesNoMoreThanItsOwn() {
        Map<String, List<String>> before = new HashMap<>();
        platform.list.keySet().forEach(id -> before.put(id, stewards(id)));
        String gone = SimMesh.hemPeer(0);
        mesh.killHem(gone);
        mesh.world.run(4000);
        eachHasOneSteward();
        long moved = platform.list.keySet().stream()
                .filter(id -> !stewards(id).equals(before.get(id)))
                .count();
        assertEquals(4, moved, "only the servers of the one that went have moved");
        mesh.startHem(gone);
        mesh.world.run(6000);
        eachHasOneSteward();
        assertEquals(4, mesh.hems.get(gone).admissions.serverIds().size(), "and it has its share again");
    }

    /** Back within a second: its session never lapsed, but its gates are gone. */
    @Test
    void aStewardThatComesStraightBackIsToldAgain() {
        String peer = SimMesh.hemPeer(4);
        mesh.killHem(peer);
        mesh.world.run(300);
        mesh.startHem(peer);
        mesh.world.run(4000);
        eachHasOneSteward();
    }

    @Test
    void aZoneWithoutHemsIsServedByTheOthersAndTakenBackWhole() {
        for (int i = 0; i < 9; i += 3) {
            mesh.killHem(SimMesh.hemPeer(i));
        }
        mesh.world.run(5000);
        eachHasOneSteward();
        mesh.startHem(SimMesh.hemPeer(0));
        mesh.world.run(8000);
        eachHasOneSteward();
        assertEquals(
                12,
                mesh.hems.get(SimMesh.hemPeer(0)).admissions.serverIds().size(),
                "all of its zone, and nobody else holds on");
    }

    /** The reader dies in the moment in which it has seen a server draining, and has told nobody. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLeavingIsNoticedThoughTheReaderDiesWithIt(boolean straightBack) {
        String reader = reader("a");
        boolean[] seen = new boolean[1];
        platform.leaving("s0");
        platform.served = peer -> {
            if (peer.equals(reader) && !seen[0]) {
                seen[0] = true;
                mesh.killHelm(reader, true);
            }
        };
        mesh.world.run(700);
        assertTrue(seen[0], "the reader was there to be killed");
        if (straightBack) {
            mesh.startHelm(reader, false);
        }
        // drain is 2.5 s, but the hems are in touch only after quiet, 3 s from the last kill or start.
        mesh.world.run(3000);
        assertFalse(takesWork("s0"));
        eachHasOneSteward();
        assertEquals(stewards("s0").size(), 1);
    }

    /** The readers lose touch while there is no leader, and go on under the same fence: what they say then is new. */
    @Test
    void aLeavingWhileThereIsNoLeaderIsNoticedOnceThereIs() {
        String alone = reader("a");
        // The reader hears nobody for longer than it trusts a silent leader.
        mesh.helms.keySet().forEach(h -> mesh.world.cut(h, alone, !h.equals(alone)));
        mesh.world.run(1300);
        mesh.helms.keySet().forEach(h -> mesh.world.cut(h, alone, false));
        platform.leaving("s0");
        platform.leaving("s3");
        mesh.world.run(3500);
        assertFalse(takesWork("s0") || takesWork("s3"));
        eachHasOneSteward();
    }

    /**
     * The bound runs while the core is not settled, and holds for machines in touch, which they are {@code quiet} after the
     * losses: by then nobody may send to a server that the list showed as leaving at the moment of the losses.
     */
    @ParameterizedTest
    @CsvSource({"3, true", "4, true", "8, true", "9, true", "32, true", "8, false"})
    void aLeavingAtTheMomentOfTheLossesIsNoticedOnceTheHemsAreInTouch(long seed, boolean leaderToo) {
        mesh = new SimMesh(seed, 5, 9, 2, platform);
        mesh.world.run(6000);
        Set<String> lost = new TreeSet<>(List.of(reader("a")));
        if (leaderToo) {
            mesh.helms.forEach((peer, h) -> {
                if (h.raft.isLeader()) {
                    lost.add(peer);
                }
            });
        }
        lost.forEach(peer -> mesh.killHelm(peer, true));
        platform.leaving("s0");
        mesh.world.run(3000);
        assertFalse(takesWork("s0"));
    }

    @Test
    void anAddressUsedAgainUnderAnotherIdIsAnotherServer() {
        SimPlatform.Server old = platform.list.remove("s0");
        platform.list.put("t0", new SimPlatform.Server("t0", "till", old.address(), old.zone(), 4, false));
        mesh.world.run(2000);
        assertTrue(stewards("s0").isEmpty());
        assertEquals(1, stewards("t0").size());
    }

    @Test
    void allHelmsAtOnceAreKilledAndTheLastAssignmentStands() {
        List<String> helms = new ArrayList<>(mesh.helms.keySet());
        helms.forEach(h -> mesh.killHelm(h, false));
        mesh.world.run(3000);
        eachHasOneSteward();
        helms.forEach(h -> mesh.startHelm(h, false));
        mesh.world.run(6000);
        eachHasOneSteward();
        platform.leaving("s5");
        mesh.world.run(2500);
        assertFalse(takesWork("s5"), "the list is read again");
    }

    @ParameterizedTest
    @ValueSource(strings = {"429", "cut", "state", "capacity", "address", "twice", "endless", "silence"})
    void aBadPageTakesNothingAndTheLastListStands(String how) {
        String good =
                "{\"id\":\"x1\",\"target\":\"desk\",\"address\":\"10.3.9.9:80\",\"capacity\":4,\"state\":\"ready\",\"warmupLeft\":\"0ms\"}";
        String entry =
                switch (how) {
                    case "state" -> good.replace("ready", "asleep");
                    case "capacity" -> good.replace("4,", "0,");
                    case "address" -> good.replace(":80", "");
                    case "twice" -> good + "," + good;
                    default -> good;
                };
        String page = "{\"servers\":{\"a\":[" + entry + "],\"b\":[],\"c\":[]},\"nextToken\":"
                + (how.equals("endless") ? "\"p\"" : "null") + "}";
        platform.instead = new PlatformClient.Response(
                how.equals("429") ? 429 : how.equals("silence") ? 0 : 200,
                how.equals("silence")
                        ? null
                        : (how.equals("cut") ? page.substring(0, page.length() - 9) : page)
                                .getBytes(StandardCharsets.UTF_8));
        if (!how.equals("429") && !how.equals("silence") && !how.equals("endless")) {
            assertThrows(
                    RoutingConfiguration.InvalidConfigurationException.class,
                    () -> RegistryPage.parse(platform.instead.body()));
        }
        int before = platform.calls.values().stream().mapToInt(i -> i).sum();
        mesh.world.run(6000);
        eachHasOneSteward();
        int calls = platform.calls.values().stream().mapToInt(i -> i).sum() - before;
        assertTrue(calls < 60, "it backs off and gives up at a bound: " + calls + " calls");
        platform.instead = null;
        platform.leaving("s0");
        mesh.world.run(4000);
        assertFalse(takesWork("s0"), "and it reads again when the platform is well");
    }

    @Test
    void anAssignmentUnderAnOlderFenceIsDropped() {
        DataPlaneNode hem = mesh.hems.get(SimMesh.hemPeer(0));
        List<String> mine = hem.admissions.serverIds();
        ObjectNode old = JsonNodeFactory.instance
                .objectNode()
                .put("zone", "a")
                .put("fence", 1)
                .put("n", 99);
        old.putArray("servers");
        ObjectNode[] got = new ObjectNode[1];
        hem.handleRequest("assign", old, a -> got[0] = a);
        assertFalse(got[0].path("ok").asBoolean());
        assertEquals(mine, hem.admissions.serverIds());
    }

    @Test
    void aReaderCutOffLosesItsDutyAndTheNextOneItsFence() {
        String reader = reader("b");
        long fence =
                mesh.leader().replicatedState().singletonRoles().get("list/b").fencingToken();
        mesh.world.isolate(reader, true);
        mesh.world.run(5000);
        assertNotEquals(reader, reader("b"));
        assertTrue(
                mesh.leader().replicatedState().singletonRoles().get("list/b").fencingToken() > fence);
        int calls = platform.calls.getOrDefault(reader, 0);
        mesh.world.run(2000);
        assertEquals(calls, platform.calls.getOrDefault(reader, 0), "cut off, it reads no more");
        mesh.world.isolate(reader, false);
        mesh.world.run(3000);
        eachHasOneSteward();
    }

    /** Five voters, so that the loss of two disks right after an acknowledgement loses nothing. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void twoDisksLostAndPowerGoneKeepWhatWasAcknowledged(long seed) {
        SimMesh m = new SimMesh(seed, 5, 2, 2, platform);
        m.world.run(6000);
        assertEquals(5, m.leader().raft.voters().size());
        OperatorRequest.Result[] got = new OperatorRequest.Result[1];
        m.order(SimMesh.change(5, 0, "one"), o -> got[0] = o);
        while (got[0] == null) {
            m.world.run(1);
        }
        assertEquals(200, got[0].status());
        List<String> helms = new ArrayList<>(m.helms.keySet());
        helms.forEach(h -> m.killHelm(h, true));
        java.util.Collections.shuffle(helms, m.world.random);
        m.world.machine(helms.get(0)).disk.wipe();
        m.world.machine(helms.get(1)).disk.wipe();
        helms.forEach(h -> m.startHelm(h, false));
        m.world.run(6000);
        assertEquals(5, m.leader().replicatedState().current().epoch());
    }

    /** With a hundred hems a change costs each about one message, and what it costs does not grow with the square. */
    @Test
    void aChangeCostsAboutOneMessageForEachDaemon() {
        long few = changeCost(30);
        long many = changeCost(100);
        assertTrue(many < 100 * 6, many + " messages for one change among 100");
        assertTrue(many < few * 5, few + " among 30, " + many + " among 100");
    }

    private long changeCost(int hems) {
        SimMesh m = new SimMesh(3, 3, hems, 1, platform);
        m.world.run(15_000);
        long before = m.world.messages;
        m.world.run(1000);
        long idle = m.world.messages - before;
        m.hems.values().iterator().next().leave();
        before = m.world.messages;
        m.world.run(1000);
        return Math.max(1, m.world.messages - before - idle);
    }
}
