package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.RaftNode;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimPlatform;
import bramblespool.state.CompressedDocument;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
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

/** What a leader says counts in its own term, and what a helm out of touch says is not taken for the newest. */
class TermTest {
    private static final int QUIET = 3000;

    private static OperatorRequest.Result order(SimMesh mesh, long epoch, long base, String prefix) {
        OperatorRequest.Result[] got = new OperatorRequest.Result[1];
        for (int i = 0; i < 100 && (got[0] == null || got[0].status() == 503); i++) {
            if (i % 20 == 0) {
                mesh.order(SimMesh.change(epoch, base, prefix), o -> got[0] = o);
            }
            mesh.world.run(50);
        }
        return got[0];
    }

    private static SimMesh mesh(long seed, int helms, int sides) {
        SimMesh mesh = new SimMesh(seed, helms, sides);
        mesh.world.run(6000);
        assertEquals(200, order(mesh, 5, 0, "one").status());
        mesh.world.run(1000);
        return mesh;
    }

    private static String leader(SimMesh mesh) {
        return RaftNode.addressOf(mesh.leader().raft.localId());
    }

    private static JsonNode ask(SimMesh mesh, String peer, String kind, ObjectNode m) {
        JsonNode[] got = new JsonNode[1];
        var asker = mesh.world.machine("10.0.9.9:7000");
        if (!asker.up()) {
            asker.boot();
        }
        asker.call(peer, kind, m, 300, a -> got[0] = a);
        mesh.world.run(300);
        return got[0];
    }

    private static JsonNode status(SimMesh mesh, String peer) {
        JsonNode[] got = new JsonNode[1];
        mesh.wefts.get(peer).handleRequest("status", JsonNodeFactory.instance.objectNode(), a -> got[0] = a);
        return got[0];
    }

    /** Keeps back what this leader says to cells, and to its own sides, of one phase. */
    private static List<Runnable> late(SimMesh mesh, String leader, int phase, long epoch) {
        List<Runnable> kept = new ArrayList<>();
        mesh.world.keeper = (from, to, kind, m, deliver) -> {
            boolean says = from.equals(leader) && (kind.equals("cell") || kind.equals("phase"));
            return says && m.path("phase").asInt() == phase && m.path("new").asLong() == epoch && kept.add(deliver);
        };
        return kept;
    }

    private static void settle(SimMesh mesh) {
        for (int i = 0; i < 400; i++) {
            ControllerNode l = mesh.leader();
            if (l != null
                    && l.replicatedState().candidate() == null
                    && l.replicatedState().phase() == ReplicatedState.Phase.MARKED
                    && mesh.wefts.values().stream().allMatch(DataPlaneNode::hasSession)) {
                break;
            }
            mesh.world.run(50);
        }
        mesh.world.run(1500);
    }

    static Stream<Arguments> phases() {
        return IntStream.rangeClosed(0, 4)
                .boxed()
                .flatMap(p -> IntStream.range(0, 16).mapToObj(s -> Arguments.of(p, 300L + s)));
    }

    /**
     * A leader is lost while one of its phases is still in the net; it arrives while its successor's commit is under way.
     * All sides take that commit through its phases.
     */
    @ParameterizedTest
    @MethodSource("phases")
    void aLatePhaseOfAnOldLeaderTakesNothingFromItsSuccessor(int phase, long seed) {
        SimMesh mesh = mesh(seed, 3, 6);
        Random r = mesh.world.random;
        String old = leader(mesh);
        List<Runnable> kept = late(mesh, old, phase, 7);
        String away = SimMesh.weftPeer(r.nextInt(6));
        // A candidate is taken back only where somebody is silent.
        mesh.world.isolate(away, phase == 0);
        mesh.order(SimMesh.change(7, 5, "lost"), o -> {});
        for (int i = 0; i < 2000 && kept.isEmpty(); i++) {
            mesh.world.run(1);
        }
        assertFalse(kept.isEmpty());
        mesh.world.run(3);
        mesh.killHelm(old, true);
        mesh.world.keeper = (from, to, kind, m, deliver) -> false;
        mesh.world.isolate(away, false);
        settle(mesh);
        long base = mesh.leader().replicatedState().current().epoch();
        assertEquals(phase < 2 ? 5 : 7, base);
        // A rival of the same number where that can be.
        long next = r.nextBoolean() ? base + 1 : Math.max(7, base + 1);
        commits(mesh, next, base, kept);
    }

