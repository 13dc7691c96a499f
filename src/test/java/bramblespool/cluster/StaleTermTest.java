package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.controller.EvacuationOutcome;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.RaftNode;
import bramblespool.state.CompressedDocument;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.RoutingConfigurationParser;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.SimulatedPlatform;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A leader's messages count in its own term, and a partitioned controller's answers are not taken for the newest. */
class StaleTermTest {
    private static final int QUIET_MS = 3000;

    private static OperatorRequest.Result submit(SimulatedMesh mesh, long epoch, long base, String prefix) {
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        for (int i = 0; i < 100 && (outcome[0] == null || outcome[0].status() == 503); i++) {
            if (i % 20 == 0) {
                mesh.submitToLeader(SimulatedMesh.change(epoch, base, prefix), o -> outcome[0] = o);
            }
            mesh.simulator.run(50);
        }
        return outcome[0];
    }

    private static SimulatedMesh newMesh(long seed, int controllers, int sidecars) {
        SimulatedMesh mesh = new SimulatedMesh(seed, controllers, sidecars);
        mesh.simulator.run(6000);
        assertEquals(200, submit(mesh, 5, 0, "one").status());
        mesh.simulator.run(1000);
        return mesh;
    }

    private static String leaderPeer(SimulatedMesh mesh) {
        return RaftNode.addressOf(mesh.leader().raft().localId());
    }

    private static JsonNode call(SimulatedMesh mesh, String peer, String kind, ObjectNode message) {
        JsonNode[] answer = new JsonNode[1];
        var asker = mesh.simulator.machine("10.0.9.9:7000");
        if (!asker.isUp()) {
            asker.boot();
        }
        asker.call(peer, kind, message, 300, a -> answer[0] = a);
        mesh.simulator.run(300);
        return answer[0];
    }

    private static JsonNode status(SimulatedMesh mesh, String peer) {
        JsonNode[] status = new JsonNode[1];
        mesh.sidecars.get(peer).handleRequest("status", JsonNodeFactory.instance.objectNode(), a -> status[0] = a);
        return status[0];
    }

    /** Keeps back this leader's messages of one phase to zone controllers, and to its own proxies. */
    private static List<Runnable> delayPhase(SimulatedMesh mesh, String leader, int phase, long epoch) {
        List<Runnable> delayed = new ArrayList<>();
        mesh.simulator.interceptor = (from, to, kind, message, deliver) -> {
            boolean isMatching = from.equals(leader) && (kind.equals("cell") || kind.equals("phase"));
            return isMatching
                    && message.path("phase").asInt() == phase
                    && message.path("new").asLong() == epoch
                    && delayed.add(deliver);
        };
        return delayed;
    }

    private static void awaitStable(SimulatedMesh mesh) {
        for (int i = 0; i < 400; i++) {
            ControllerNode leader = mesh.leader();
            if (leader != null
                    && leader.replicatedState().candidate() == null
                    && leader.replicatedState().phase() == ReplicatedState.Phase.MARKED
                    && mesh.sidecars.values().stream().allMatch(DataPlaneNode::hasSession)) {
                break;
            }
            mesh.simulator.run(50);
        }
        mesh.simulator.run(1500);
    }

    static Stream<Arguments> phases() {
        return IntStream.rangeClosed(0, 4)
                .boxed()
                .flatMap(p -> IntStream.range(0, 16).mapToObj(s -> Arguments.of(p, 300L + s)));
    }

    /**
     * A leader is lost while one of its phases is still in the net; it arrives while its successor's commit is under
     * way. All proxies take that commit through its phases.
     */
    @ParameterizedTest
    @MethodSource("phases")
    void latePhaseOfOldLeaderDoesNotDisturbSuccessor(int phase, long seed) {
        SimulatedMesh mesh = newMesh(seed, 3, 6);
        Random random = mesh.simulator.random;
        String oldLeader = leaderPeer(mesh);
        List<Runnable> delayed = delayPhase(mesh, oldLeader, phase, 7);
        String away = SimulatedMesh.sidecarPeer(random.nextInt(6));
        // A candidate is taken back only where somebody is silent.
        mesh.simulator.setIsolated(away, phase == 0);
        mesh.submitToLeader(SimulatedMesh.change(7, 5, "lost"), o -> {});
        for (int i = 0; i < 2000 && delayed.isEmpty(); i++) {
            mesh.simulator.run(1);
        }
        assertFalse(delayed.isEmpty());
        mesh.simulator.run(3);
        mesh.killController(oldLeader, true);
        mesh.simulator.interceptor = (from, to, kind, m, deliver) -> false;
        mesh.simulator.setIsolated(away, false);
        awaitStable(mesh);
        long base = mesh.leader().replicatedState().current().epoch();
        assertEquals(phase < 2 ? 5 : 7, base);
        // A rival of the same number where that can be.
        long next = random.nextBoolean() ? base + 1 : Math.max(7, base + 1);
        assertCommits(mesh, next, base, delayed);
    }

    /**
     * The same leader's phase is late, as out of a frozen zone controller: it arrives in the next attempt or commit.
     */
    @ParameterizedTest
    @MethodSource("phases")
    void latePhaseOfEarlierCommitDoesNotDisturbNext(int phase, long seed) {
        SimulatedMesh mesh = newMesh(seed, 3, 6);
        List<Runnable> delayed = delayPhase(mesh, leaderPeer(mesh), phase, 7);
        String away = SimulatedMesh.sidecarPeer(mesh.simulator.random.nextInt(6));
        mesh.simulator.setIsolated(away, phase == 0);
        assertEquals(200, submit(mesh, 7, 5, "two").status());
        for (int i = 0; i < 2000 && delayed.isEmpty(); i++) {
            mesh.simulator.run(1);
        }
        assertFalse(delayed.isEmpty());
        mesh.simulator.interceptor = (from, to, kind, m, deliver) -> false;
        mesh.simulator.setIsolated(away, false);
        awaitStable(mesh);
        assertCommits(mesh, 8, 7, delayed);
    }

    /** Commits a change while messages of an earlier commit come in; nobody stays unconfirmed, nobody goes back. */
    private static void assertCommits(SimulatedMesh mesh, long epoch, long base, List<Runnable> delayedMessages) {
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        mesh.submitToLeader(SimulatedMesh.change(epoch, base, "won"), o -> outcome[0] = o);
        Random r = mesh.simulator.random;
        long delayMs = mesh.simulator.random.nextInt(60);
        delayedMessages.forEach(m -> mesh.simulator.scheduleEvent(delayMs + r.nextInt(4), m));
        mesh.simulator.run(1500);
        assertEquals(200, outcome[0].status(), outcome[0].message());
        assertEquals(Set.of(), mesh.leader().commitCoordinator().unconfirmed(), "late from " + delayMs);
        mesh.sidecars.forEach((peer, proxy) -> {
            assertEquals(epoch, proxy.shadowCommit.epoch(), peer);
            assertNotNull(proxy.shadowCommit.realConfiguration().route("x.example", "/won/"), peer);
            assertFalse(proxy.shadowCommit.isTagging(), peer);
        });
    }