    /** The same leader's phase is late, as out of a cell that was frozen: it arrives in the next try or the next commit. */
    @ParameterizedTest
    @MethodSource("phases")
    void aLatePhaseOfAnEarlierCommitTakesNothingFromTheNext(int phase, long seed) {
        SimMesh mesh = mesh(seed, 3, 6);
        List<Runnable> kept = late(mesh, leader(mesh), phase, 7);
        String away = SimMesh.weftPeer(mesh.world.random.nextInt(6));
        mesh.world.isolate(away, phase == 0);
        assertEquals(200, order(mesh, 7, 5, "two").status());
        for (int i = 0; i < 2000 && kept.isEmpty(); i++) {
            mesh.world.run(1);
        }
        assertFalse(kept.isEmpty());
        mesh.world.keeper = (from, to, kind, m, deliver) -> false;
        mesh.world.isolate(away, false);
        settle(mesh);
        commits(mesh, 8, 7, kept);
    }

    /** Commits a change while messages of an earlier commit come in; nobody stays unconfirmed, nobody goes back. */
    private static void commits(SimMesh mesh, long epoch, long base, List<Runnable> late) {
        OperatorRequest.Result[] got = new OperatorRequest.Result[1];
        mesh.order(SimMesh.change(epoch, base, "won"), o -> got[0] = o);
        Random r = mesh.world.random;
        long from = mesh.world.random.nextInt(60);
        late.forEach(m -> mesh.world.at(from + r.nextInt(4), m));
        mesh.world.run(1500);
        assertEquals(200, got[0].status(), got[0].message());
        assertEquals(Set.of(), mesh.leader().commitCoordinator.unconfirmed(), "late from " + from);
        mesh.wefts.forEach((p, w) -> {
            assertEquals(epoch, w.shadowCommit.epoch(), p);
            assertNotNull(w.shadowCommit.realConfiguration().route("x.example", "/won/"), p);
            assertFalse(w.shadowCommit.isTagging(), p);
        });
    }