    /** In one term too: a candidate of one try is not taken back by the phase 0 of an earlier one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void endOfOneAttemptDoesNotEndNext(long seed) {
        SimulatedMesh mesh = newMesh(seed, 3, 6);
        List<Runnable> delayed = delayPhase(mesh, leaderPeer(mesh), 0, 7);
        String away = SimulatedMesh.sidecarPeer(mesh.simulator.random.nextInt(6));
        mesh.simulator.setIsolated(away, true);
        mesh.submitToLeader(SimulatedMesh.change(7, 5, "two"), o -> {});
        for (int i = 0; i < 2000 && delayed.isEmpty(); i++) {
            mesh.simulator.run(1);
        }
        // The second try begins once the end of the first has been waited for.
        int[] secondAttemptMessages = new int[1];
        var sent = delayed;
        mesh.simulator.interceptor = (from, to, kind, message, deliver) -> {
            if (kind.equals("phase") && message.path("phase").asInt() == 1 && secondAttemptMessages[0]++ == 0) {
                sent.forEach(k -> mesh.simulator.scheduleEvent(4 + mesh.simulator.random.nextInt(4), k));
            }
            return false;
        };
        mesh.simulator.run(3000);
        assertTrue(secondAttemptMessages[0] > 0);
        assertEquals(
                Set.of(status(mesh, away).path("node").asText()),
                mesh.leader().commitCoordinator().unconfirmed());
    }

    /**
     * A controller has been partitioned from all others while more was decided; now proxies, as they start, reach it
     * again, some of them before any other controller. They reach the other controllers too, and none is ready with
     * an old version.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void proxyStartingAtStaleControllerIsNotReadyWithOldVersion(long seed) {
        SimulatedMesh mesh = newMesh(seed, seed % 2 == 0 ? 4 : 3, 8);
        Random random = mesh.simulator.random;
        String partitionedPeer = SimulatedMesh.controllerPeer(random.nextInt(3));
        mesh.simulator.setIsolated(partitionedPeer, true);
        mesh.simulator.run(QUIET_MS / 2 + random.nextInt(QUIET_MS));
        assertEquals(200, submit(mesh, 6, 5, "two").status());
        boolean[] isAcknowledged = new boolean[1];
        mesh.leader().evacuate("b", true, a -> isAcknowledged[0] = a == EvacuationOutcome.COMMITTED);
        mesh.simulator.run(QUIET_MS * 6);
        assertTrue(isAcknowledged[0]);
        // Controllers with contact to the leader are slower to send their gossip than the one without.
        mesh.simulator.interceptor = (from, to, kind, message, deliver) -> {
            boolean isDelayed = seed > 8
                    && kind.equals("digest")
                    && !to.equals(partitionedPeer)
                    && mesh.controllers.containsKey(to);
            if (isDelayed) {
                mesh.simulator.scheduleEvent(50 + random.nextInt(150), deliver);
            }
            return isDelayed;
        };
        List<String> violations = new ArrayList<>();
        int partitionedSessions = 0;
        for (String peer : List.copyOf(mesh.sidecars.keySet())) {
            mesh.killSidecar(peer);
            mesh.simulator.setLinkCut(partitionedPeer, peer, false);
            mesh.simulator.setLinkCut(peer, partitionedPeer, false);
            mesh.simulator.run(random.nextInt(1000));
            mesh.startSidecar(peer);
            DataPlaneNode proxy = mesh.sidecars.get(peer);
            boolean[] hadSession = new boolean[1];
            mesh.simulator.afterEach = () -> {
                hadSession[0] |= proxy.hasSession() && proxy.controller().equals(partitionedPeer);
                if (proxy.isReady() && (proxy.shadowCommit.epoch() < 6 || !proxy.endpointDirectory.isEvacuated("b"))) {
                    violations.add(peer + " ready with " + proxy.shadowCommit.epoch() + ", evacuated "
                            + proxy.endpointDirectory.isEvacuated("b") + " at " + mesh.simulator.nowMs());
                }
            };
            mesh.simulator.run(QUIET_MS);
            assertTrue(proxy.isReady(), peer);
            partitionedSessions += hadSession[0] ? 1 : 0;
            mesh.simulator.setLinkCut(partitionedPeer, peer, true);
            mesh.simulator.setLinkCut(peer, partitionedPeer, true);
        }
        assertEquals(
                List.of(),
                violations.stream().limit(2).toList(),
                violations.size() + " times, at the controller " + partitionedSessions);
        assertTrue(partitionedSessions > 0);
    }

    /**
     * It starts at any time around the cut, also while the controller does not know of it yet: it is behind for a
     * bounded time.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void proxyStartingDuringPartitionIsCurrentWithinBound(long seed) {
        SimulatedMesh mesh = newMesh(seed, 4, 8);
        Random random = mesh.simulator.random;
        String partitionedPeer = mesh.controllers.keySet().stream()
                .filter(controller -> seed % 2 == 0 || !controller.equals(leaderPeer(mesh)))
                .findFirst()
                .orElseThrow();
        int index = Integer.parseInt(
                        partitionedPeer.substring(partitionedPeer.lastIndexOf('.') + 1, partitionedPeer.indexOf(':')))
                - 1;
        String peer = SimulatedMesh.sidecarPeer(index);
        mesh.simulator.setIsolated(partitionedPeer, true);
        mesh.killSidecar(peer);
        mesh.simulator.setLinkCut(partitionedPeer, peer, false);
        mesh.simulator.setLinkCut(peer, partitionedPeer, false);
        long[] decidedAtMs = {Long.MAX_VALUE};
        mesh.submitToLeader(SimulatedMesh.change(6, 5, "two"), outcome -> {
            if (outcome.status() == 200) {
                decidedAtMs[0] = mesh.simulator.nowMs();
            }
        });
        mesh.simulator.run(random.nextInt(900));
        mesh.startSidecar(peer);
        DataPlaneNode proxy = mesh.sidecars.get(peer);
        long startedMs = mesh.simulator.nowMs();
        for (int n = 0; n < 200 && proxy.shadowCommit.epoch() < 6; n++) {
            mesh.simulator.run(50);
            if (n % 10 == 0 && decidedAtMs[0] == Long.MAX_VALUE) {
                mesh.controllers.forEach((controllerPeer, controller) -> {
                    if (controller.raft().isLeader() && !controllerPeer.equals(partitionedPeer)) {
                        controller.submitChange(SimulatedMesh.change(6, 5, "two"), outcome -> {
                            if (outcome.status() == 200) {
                                decidedAtMs[0] = Math.min(decidedAtMs[0], mesh.simulator.nowMs());
                            }
                        });
                    }
                });
            }
        }
        assertEquals(6, proxy.shadowCommit.epoch());
        long behindMs = mesh.simulator.nowMs() - Math.max(startedMs, decidedAtMs[0]);
        assertTrue(behindMs <= QUIET_MS * 2 / 3, "behind for " + behindMs);
    }

    /**
     * A proxy that has seen a term that nobody here has led in rejects the present leader, and so causes a higher
     * term.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void proxyWithHigherTermIsNeverStuck(long seed) {
        SimulatedMesh mesh = newMesh(seed, 3, 6);
        String peer = SimulatedMesh.sidecarPeer(mesh.simulator.random.nextInt(6));
        long higherTerm = mesh.leader().raft().currentTerm() + 50;
        call(
                mesh,
                peer,
                "phase",
                JsonNodeFactory.instance
                        .objectNode()
                        .put("phase", 4)
                        .put("term", higherTerm)
                        .put("round", 9)
                        .put("new", 1));
        assertEquals(higherTerm, status(mesh, peer).path("term").asLong());
        assertEquals(200, submit(mesh, 6, 5, "two").status());
        awaitStable(mesh);
        assertTrue(
                mesh.leader().raft().currentTerm() > higherTerm,
                mesh.leader().raft().currentTerm() + " leads, " + higherTerm + " was known");
        long base = mesh.leader().replicatedState().current().epoch();
        assertCommits(mesh, base + 1, base, List.of());
    }

    /** A lower term is rejected by zone controllers and proxies alike, and the answer names the higher one. */
    @Test
    void messageOfLowerTermIsRejectedWithHigherTerm() {
        SimulatedMesh mesh = newMesh(3, 3, 6);
        long term = mesh.leader().raft().currentTerm();
        mesh.killController(leaderPeer(mesh), true);
        mesh.simulator.run(5000);
        long currentTerm = mesh.leader().raft().currentTerm();
        assertTrue(currentTerm > term);
        ObjectNode message = JsonNodeFactory.instance
                .objectNode()
                .put("phase", 1)
                .put("term", term)
                .put("round", 1000)
                .put("old", 5)
                .put("new", 6)
                .put("within", 200)
                .put("doc", document(6, "late").compressedDocument());
        ArrayNode proxies = message.putArray("wefts");
        mesh.sidecars.forEach(
                (peer, proxy) -> proxies.add(status(mesh, peer).path("node").asText()));
        int[] forwardedCount = new int[1];
        mesh.simulator.interceptor = (from, to, kind, body, deliver) -> {
            forwardedCount[0] += kind.equals("phase") ? 1 : 0;
            return false;
        };
        for (String controllerPeer : mesh.controllers.keySet()) {
            JsonNode answer = call(mesh, controllerPeer, "cell", message);
            assertEquals(currentTerm, answer.path("term").asLong(), controllerPeer);
            assertTrue(answer.path("ok").isEmpty(), controllerPeer);
        }
        assertEquals(0, forwardedCount[0], "zone controllers forward it to nobody");
        mesh.sidecars.forEach((peer, proxy) -> {
            JsonNode answer = call(mesh, peer, "phase", message);
            assertFalse(answer.path("ok").asBoolean(), peer);
            assertEquals(currentTerm, answer.path("term").asLong(), peer);
            assertTrue(
                    proxy.shadowCommit.shadowConfiguration() == null
                            || proxy.shadowCommit.shadowConfiguration().epoch() != 6,
                    peer + " has the late candidate");
        });
    }