    /** In one term too: a candidate of one try is not taken back by the phase 0 of an earlier one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theEndOfOneTryIsNotTheEndOfTheNext(long seed) {
        SimMesh mesh = mesh(seed, 3, 6);
        List<Runnable> kept = late(mesh, leader(mesh), 0, 7);
        String away = SimMesh.weftPeer(mesh.world.random.nextInt(6));
        mesh.world.isolate(away, true);
        mesh.order(SimMesh.change(7, 5, "two"), o -> {});
        for (int i = 0; i < 2000 && kept.isEmpty(); i++) {
            mesh.world.run(1);
        }
        // The second try begins once the end of the first has been waited for.
        int[] second = new int[1];
        var sent = kept;
        mesh.world.keeper = (from, to, kind, m, deliver) -> {
            if (kind.equals("phase") && m.path("phase").asInt() == 1 && second[0]++ == 0) {
                sent.forEach(k -> mesh.world.at(4 + mesh.world.random.nextInt(4), k));
            }
            return false;
        };
        mesh.world.run(3000);
        assertTrue(second[0] > 0);
        assertEquals(
                Set.of(status(mesh, away).path("node").asText()),
                mesh.leader().commitCoordinator.unconfirmed());
    }

    /**
     * A helm has been cut off from all others while more was decided; now sides, as they start, reach it again, some of them
     * before any other helm. They reach the other helms too, and none is ready with an old version.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void aSideThatStartsAtAHelmOutOfTouchIsNotReadyWithAnOldVersion(long seed) {
        SimMesh mesh = mesh(seed, seed % 2 == 0 ? 4 : 3, 8);
        Random r = mesh.world.random;
        String cut = SimMesh.helmPeer(r.nextInt(3));
        mesh.world.isolate(cut, true);
        mesh.world.run(QUIET / 2 + r.nextInt(QUIET));
        assertEquals(200, order(mesh, 6, 5, "two").status());
        boolean[] ok = new boolean[1];
        mesh.leader().evacuate("b", true, a -> ok[0] = a);
        mesh.world.run(QUIET * 6);
        assertTrue(ok[0]);
        // Helms in touch are slower to tell their news than the one that is not.
        mesh.world.keeper = (from, to, kind, m, deliver) -> {
            boolean late = seed > 8 && kind.equals("digest") && !to.equals(cut) && mesh.helms.containsKey(to);
            if (late) {
                mesh.world.at(50 + r.nextInt(150), deliver);
            }
            return late;
        };
        List<String> broken = new ArrayList<>();
        int atCut = 0;
        for (String peer : List.copyOf(mesh.wefts.keySet())) {
            mesh.killWeft(peer);
            mesh.world.cut(cut, peer, false);
            mesh.world.cut(peer, cut, false);
            mesh.world.run(r.nextInt(1000));
            mesh.startWeft(peer);
            DataPlaneNode w = mesh.wefts.get(peer);
            boolean[] there = new boolean[1];
            mesh.world.afterEach = () -> {
                there[0] |= w.hasSession() && w.controller().equals(cut);
                if (w.isReady() && (w.shadowCommit.epoch() < 6 || !w.endpointDirectory.isEvacuated("b"))) {
                    broken.add(peer + " ready with " + w.shadowCommit.epoch() + ", evacuated "
                            + w.endpointDirectory.isEvacuated("b") + " at " + mesh.world.now());
                }
            };
            mesh.world.run(QUIET);
            assertTrue(w.isReady(), peer);
            atCut += there[0] ? 1 : 0;
            mesh.world.cut(cut, peer, true);
            mesh.world.cut(peer, cut, true);
        }
        assertEquals(List.of(), broken.stream().limit(2).toList(), broken.size() + " times, at the helm " + atCut);
        assertTrue(atCut > 0);
    }

    /** It starts at any time around the cut, also while the helm does not know of it yet: it is behind for a bounded time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void aSideThatStartsAroundTheCutIsCurrentWithinQuiet(long seed) {
        SimMesh mesh = mesh(seed, 4, 8);
        Random r = mesh.world.random;
        String cut = mesh.helms.keySet().stream()
                .filter(h -> seed % 2 == 0 || !h.equals(leader(mesh)))
                .findFirst()
                .orElseThrow();
        int i = Integer.parseInt(cut.substring(cut.lastIndexOf('.') + 1, cut.indexOf(':'))) - 1;
        String peer = SimMesh.weftPeer(i);
        mesh.world.isolate(cut, true);
        mesh.killWeft(peer);
        mesh.world.cut(cut, peer, false);
        mesh.world.cut(peer, cut, false);
        long[] decided = {Long.MAX_VALUE};
        mesh.order(SimMesh.change(6, 5, "two"), o -> {
            if (o.status() == 200) {
                decided[0] = mesh.world.now();
            }
        });
        mesh.world.run(r.nextInt(900));
        mesh.startWeft(peer);
        DataPlaneNode w = mesh.wefts.get(peer);
        long started = mesh.world.now();
        for (int n = 0; n < 200 && w.shadowCommit.epoch() < 6; n++) {
            mesh.world.run(50);
            if (n % 10 == 0 && decided[0] == Long.MAX_VALUE) {
                mesh.helms.forEach((p, h) -> {
                    if (h.raft.isLeader() && !p.equals(cut)) {
                        h.submitChange(SimMesh.change(6, 5, "two"), o -> {
                            if (o.status() == 200) {
                                decided[0] = Math.min(decided[0], mesh.world.now());
                            }
                        });
                    }
                });
            }
        }
        assertEquals(6, w.shadowCommit.epoch());
        long behind = mesh.world.now() - Math.max(started, decided[0]);
        assertTrue(behind <= QUIET * 2 / 3, "behind for " + behind);
    }

    /** A side that has heard of a term that nobody here has led in refuses who leads now, and so leads to a higher term. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aSideWithAHigherTermIsNeverStuck(long seed) {
        SimMesh mesh = mesh(seed, 3, 6);
        String peer = SimMesh.weftPeer(mesh.world.random.nextInt(6));
        long high = mesh.leader().raft.currentTerm() + 50;
        ask(
                mesh,
                peer,
                "phase",
                JsonNodeFactory.instance
                        .objectNode()
                        .put("phase", 4)
                        .put("term", high)
                        .put("round", 9)
                        .put("new", 1));
        assertEquals(high, status(mesh, peer).path("term").asLong());
        assertEquals(200, order(mesh, 6, 5, "two").status());
        settle(mesh);
        assertTrue(
                mesh.leader().raft.currentTerm() > high,
                mesh.leader().raft.currentTerm() + " leads, " + high + " was known");
        long base = mesh.leader().replicatedState().current().epoch();
        commits(mesh, base + 1, base, List.of());
    }

    /** A lower term is refused by cells and sides alike, and the answer names the higher one. */
    @Test
    void whoSaysSomethingInALowerTermIsToldTheHigher() {
        SimMesh mesh = mesh(3, 3, 6);
        long term = mesh.leader().raft.currentTerm();
        mesh.killHelm(leader(mesh), true);
        mesh.world.run(5000);
        long now = mesh.leader().raft.currentTerm();
        assertTrue(now > term);
        ObjectNode m = JsonNodeFactory.instance
                .objectNode()
                .put("phase", 1)
                .put("term", term)
                .put("round", 1000)
                .put("old", 5)
                .put("new", 6)
                .put("within", 200)
                .put("doc", document(6, "late").compressedDocument);
        ArrayNode wefts = m.putArray("wefts");
        mesh.wefts.forEach((p, w) -> wefts.add(status(mesh, p).path("node").asText()));
        int[] handed = new int[1];
        mesh.world.keeper = (from, to, kind, x, deliver) -> {
            handed[0] += kind.equals("phase") ? 1 : 0;
            return false;
        };
        for (String h : mesh.helms.keySet()) {
            JsonNode a = ask(mesh, h, "cell", m);
            assertEquals(now, a.path("term").asLong(), h);
            assertTrue(a.path("ok").isEmpty(), h);
        }
        assertEquals(0, handed[0], "cells hand it to nobody");
        mesh.wefts.forEach((p, w) -> {
            JsonNode a = ask(mesh, p, "phase", m);
            assertFalse(a.path("ok").asBoolean(), p);
            assertEquals(now, a.path("term").asLong(), p);
            assertTrue(
                    w.shadowCommit.shadowConfiguration() == null || w.shadowCommit.shadowConfiguration().epoch != 6,
                    p + " has the late candidate");
        });
    }

    private static RoutingConfiguration document(long epoch, String prefix) {
        try {
            String text = SimMesh.document(epoch, 5, prefix);
            return RoutingConfiguration.compileCompressed(CompressedDocument.compress(text));
        } catch (RoutingConfiguration.InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Whatever fails, a side knows no term but of somebody who has led in it, and once the helms are together again who leads
     * does so in no lower one: also after all have lost power.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nothingLeadsBelowWhatASideKnows(long seed) {
        SimMesh mesh = mesh(seed, seed % 2 == 0 ? 4 : 3, 5);
        Random r = mesh.world.random;
        int helms = mesh.helms.size();
        long[] led = new long[1];
        List<String> broken = new ArrayList<>();
        mesh.world.afterEach = () -> {
            mesh.helms
                    .values()
                    .forEach(h -> led[0] =
                            Math.max(led[0], h.raft.localId().equals(h.raft.leaderId()) ? h.raft.currentTerm() : 0));
            mesh.wefts.keySet().forEach(p -> {
                long known = status(mesh, p).path("term").asLong();
                if (known > led[0]) {
                    broken.add(p + " knows " + known + ", led was " + led[0]);
                }
            });
        };
        for (int round = 0; round < 12; round++) {
            ControllerNode l = mesh.leader();
            long base = l.replicatedState().current().epoch();
            mesh.order(SimMesh.change(base + 1, base, "p" + round), o -> {});
            mesh.world.run(r.nextInt(200));
            String peer = r.nextBoolean() ? leader(mesh) : SimMesh.helmPeer(r.nextInt(helms));
            switch (r.nextInt(4)) {
                case 0 -> {
                    List<String> all = List.copyOf(mesh.helms.keySet());
                    all.forEach(h -> mesh.killHelm(h, true));
                    mesh.world.run(r.nextInt(1000));
                    all.forEach(h -> mesh.startHelm(h, false));
                }
                case 1 -> {
                    mesh.killHelm(peer, true);
                    mesh.world.machine(peer).disk.wipe();
                    mesh.world.run(200 + r.nextInt(1000));
                    mesh.startHelm(peer, false);
                    mesh.world.run(8000);
                }
                case 2 -> {
                    mesh.world.isolate(peer, true);
                    mesh.world.run(r.nextInt(4000));
                    mesh.world.isolate(peer, false);
                }
                default -> mesh.world.machine(peer).freeze(r.nextInt(3000));
            }
            mesh.world.run(6000);
            assertEquals(List.of(), broken.stream().limit(3).toList(), "round " + round);
            assertNotNull(mesh.leader(), "round " + round);
            long term = mesh.leader().raft.currentTerm();
            mesh.wefts
                    .keySet()
                    .forEach(p -> assertTrue(status(mesh, p).path("term").asLong() <= term, p));
            settle(mesh);
            commits(
                    mesh,
                    mesh.leader().replicatedState().current().epoch() + 1,
                    mesh.leader().replicatedState().current().epoch(),
                    List.of());
        }
    }

    /** A cell stands still with an order in hand or on its way, for less or more than an election takes, and thaws. */
    @ParameterizedTest
    @MethodSource("phases")
    void aCellThatThawsPutsNothingOldInForce(int phase, long seed) {
        SimMesh mesh = mesh(seed, 3, 6);
        Random r = mesh.world.random;
        Map<DataPlaneNode, Long> highest = new IdentityHashMap<>();
        Map<Long, String> inForce = new HashMap<>();
        List<String> broken = new ArrayList<>();
        mesh.world.afterEach = () -> mesh.wefts.forEach((p, w) -> {
            long e = w.shadowCommit.epoch();
            if (e < highest.getOrDefault(w, 0L)
                    || !w.shadowCommit
                            .realConfiguration()
                            .stamp
                            .equals(inForce.computeIfAbsent(e, k -> w.shadowCommit.realConfiguration().stamp))) {
                broken.add(p + " has " + e + " of " + w.shadowCommit.realConfiguration().stamp);
            }
            highest.put(w, e);
        });
        String old = leader(mesh);
        String cell = mesh.helms.keySet().stream()
                .filter(h -> !h.equals(old))
                .findFirst()
                .orElseThrow();
        String away = SimMesh.weftPeer(r.nextInt(6));
        mesh.world.isolate(away, phase == 0);
        int[] frozen = new int[1];
        mesh.world.keeper = (from, to, kind, m, deliver) -> {
            if (kind.equals("cell") && to.equals(cell) && m.path("phase").asInt() == phase && frozen[0]++ == 0) {
                mesh.world.machine(cell).freeze(200 + r.nextInt(2500));
            }
            return false;
        };
        mesh.order(SimMesh.change(7, 5, "lost"), o -> {});
        for (int i = 0; i < 2000 && frozen[0] == 0; i++) {
            mesh.world.run(1);
        }
        assertTrue(frozen[0] > 0);
        mesh.world.run(r.nextInt(100));
        if (r.nextBoolean()) {
            mesh.killHelm(old, true);
            mesh.startHelm(old, false);
        }
        mesh.world.isolate(away, false);
        for (int i = 0; i < 60 && mesh.leader() == null; i++) {
            mesh.world.run(50);
        }
        long base = mesh.leader().replicatedState().current().epoch();
        mesh.order(SimMesh.change(8, base, "won"), o -> {});
        mesh.world.run(4000);
        settle(mesh);
        assertEquals(List.of(), broken);
        long now = mesh.leader().replicatedState().current().epoch();
        mesh.wefts.forEach((p, w) -> assertEquals(now, w.shadowCommit.epoch(), p));
        commits(mesh, now + 1, now, List.of());
    }

    /** What a zone that was cut off has to tell when it is back is old, and is taken over nothing newer. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void oldNewsOfAHelmThatWasCutOffReplacesNothingNewer(long seed) {
        SimMesh mesh = mesh(seed, 4, 8);
        Random r = mesh.world.random;
        boolean[] ok = new boolean[2];
        mesh.leader().evacuate("b", true, a -> ok[0] = a);
        mesh.world.run(1000);
        String cut = r.nextBoolean() ? leader(mesh) : SimMesh.helmPeer(r.nextInt(4));
        List<String> with =
                mesh.wefts.keySet().stream().filter(p -> r.nextInt(3) == 0).toList();
        mesh.world.isolate(cut, true);
        with.forEach(p -> mesh.world.isolate(p, true));
        with.forEach(p -> {
            mesh.world.cut(cut, p, false);
            mesh.world.cut(p, cut, false);
        });
        mesh.world.run(QUIET);
        assertEquals(200, order(mesh, 6, 5, "two").status());
        mesh.leader().evacuate("b", false, a -> ok[1] = a);
        mesh.world.run(QUIET);
        assertTrue(ok[0] && ok[1]);
        List<String> broken = new ArrayList<>();
        mesh.world.afterEach = () -> mesh.wefts.forEach((p, w) -> {
            if (!with.contains(p)
                    && (w.shadowCommit.epoch() < 6
                            || w.endpointDirectory.isEvacuated("b")
                            || w.gossip.get("order").incarnation() < 6)) {
                broken.add(
                        p + " has " + w.shadowCommit.epoch() + ", evacuated " + w.endpointDirectory.isEvacuated("b"));
            }
        });
        mesh.world.isolate(cut, false);
        with.forEach(p -> mesh.world.isolate(p, false));
        mesh.world.run(QUIET);
        assertEquals(List.of(), broken);
        mesh.wefts.forEach(
                (p, w) -> assertTrue(w.shadowCommit.epoch() == 6 && !w.endpointDirectory.isEvacuated("b"), p));
    }

    /** A document is asked for by number and stamp: who has another one of that number has nothing to give. */
    @Test
    void aDocumentIsOneByNumberAndStamp() {
        SimMesh mesh = mesh(4, 3, 4);
        String stamp = mesh.wefts.get(SimMesh.weftPeer(0)).shadowCommit.realConfiguration().stamp;
        ObjectNode right = JsonNodeFactory.instance.objectNode().put("epoch", 5).put("stamp", stamp);
        ObjectNode wrong =
                JsonNodeFactory.instance.objectNode().put("epoch", 5).put("stamp", document(5, "rival").stamp);
        for (String peer : List.of(SimMesh.helmPeer(0), SimMesh.weftPeer(0))) {
            assertTrue(ask(mesh, peer, "doc", right).path("doc").isTextual(), peer);
            assertFalse(ask(mesh, peer, "doc", wrong) instanceof ObjectNode, peer);
        }
    }

    /** Whoever answers with another document than the one asked for is not believed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aRivalDocumentIsNotTaken(long seed) {
        SimMesh mesh = mesh(seed, 3, 4);
        String away = SimMesh.weftPeer(1);
        mesh.world.isolate(away, true);
        assertEquals(200, order(mesh, 6, 5, "two").status());
        mesh.world.run(1500);
        int[] asked = new int[1];
        Map<String, PeerTransport.RequestHandler> all = new HashMap<>(mesh.helms);
        mesh.wefts.forEach((p, w) -> all.put(p, w));
        all.forEach((p, s) -> mesh.world.machine(p).serve((kind, m, answer) -> {
            if (kind.equals("doc")) {
                asked[0]++;
                answer.accept(
                        JsonNodeFactory.instance.objectNode().put("doc", document(6, "rival").compressedDocument));
            } else {
                s.handleRequest(kind, m, answer);
            }
        }));
        mesh.world.isolate(away, false);
        mesh.world.run(2000);
        assertTrue(asked[0] > 0);
        assertEquals(5, mesh.wefts.get(away).shadowCommit.epoch(), "no rival of the number wanted");
        all.forEach((p, s) -> mesh.world.machine(p).serve(s));
        mesh.world.run(3000);
        assertNotNull(mesh.wefts.get(away).shadowCommit.realConfiguration().route("x.example", "/two/"));
    }

    /** With the core gone a side that starts serves what the others know and says that nobody could confirm it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aStartWithTheCoreGoneServesAndIsConfirmedWhenItIsBack(long seed) {
        SimMesh mesh = mesh(seed, 3, 6);
        List<String> all = List.copyOf(mesh.helms.keySet());
        // Gone, or cut off: then nothing answers.
        boolean killed = seed % 2 == 0;
        all.forEach(h -> {
            if (killed) {
                mesh.killHelm(h, true);
            } else {
                mesh.world.isolate(h, true);
            }
        });
        String peer = SimMesh.weftPeer(mesh.world.random.nextInt(6));
        mesh.killWeft(peer);
        mesh.world.run(QUIET);
        mesh.startWeft(peer);
        DataPlaneNode w = mesh.wefts.get(peer);
        for (int i = 0; i < 2 * QUIET && w.shadowCommit.epoch() < 5; i += 10) {
            mesh.world.run(10);
        }
        assertEquals(5, w.shadowCommit.epoch());
        mesh.world.run(QUIET / 10);
        assertTrue(w.isReady(), "ready as soon as it has what the others know");
        assertFalse(status(mesh, peer).path("confirmed").asBoolean());
        all.forEach(h -> {
            if (killed) {
                mesh.startHelm(h, false);
            } else {
                mesh.world.isolate(h, false);
            }
        });
        mesh.world.run(QUIET * 2);
        assertTrue(w.isReady() && status(mesh, peer).path("confirmed").asBoolean());
    }

    /** A quiet fleet says nothing more for all this: nobody asks anew who is in touch, and no documents travel. */
    @Test
    void aQuietFleetHasNothingMoreToSay() {
        SimMesh mesh = mesh(5, 3, 12);
        mesh.world.kinds = new TreeMap<>();
        mesh.world.run(20_000);
        Set<String> kinds = mesh.world.kinds.keySet();
        assertTrue(Set.of("append", "session", "digest", "news").containsAll(kinds), kinds.toString());
    }

    /** The word by which a holder asks for a higher fence is lost: it asks again, and reports go on. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aLostWordForAHigherFenceIsSaidAgain(long seed) {
        SimPlatform platform = new SimPlatform();
        SimMesh mesh = SimMesh.metered(seed, 4, 4, platform);
        mesh.world.run(30_000);
        long fence =
                mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken();
        int[] lost = new int[1];
        mesh.world.keeper = (from, to, kind, m, deliver) -> kind.equals("raise") && lost[0]++ == 0;
        platform.answer = () ->
                mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken() == fence ? 409 : null;
        mesh.world.run(30_000);
        assertTrue(platform.reports.stream().anyMatch(c -> c.code() == 409));
        assertTrue(
                mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken() > fence,
                "a higher fence, " + lost[0] + " words for it");
    }

    /** Who hears of a higher term while a commit of its own is under way says no further phase, in whichever one it was. */
    @ParameterizedTest
    @MethodSource("phases")
    void whoLeadsNoMoreSaysNothingMore(int phase, long seed) {
        SimMesh mesh = mesh(seed, 3, 6);
        Random r = mesh.world.random;
        String old = leader(mesh);
        ControllerNode deposed = mesh.leader();
        mesh.world.isolate(SimMesh.weftPeer(r.nextInt(6)), phase == 0);
        int[] said = new int[1];
        List<String> broken = new ArrayList<>();
        mesh.world.keeper = (from, to, kind, m, deliver) -> {
            if (from.equals(old) && kind.equals("cell")) {
                said[0] += m.path("phase").asInt() == phase ? 1 : 0;
                if (!deposed.raft.isLeader()) {
                    broken.add("phase " + m.path("phase").asInt() + " in term "
                            + m.path("term").asLong());
                }
            }
            return false;
        };
        mesh.order(SimMesh.change(7, 5, "two"), o -> {});
        for (int i = 0; i < 2000 && said[0] == 0; i++) {
            mesh.world.run(1);
        }
        assertTrue(said[0] > 0);
        mesh.world.run(r.nextInt(phase == 0 ? 100 : 10));
        deposed.raft.observeTerm(deposed.raft.currentTerm() + 1);
        assertFalse(deposed.raft.isLeader());
        mesh.world.run(400);
        assertEquals(List.of(), broken);
    }

    /** A word for a higher fence counts in the leader's own term only. */
    @Test
    void aWordForAHigherFenceCountsInItsTerm() {
        SimMesh mesh = SimMesh.metered(1, 4, 4, new SimPlatform());
        mesh.world.run(20_000);
        long fence =
                mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken();
        long term = mesh.leader().raft.currentTerm();
        ObjectNode m = JsonNodeFactory.instance.objectNode().put("key", "usage").put("fence", fence);
        assertEquals(
                term,
                ask(mesh, leader(mesh), "raise", m.put("term", term - 1))
                        .path("term")
                        .asLong());
        mesh.world.run(1000);
        assertEquals(
                fence,
                mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken());
        ask(mesh, leader(mesh), "raise", m.put("term", term));
        mesh.world.run(1000);
        assertTrue(mesh.leader().replicatedState().singletonRoles().get("usage").fencingToken() > fence);
    }
}