    private static RoutingConfiguration document(long epoch, String prefix) {
        try {
            String text = SimulatedMesh.document(epoch, 5, prefix);
            return RoutingConfigurationParser.parseCompressed(CompressedDocument.compress(text));
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Whatever fails, a proxy knows no term but of somebody who has led in it, and once the controllers are together
     * again who leads does so in no lower one: also after all have lost power.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noLeaderHasLowerTermThanAProxyKnows(long seed) {
        SimulatedMesh mesh = newMesh(seed, seed % 2 == 0 ? 4 : 3, 5);
        Random random = mesh.simulator.random;
        int controllerCount = mesh.controllers.size();
        long[] highestTermLed = new long[1];
        List<String> violations = new ArrayList<>();
        mesh.simulator.afterEach = () -> {
            mesh.controllers
                    .values()
                    .forEach(h -> highestTermLed[0] = Math.max(
                            highestTermLed[0],
                            h.raft().localId().equals(h.raft().leaderId())
                                    ? h.raft().currentTerm()
                                    : 0));
            mesh.sidecars.keySet().forEach(sidecarPeer -> {
                long known = status(mesh, sidecarPeer).path("term").asLong();
                if (known > highestTermLed[0]) {
                    violations.add(sidecarPeer + " knows " + known + ", led was " + highestTermLed[0]);
                }
            });
        };
        for (int round = 0; round < 12; round++) {
            ControllerNode leader = mesh.leader();
            long base = leader.replicatedState().current().epoch();
            mesh.submitToLeader(SimulatedMesh.change(base + 1, base, "p" + round), o -> {});
            mesh.simulator.run(random.nextInt(200));
            String peer = random.nextBoolean()
                    ? leaderPeer(mesh)
                    : SimulatedMesh.controllerPeer(random.nextInt(controllerCount));
            switch (random.nextInt(4)) {
                case 0 -> {
                    List<String> all = List.copyOf(mesh.controllers.keySet());
                    all.forEach(h -> mesh.killController(h, true));
                    mesh.simulator.run(random.nextInt(1000));
                    all.forEach(h -> mesh.startController(h, false));
                }
                case 1 -> {
                    mesh.killController(peer, true);
                    mesh.simulator.machine(peer).disk.wipe();
                    mesh.simulator.run(200 + random.nextInt(1000));
                    mesh.startController(peer, false);
                    mesh.simulator.run(8000);
                }
                case 2 -> {
                    mesh.simulator.setIsolated(peer, true);
                    mesh.simulator.run(random.nextInt(4000));
                    mesh.simulator.setIsolated(peer, false);
                }
                default -> mesh.simulator.machine(peer).freeze(random.nextInt(3000));
            }
            mesh.simulator.run(6000);
            assertEquals(List.of(), violations.stream().limit(3).toList(), "round " + round);
            assertNotNull(mesh.leader(), "round " + round);
            long term = mesh.leader().raft().currentTerm();
            mesh.sidecars
                    .keySet()
                    .forEach(sidecarPeer ->
                            assertTrue(status(mesh, sidecarPeer).path("term").asLong() <= term, sidecarPeer));
            awaitStable(mesh);
            assertCommits(
                    mesh,
                    mesh.leader().replicatedState().current().epoch() + 1,
                    mesh.leader().replicatedState().current().epoch(),
                    List.of());
        }
    }

    /**
     * A zone controller freezes with a message received or in flight, for less or more than an election takes, and
     * resumes.
     */
    @ParameterizedTest
    @MethodSource("phases")
    void resumedZoneControllerActivatesNothingStale(int phase, long seed) {
        SimulatedMesh mesh = newMesh(seed, 3, 6);
        Random random = mesh.simulator.random;
        Map<DataPlaneNode, Long> highest = new IdentityHashMap<>();
        Map<Long, String> inForce = new HashMap<>();
        List<String> violations = new ArrayList<>();
        mesh.simulator.afterEach = () -> mesh.sidecars.forEach((peer, proxy) -> {
            long version = proxy.shadowCommit.epoch();
            if (version < highest.getOrDefault(proxy, 0L)
                    || !proxy.shadowCommit
                            .realConfiguration()
                            .stamp()
                            .equals(inForce.computeIfAbsent(
                                    version,
                                    k -> proxy.shadowCommit.realConfiguration().stamp()))) {
                violations.add(peer + " has " + version + " of "
                        + proxy.shadowCommit.realConfiguration().stamp());
            }
            highest.put(proxy, version);
        });
        String oldLeader = leaderPeer(mesh);
        String zoneController = mesh.controllers.keySet().stream()
                .filter(h -> !h.equals(oldLeader))
                .findFirst()
                .orElseThrow();
        String away = SimulatedMesh.sidecarPeer(random.nextInt(6));
        mesh.simulator.setIsolated(away, phase == 0);
        int[] frozenCount = new int[1];
        mesh.simulator.interceptor = (from, to, kind, message, deliver) -> {
            if (kind.equals("cell")
                    && to.equals(zoneController)
                    && message.path("phase").asInt() == phase
                    && frozenCount[0]++ == 0) {
                mesh.simulator.machine(zoneController).freeze(200 + random.nextInt(2500));
            }
            return false;
        };
        mesh.submitToLeader(SimulatedMesh.change(7, 5, "lost"), o -> {});
        for (int i = 0; i < 2000 && frozenCount[0] == 0; i++) {
            mesh.simulator.run(1);
        }
        assertTrue(frozenCount[0] > 0);
        mesh.simulator.run(random.nextInt(100));
        if (random.nextBoolean()) {
            mesh.killController(oldLeader, true);
            mesh.startController(oldLeader, false);
        }
        mesh.simulator.setIsolated(away, false);
        for (int i = 0; i < 60 && mesh.leader() == null; i++) {
            mesh.simulator.run(50);
        }
        long base = mesh.leader().replicatedState().current().epoch();
        mesh.submitToLeader(SimulatedMesh.change(8, base, "won"), o -> {});
        mesh.simulator.run(4000);
        awaitStable(mesh);
        assertEquals(List.of(), violations);
        long currentVersion = mesh.leader().replicatedState().current().epoch();
        mesh.sidecars.forEach((peer, proxy) -> assertEquals(currentVersion, proxy.shadowCommit.epoch(), peer));
        assertCommits(mesh, currentVersion + 1, currentVersion, List.of());
    }

    /** What a partitioned zone sends when it is back is old, and replaces nothing newer. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void staleGossipOfPartitionedControllerReplacesNothingNewer(long seed) {
        SimulatedMesh mesh = newMesh(seed, 4, 8);
        Random random = mesh.simulator.random;
        boolean[] isAcknowledged = new boolean[2];
        mesh.leader().evacuate("b", true, a -> isAcknowledged[0] = a == EvacuationOutcome.COMMITTED);
        mesh.simulator.run(1000);
        String partitionedPeer =
                random.nextBoolean() ? leaderPeer(mesh) : SimulatedMesh.controllerPeer(random.nextInt(4));
        List<String> partitionedSidecars = mesh.sidecars.keySet().stream()
                .filter(peer -> random.nextInt(3) == 0)
                .toList();
        mesh.simulator.setIsolated(partitionedPeer, true);
        partitionedSidecars.forEach(peer -> mesh.simulator.setIsolated(peer, true));
        partitionedSidecars.forEach(peer -> {
            mesh.simulator.setLinkCut(partitionedPeer, peer, false);
            mesh.simulator.setLinkCut(peer, partitionedPeer, false);
        });
        mesh.simulator.run(QUIET_MS);
        assertEquals(200, submit(mesh, 6, 5, "two").status());
        mesh.leader().evacuate("b", false, a -> isAcknowledged[1] = a == EvacuationOutcome.COMMITTED);
        mesh.simulator.run(QUIET_MS);
        assertTrue(isAcknowledged[0] && isAcknowledged[1]);
        List<String> violations = new ArrayList<>();
        mesh.simulator.afterEach = () -> mesh.sidecars.forEach((peer, proxy) -> {
            if (!partitionedSidecars.contains(peer)
                    && (proxy.shadowCommit.epoch() < 6
                            || proxy.endpointDirectory.isEvacuated("b")
                            || proxy.gossip.get("order").incarnation() < 6)) {
                violations.add(peer + " has " + proxy.shadowCommit.epoch() + ", evacuated "
                        + proxy.endpointDirectory.isEvacuated("b"));
            }
        });
        mesh.simulator.setIsolated(partitionedPeer, false);
        partitionedSidecars.forEach(peer -> mesh.simulator.setIsolated(peer, false));
        mesh.simulator.run(QUIET_MS);
        assertEquals(List.of(), violations);
        mesh.sidecars.forEach((peer, proxy) ->
                assertTrue(proxy.shadowCommit.epoch() == 6 && !proxy.endpointDirectory.isEvacuated("b"), peer));
    }

    /** A document is asked for by number and stamp: who has another one of that number has nothing to give. */
    @Test
    void documentIsIdentifiedByVersionAndStamp() {
        SimulatedMesh mesh = newMesh(4, 3, 4);
        String stamp = mesh.sidecars
                .get(SimulatedMesh.sidecarPeer(0))
                .shadowCommit
                .realConfiguration()
                .stamp();
        ObjectNode matching =
                JsonNodeFactory.instance.objectNode().put("epoch", 5).put("stamp", stamp);
        ObjectNode rival = JsonNodeFactory.instance
                .objectNode()
                .put("epoch", 5)
                .put("stamp", document(5, "rival").stamp());
        for (String peer : List.of(SimulatedMesh.controllerPeer(0), SimulatedMesh.sidecarPeer(0))) {
            assertTrue(call(mesh, peer, "doc", matching).path("doc").isTextual(), peer);
            assertFalse(call(mesh, peer, "doc", rival) instanceof ObjectNode, peer);
        }
    }

    /** Whoever answers with another document than the one asked for is not believed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void rivalDocumentIsRejected(long seed) {
        SimulatedMesh mesh = newMesh(seed, 3, 4);
        String away = SimulatedMesh.sidecarPeer(1);
        mesh.simulator.setIsolated(away, true);
        assertEquals(200, submit(mesh, 6, 5, "two").status());
        mesh.simulator.run(1500);
        int[] askedCount = new int[1];
        Map<String, PeerTransport.RequestHandler> services = new HashMap<>(mesh.controllers);
        mesh.sidecars.forEach((peer, w) -> services.put(peer, w));
        services.forEach((peer, service) -> mesh.simulator.machine(peer).serve((kind, message, answer) -> {
            if (kind.equals("doc")) {
                askedCount[0]++;
                answer.accept(JsonNodeFactory.instance
                        .objectNode()
                        .put("doc", document(6, "rival").compressedDocument()));
            } else {
                service.handleRequest(kind, message, answer);
            }
        }));
        mesh.simulator.setIsolated(away, false);
        mesh.simulator.run(2000);
        assertTrue(askedCount[0] > 0);
        assertEquals(5, mesh.sidecars.get(away).shadowCommit.epoch(), "no rival of the number wanted");
        services.forEach((peer, service) -> mesh.simulator.machine(peer).serve(service));
        mesh.simulator.run(3000);
        assertNotNull(mesh.sidecars.get(away).shadowCommit.realConfiguration().route("x.example", "/two/"));
    }

    /** Without controllers a proxy that starts serves what the others know, and logs that nobody could confirm it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void proxyStartedWithoutControllersServesAndIsConfirmedOnTheirReturn(long seed) {
        SimulatedMesh mesh = newMesh(seed, 3, 6);
        List<String> controllerPeers = List.copyOf(mesh.controllers.keySet());
        // Gone, or cut off: then nothing answers.
        boolean isKilled = seed % 2 == 0;
        controllerPeers.forEach(controllerPeer -> {
            if (isKilled) {
                mesh.killController(controllerPeer, true);
            } else {
                mesh.simulator.setIsolated(controllerPeer, true);
            }
        });
        String peer = SimulatedMesh.sidecarPeer(mesh.simulator.random.nextInt(6));
        mesh.killSidecar(peer);
        mesh.simulator.run(QUIET_MS);
        mesh.startSidecar(peer);
        DataPlaneNode proxy = mesh.sidecars.get(peer);
        for (int i = 0; i < 2 * QUIET_MS && proxy.shadowCommit.epoch() < 5; i += 10) {
            mesh.simulator.run(10);
        }
        assertEquals(5, proxy.shadowCommit.epoch());
        mesh.simulator.run(QUIET_MS / 10);
        assertTrue(proxy.isReady(), "ready as soon as it has what the others know");
        assertFalse(status(mesh, peer).path("confirmed").asBoolean());
        controllerPeers.forEach(controllerPeer -> {
            if (isKilled) {
                mesh.startController(controllerPeer, false);
            } else {
                mesh.simulator.setIsolated(controllerPeer, false);
            }
        });
        mesh.simulator.run(QUIET_MS * 2);
        assertTrue(proxy.isReady() && status(mesh, peer).path("confirmed").asBoolean());
    }

    /** A quiet fleet says nothing more for all this: nobody asks anew who is in touch, and no documents travel. */
    @Test
    void idleMeshSendsNoExtraMessages() {
        SimulatedMesh mesh = newMesh(5, 3, 12);
        mesh.simulator.trafficByKind = new TreeMap<>();
        mesh.simulator.run(20_000);
        Set<String> kinds = mesh.simulator.trafficByKind.keySet();
        assertTrue(Set.of("append", "session", "digest", "news").containsAll(kinds), kinds.toString());
    }

    /** The message by which an owner requests a higher fencing token is lost: it asks again, and reports go on. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void lostRequestForHigherFencingTokenIsRetried(long seed) {
        SimulatedPlatform platform = new SimulatedPlatform();
        SimulatedMesh mesh = SimulatedMesh.withUsageReports(seed, 4, 4, platform);
        mesh.simulator.run(30_000);
        long fencingToken =
                mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken();
        int[] lostCount = new int[1];
        mesh.simulator.interceptor = (from, to, kind, m, deliver) -> kind.equals("raise") && lostCount[0]++ == 0;
        platform.statusOverride = () ->
                mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken() == fencingToken
                        ? 409
                        : null;
        mesh.simulator.run(30_000);
        assertTrue(platform.receivedReports.stream().anyMatch(c -> c.code() == 409));
        assertTrue(
                mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken() > fencingToken,
                "a higher fencing token, " + lostCount[0] + " requests for it");
    }

    /**
     * Guards against an acknowledged change being lost to a refused one of the same number (CONFIG): a leader stands
     * still with its candidate stored, its successor commits another one, and then the first leads again.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void leaderThatLeadsAgainAmendsTheCommittedVersion(long seed) {
        SimulatedMesh mesh = newMesh(seed, 3, 4);
        String firstLeader = leaderPeer(mesh);
        ControllerNode first = mesh.leader();
        mesh.simulator.setIsolated(SimulatedMesh.sidecarPeer(3), true);
        mesh.submitToLeader(SimulatedMesh.change(7, 5, "refused"), o -> {});
        for (int i = 0; i < 2000 && first.replicatedState().candidate() == null; i++) {
            mesh.simulator.run(1);
        }
        assertNotNull(first.replicatedState().candidate());
        mesh.simulator.setIsolated(firstLeader, true);
        mesh.simulator.run(4000);
        mesh.simulator.setIsolated(SimulatedMesh.sidecarPeer(3), false);
        assertEquals(200, submit(mesh, 7, 5, "taken").status());
        mesh.simulator.setIsolated(firstLeader, false);
        awaitStable(mesh);
        for (int i = 0; i < 20 && mesh.leader() != first; i++) {
            String other = leaderPeer(mesh);
            mesh.simulator.setIsolated(other, true);
            mesh.simulator.run(3000);
            mesh.simulator.setIsolated(other, false);
            awaitStable(mesh);
        }
        assertEquals(firstLeader, leaderPeer(mesh));
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        mesh.submitToLeader(SimulatedMesh.amendment(8, 7, "added"), o -> outcome[0] = o);
        mesh.simulator.run(2000);
        assertEquals(200, outcome[0].status());
        RoutingConfiguration current =
                mesh.sidecars.get(SimulatedMesh.sidecarPeer(0)).shadowCommit.realConfiguration();
        assertEquals(8, current.epoch());
        assertNotNull(current.route("x.example", "/taken/1"), "the acknowledged change");
        assertNotNull(current.route("x.example", "/added/1"));
        assertNull(current.route("x.example", "/refused/1"), "the refused change");
    }

    /**
     * A leader that sees a higher term while its own commit is under way sends no further phase, in whichever one it
     * was.
     */
    @ParameterizedTest
    @MethodSource("phases")
    void deposedLeaderSendsNoFurtherPhase(int phase, long seed) {
        SimulatedMesh mesh = newMesh(seed, 3, 6);
        Random random = mesh.simulator.random;
        String oldLeader = leaderPeer(mesh);
        ControllerNode deposed = mesh.leader();
        mesh.simulator.setIsolated(SimulatedMesh.sidecarPeer(random.nextInt(6)), phase == 0);
        int[] sentCount = new int[1];
        List<String> violations = new ArrayList<>();
        mesh.simulator.interceptor = (from, to, kind, message, deliver) -> {
            if (from.equals(oldLeader) && kind.equals("cell")) {
                sentCount[0] += message.path("phase").asInt() == phase ? 1 : 0;
                if (!deposed.raft().isLeader()) {
                    violations.add("phase " + message.path("phase").asInt() + " in term "
                            + message.path("term").asLong());
                }
            }
            return false;
        };
        mesh.submitToLeader(SimulatedMesh.change(7, 5, "two"), o -> {});
        for (int i = 0; i < 2000 && sentCount[0] == 0; i++) {
            mesh.simulator.run(1);
        }
        assertTrue(sentCount[0] > 0);
        mesh.simulator.run(random.nextInt(phase == 0 ? 100 : 10));
        deposed.raft().observeTerm(deposed.raft().currentTerm() + 1);
        assertFalse(deposed.raft().isLeader());
        mesh.simulator.run(400);
        assertEquals(List.of(), violations);
    }

    /** A request for a higher fencing token counts in the leader's own term only. */
    @Test
    void requestForHigherFencingTokenCountsOnlyInItsTerm() {
        SimulatedMesh mesh = SimulatedMesh.withUsageReports(1, 4, 4, new SimulatedPlatform());
        mesh.simulator.run(20_000);
        long fencingToken =
                mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken();
        long term = mesh.leader().raft().currentTerm();
        ObjectNode message =
                JsonNodeFactory.instance.objectNode().put("key", "usage").put("fence", fencingToken);
        assertEquals(
                term,
                call(mesh, leaderPeer(mesh), "raise", message.put("term", term - 1))
                        .path("term")
                        .asLong());
        mesh.simulator.run(1000);
        assertEquals(
                fencingToken,
                mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken());
        call(mesh, leaderPeer(mesh), "raise", message.put("term", term));
        mesh.simulator.run(1000);
        assertTrue(mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken() > fencingToken);
    }
}
