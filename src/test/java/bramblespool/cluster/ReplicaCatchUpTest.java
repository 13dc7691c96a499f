package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.cli.StatusCommand;
import bramblespool.coordination.controller.ControllerNode;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.MemberProgress;
import bramblespool.raft.RaftNode;
import bramblespool.state.DurableStore;
import bramblespool.state.ReplicatedEntry;
import bramblespool.state.ReplicatedEntryCodec;
import bramblespool.state.ReplicatedState;
import bramblespool.state.ReplicatedStateSnapshotCodec;
import bramblespool.state.VoterSet;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A helm that missed many changes comes back; one whose state is not the group's never leads. */
class ReplicaCatchUpTest {
    /** What else goes on while the member catches up. */
    private enum Disturbance {
        NOTHING,
        ALL_LINKS_SLOW,
        SLOW_DISK,
        CHANGES,
        CHANGES_AND_ALL_SLOW,
        LOSSES,
        THIRD_LOST,
        LEADER_LOST,
        RESTARTED
    }

    /** {@code caughtUpMs} -1: not within the time; {@code terms}: elections won since; {@code leaderlessMs}: without a leader. */
    private record Result(long caughtUpMs, long terms, long leaderlessMs, long kilobytes, int mostSnapshots) {}

    private static final int ROUTES = 1280;
    private static final long TIME_LIMIT_MS = 60_000;
    private static final double BYTES_PER_MS_OF_A_MEGABIT = 125;

    private SimulatedMesh mesh;
    private long version;
    private long acknowledgedCount;
    private boolean isChangePending;
    private String leaderPeer;
    private String laggingPeer;
    private String thirdPeer;

    private void startCluster(long seed, int routes) {
        version = 0;
        acknowledgedCount = 0;
        isChangePending = false;
        mesh = new SimulatedMesh(seed, 3, 0);
        mesh.simulator.run(4000);
        submitNext(routes);
        mesh.simulator.run(1000);
        leaderPeer = RaftNode.addressOf(mesh.leader().raft().leaderId());
        List<String> others = mesh.controllers.keySet().stream()
                .filter(h -> !h.equals(leaderPeer))
                .toList();
        laggingPeer = others.get(0);
        thirdPeer = others.get(1);
    }

    /** Orders the next change, unless one is under way. */
    private void submitNext(int routes) {
        if (isChangePending || mesh.leader() == null) {
            return;
        }
        long base = mesh.leader().replicatedState().current().epoch();
        version = Math.max(version, base) + 1;
        isChangePending = true;
        mesh.submitToLeader(mesh.largeChange(version, base, routes), outcome -> {
            isChangePending = false;
            acknowledgedCount += outcome.status() == 200 ? 1 : 0;
        });
    }

    private void applyChanges(int count, int routes) {
        long target = acknowledgedCount + count;
        for (int i = 0; i < count * 40 && acknowledgedCount < target; i++) {
            submitNext(routes);
            mesh.simulator.run(20);
        }
        assertEquals(target, acknowledgedCount, "changes acknowledged");
        mesh.simulator.run(1000);
    }

    private Simulator.Machine machine(String peer) {
        return mesh.simulator.machine(peer);
    }

    private Result catchUp(long seed, int missedChanges, int routes, double megabitsPerS, Disturbance disturbance) {
        startCluster(seed, routes);
        mesh.killController(laggingPeer, true);
        applyChanges(missedChanges, routes);
        boolean areAllSlow =
                disturbance == Disturbance.ALL_LINKS_SLOW || disturbance == Disturbance.CHANGES_AND_ALL_SLOW;
        mesh.controllers
                .keySet()
                .forEach(h -> machine(h).linkBytesPerMs = areAllSlow ? megabitsPerS * BYTES_PER_MS_OF_A_MEGABIT : 0);
        machine(laggingPeer).linkBytesPerMs = megabitsPerS * BYTES_PER_MS_OF_A_MEGABIT;
        machine(laggingPeer).disk.extraSyncMs = disturbance == Disturbance.SLOW_DISK ? 700 : 0;
        long initialTerm = mesh.leader().raft().currentTerm();
        long initialBytes = mesh.simulator.byteCount;
        mesh.startController(laggingPeer, false);
        long electionCount = 0;
        long leaderless = 0;
        int snapshots = 0;
        for (long elapsedMs = 0; elapsedMs < TIME_LIMIT_MS; elapsedMs += 10) {
            injectFault(disturbance, elapsedMs, routes);
            mesh.simulator.run(10);
            ControllerNode currentLeader = mesh.leader();
            if (currentLeader == null) {
                leaderless += 10;
                continue;
            }
            electionCount = currentLeader.raft().currentTerm() - initialTerm;
            for (MemberProgress p : currentLeader.raft().memberProgress()) {
                snapshots = Math.max(snapshots, p.snapshotsSent());
            }
            ControllerNode member = mesh.controllers.get(laggingPeer);
            boolean faultOver = elapsedMs
                    > (disturbance == Disturbance.RESTARTED ? 700 : disturbance == Disturbance.LEADER_LOST ? 400 : 0);
            if (member != null
                    && faultOver
                    && member.replicatedState().current().epoch()
                            >= currentLeader.replicatedState().current().epoch()) {
                return new Result(
                        elapsedMs + 10,
                        electionCount,
                        leaderless,
                        (mesh.simulator.byteCount - initialBytes) / 1024,
                        snapshots);
            }
        }
        return new Result(-1, electionCount, leaderless, (mesh.simulator.byteCount - initialBytes) / 1024, snapshots);
    }

    private void injectFault(Disturbance disturbance, long elapsedMs, int routes) {
        switch (disturbance) {
            case CHANGES, CHANGES_AND_ALL_SLOW -> {
                if (elapsedMs % 500 == 0) {
                    submitNext(routes);
                }
            }
            case LOSSES -> {
                if (elapsedMs % 100 == 0) {
                    for (String peer : List.of(leaderPeer, thirdPeer)) {
                        mesh.simulator.setLinkCut(peer, laggingPeer, mesh.simulator.random.nextInt(10) < 2);
                        mesh.simulator.setLinkCut(laggingPeer, peer, mesh.simulator.random.nextInt(10) < 2);
                    }
                }
            }
            case THIRD_LOST -> {
                if (elapsedMs == 100) {
                    mesh.killController(thirdPeer, true);
                }
            }
            case LEADER_LOST -> {
                if (elapsedMs == 300) {
                    mesh.killController(leaderPeer, true);
                } else if (elapsedMs == 3300) {
                    mesh.startController(leaderPeer, false);
                }
            }
            case RESTARTED -> {
                if (elapsedMs == 300) {
                    mesh.killController(laggingPeer, true);
                } else if (elapsedMs == 600) {
                    mesh.startController(laggingPeer, false);
                }
            }
            default -> {}
        }
    }

    /** Prints what the pages tell: missed changes, routes and Mbit/s as arguments, or all. */
    public static void main(String[] args) {
        for (int missedChanges :
                args.length > 0 ? new int[] {Integer.parseInt(args[0])} : new int[] {100, 120, 300, 600}) {
            for (int routes : args.length > 1 ? new int[] {Integer.parseInt(args[1])} : new int[] {10, ROUTES}) {
                for (double megabitsPerS :
                        args.length > 2 ? new double[] {Double.parseDouble(args[2])} : new double[] {120, 2}) {
                    for (Disturbance disturbance : Disturbance.values()) {
                        System.out.println(missedChanges + " changes of " + routes + ", " + megabitsPerS + " Mbit/s, "
                                + disturbance + ": "
                                + new ReplicaCatchUpTest().catchUp(1, missedChanges, routes, megabitsPerS, disturbance)
                                + " "
                                + new ReplicaCatchUpTest()
                                        .catchUp(2, missedChanges, routes, megabitsPerS, disturbance));
                    }
                }
            }
        }
    }

    /** Behind by a snapshot and entries of large documents, on a link that carries one document in a tenth of a second. */
    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void memberFarBehindCatchesUpOverSlowLink(Disturbance disturbance) {
        Result result = catchUp(1, 120, ROUTES, 2, disturbance);
        assertTrue(result.caughtUpMs >= 0 && result.caughtUpMs <= 6000, result.toString());
        assertEquals(disturbance == Disturbance.LEADER_LOST ? 1 : 0, result.terms, "elections: " + result);
        assertTrue(result.kilobytes < 1000, result.toString());
    }

    @ParameterizedTest
    @CsvSource({"300, 1280, 2, ALL_LINKS_SLOW", "300, 1280, 2, CHANGES", "600, 10, 2, SLOW_DISK", "600, 10, 120, LOSSES"
    })
    void catchesUpOnHundredsOfChanges(int missedChanges, int routes, double megabitsPerS, Disturbance disturbance) {
        Result result = catchUp(3, missedChanges, routes, megabitsPerS, disturbance);
        assertTrue(result.caughtUpMs >= 0 && result.caughtUpMs <= 5000, result.toString());
        assertEquals(0, result.terms, result.toString());
    }

    /** Each message of a heartbeat's length takes many of them: who sends is near all the same, and nobody asks to lead. */
    @ParameterizedTest
    @EnumSource(
            value = Disturbance.class,
            names = {"NOTHING", "ALL_LINKS_SLOW", "THIRD_LOST"})
    void verySlowLinkCausesNoElection(Disturbance disturbance) {
        Result result = catchUp(1, 120, ROUTES, 0.25, disturbance);
        assertTrue(result.caughtUpMs >= 0 && result.caughtUpMs <= 15_000, result.toString());
        assertEquals(0, result.terms, result.toString());
        assertEquals(0, result.leaderlessMs, result.toString());
    }

    /** The leader depends on a member to which the least part takes longer than an election: heartbeats go beside the parts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void heartbeatsAreSentBesideLongMessages(long seed) {
        startCluster(seed, 10);
        mesh.killController(laggingPeer, true);
        applyChanges(40, 10);
        long term = mesh.leader().raft().currentTerm();
        machine(laggingPeer).linkBytesPerMs = 0.04 * BYTES_PER_MS_OF_A_MEGABIT;
        mesh.startController(laggingPeer, false);
        mesh.simulator.run(100);
        mesh.simulator.trafficByKind = new TreeMap<>();
        mesh.killController(thirdPeer, true);
        int caughtUpCount = 0;
        for (int i = 0; i < 100; i++) {
            mesh.simulator.run(100);
            assertNotNull(mesh.leader(), "after " + i * 100 + " ms");
            caughtUpCount += mesh.controllers
                                    .get(laggingPeer)
                                    .replicatedState()
                                    .current()
                                    .epoch()
                            == version
                    ? 1
                    : 0;
        }
        assertEquals(term, mesh.leader().raft().currentTerm());
        assertTrue(caughtUpCount > 0, "it catches up");
        long[] heartbeatTraffic = mesh.simulator.trafficByKind.get("heartbeat");
        assertTrue(heartbeatTraffic != null && heartbeatTraffic[0] > 5, "heartbeats");
    }

    private int maxSnapshotsDuring(long durationMs) {
        int maxSnapshots = 0;
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 5) {
            mesh.simulator.run(5);
            for (MemberProgress progress : mesh.leader() == null
                    ? List.<MemberProgress>of()
                    : mesh.leader().raft().memberProgress()) {
                maxSnapshots = Math.max(maxSnapshots, progress.snapshotsSent());
            }
        }
        return maxSnapshots;
    }

    /** It was away for some folds only: what it is sent is the newest snapshot, not the one that it lacked first. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void brieflyAbsentMemberIsSentNewestSnapshot(long seed) {
        startCluster(seed, 10);
        mesh.killController(laggingPeer, true);
        long from = mesh.simulator.nowMs();
        applyChanges(40, 10);
        assertTrue(mesh.simulator.nowMs() - from < 8000, "within the time after which a member counts as absent");
        machine(laggingPeer).linkBytesPerMs = 0.5 * BYTES_PER_MS_OF_A_MEGABIT;
        mesh.startController(laggingPeer, false);
        assertEquals(1, maxSnapshotsDuring(2000));
        assertEquals(
                version,
                mesh.controllers.get(laggingPeer).replicatedState().current().epoch());
    }

    /** Entries that have just been folded are still there for whoever lacks no more than these. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void memberOneChangeBehindNeedsNoSnapshot(long seed) {
        startCluster(seed, ROUTES);
        for (int i = 0; i < 20; i++) {
            mesh.simulator.setIsolated(laggingPeer, true);
            submitNext(ROUTES);
            mesh.simulator.run(200);
            mesh.simulator.setIsolated(laggingPeer, false);
            assertEquals(0, maxSnapshotsDuring(800), "after change " + i);
        }
        assertEquals(
                version,
                mesh.controllers.get(laggingPeer).replicatedState().current().epoch());
        assertTrue(machine(leaderPeer).disk.load().snapshot().index() >= 64, "folded meanwhile");
    }

    /** A link that carries less than is changed: the member follows by snapshots, and status says why it never has all. */
    @Test
    void linkTooSlowForChangesIsReported() {
        Result result = catchUp(1, 120, ROUTES, 0.25, Disturbance.CHANGES);
        assertEquals(0, result.terms, result.toString());
        assertTrue(result.mostSnapshots > 3, result.toString());
        ControllerNode currentLeader = mesh.leader();
        long behind = currentLeader.raft().lastApplied()
                - mesh.controllers.get(laggingPeer).raft().lastApplied();
        assertTrue(behind < 128, behind + " entries behind");
        String text = StatusCommand.format(leaderPeer, status(currentLeader), false);
        assertTrue(text.contains("too slow for the changes"), text);
        assertTrue(text.contains("entries behind"), text);
    }

    private static ObjectNode status(ControllerNode controller) {
        ObjectNode[] status = new ObjectNode[1];
        controller.handleRequest("status", JsonNodeFactory.instance.objectNode(), n -> status[0] = n);
        return status[0];
    }

    @Test
    void statusReportsFollowerProgress() {
        startCluster(1, ROUTES);
        mesh.killController(laggingPeer, true);
        applyChanges(120, ROUTES);
        String away = StatusCommand.format(leaderPeer, status(mesh.leader()), false);
        assertTrue(away.contains("silent for "), away);
        assertTrue(away.contains("follower " + thirdPeer + "#0: up to date"), away);
        machine(laggingPeer).linkBytesPerMs = 0.5 * BYTES_PER_MS_OF_A_MEGABIT;
        mesh.startController(laggingPeer, false);
        int lastSent = 0;
        for (int i = 0; i < 10; i++) {
            mesh.simulator.run(100);
            JsonNode follower = null;
            for (JsonNode n : status(mesh.leader()).path("followers")) {
                follower = n.path("member").asText().startsWith(laggingPeer) ? n : follower;
            }
            assertNotNull(follower);
            if (follower.path("size").asInt() > 0) {
                assertTrue(
                        follower.path("sent").asInt() >= lastSent
                                && follower.path("sent").asInt()
                                        <= follower.path("size").asInt(),
                        follower.toString());
                lastSent = follower.path("sent").asInt();
            }
        }
        assertTrue(lastSent > 10_000, lastSent + " of the snapshot after a second");
        String text = StatusCommand.format(leaderPeer, status(mesh.leader()), false);
        assertTrue(text.matches("(?s).*entries behind, at \\d+; \\d+ of \\d+ kB sent.*"), text);
    }

    /** The leader dies when most of the snapshot is over; the next one sends the rest, for all fold at the same indices. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void newLeaderResumesSnapshotTransfer(long seed) {
        startCluster(seed, ROUTES);
        mesh.killController(laggingPeer, true);
        applyChanges(127, ROUTES);
        machine(laggingPeer).linkBytesPerMs = 0.5 * BYTES_PER_MS_OF_A_MEGABIT;
        mesh.simulator.trafficByKind = new TreeMap<>();
        mesh.startController(laggingPeer, false);
        int size = 0;
        int sent = 0;
        for (int i = 0; i < 400 && (size == 0 || sent < size * 0.7); i++) {
            mesh.simulator.run(10);
            for (MemberProgress progress : mesh.leader().raft().memberProgress()) {
                if (progress.transferChars() > 0) {
                    size = progress.transferChars();
                    sent = progress.transferredChars();
                }
            }
        }
        assertTrue(sent < size, sent + " of " + size);
        mesh.killController(leaderPeer, true);
        for (int i = 0;
                i < 800
                        && mesh.controllers
                                        .get(laggingPeer)
                                        .replicatedState()
                                        .current()
                                        .epoch()
                                < version;
                i++) {
            mesh.simulator.run(10);
        }
        assertEquals(
                version,
                mesh.controllers.get(laggingPeer).replicatedState().current().epoch());
        mesh.simulator.run(2000);
        assertEquals(mesh.controllers.get(thirdPeer), mesh.leader());
        long[] chunkTraffic = mesh.simulator.trafficByKind.get("part");
        assertTrue(chunkTraffic[1] < size * 1.4, chunkTraffic[1] + " letters in parts for a snapshot of " + size);
    }

    /** Whatever is acknowledged as a snapshot is on the disk, also when the leader asks again. */
    @Test
    void snapshotIsNotAcknowledgedBeforeItIsDurable() {
        startCluster(4, 10);
        ControllerNode member = mesh.controllers.get(laggingPeer);
        mesh.simulator.setIsolated(laggingPeer, true);
        applyChanges(64, 10);
        DurableStore.Snapshot snapshot = machine(leaderPeer).disk.load().snapshot();
        assertTrue(snapshot.index() > member.raft().lastApplied());
        machine(laggingPeer).disk.extraSyncMs = 500;
        int[] answers = new int[1];
        List<Long> stored = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            member.handleRequest("part", snapshotChunk(member, snapshot, snapshot.data()), answer -> {
                answers[0] += answer.has("stored") ? 0 : 1;
                stored.add(answer.path("stored").asLong(snapshot.index()));
            });
            assertEquals(snapshot.index(), member.raft().lastApplied(), "in memory at once");
        }
        mesh.simulator.run(400);
        assertEquals(0, answers[0], "answers before the disk's");
        mesh.simulator.run(700);
        assertEquals(
                snapshot.index(), machine(laggingPeer).disk.load().snapshot().index());
        assertEquals(3, stored.size(), "each is answered early, with what the disk has");
        assertTrue(stored.stream().allMatch(i -> i < snapshot.index()), stored.toString());
    }

    private ObjectNode snapshotChunk(ControllerNode recipient, DurableStore.Snapshot snapshot, String data) {
        ControllerNode sender = mesh.controllers.get(leaderPeer);
        ObjectNode message = JsonNodeFactory.instance
                .objectNode()
                .put("to", recipient.raft().localId())
                .put("from", sender.raft().localId())
                .put("term", sender.raft().currentTerm())
                .put("control", "")
                .put("n", 1)
                .put("id", "x")
                .put("index", snapshot.index())
                .put("lastTerm", snapshot.term())
                .put("size", data.length())
                .put("offset", 0)
                .put("data", data);
        snapshot.voters().forEach(message.putArray("voters")::add);
        return message;
    }

    /** Half a write is no state: the power goes while a snapshot is on its way to the disk. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void crashDuringSnapshotInstallationLeavesOldOrNewState(long seed) {
        startCluster(seed, 10);
        ControllerNode member = mesh.controllers.get(laggingPeer);
        mesh.simulator.setIsolated(laggingPeer, true);
        applyChanges(64, 10);
        DurableStore.Snapshot snapshot = machine(leaderPeer).disk.load().snapshot();
        DurableStore.PersistentState before = machine(laggingPeer).disk.load();
        machine(laggingPeer).disk.extraSyncMs = 30;
        member.handleRequest("part", snapshotChunk(member, snapshot, snapshot.data()), n -> {});
        mesh.simulator.run(seed * 12);
        mesh.killController(laggingPeer, seed % 2 == 0);
        DurableStore.PersistentState after = machine(laggingPeer).disk.load();
        if (after.snapshot() == null) {
            assertEquals(before.entries(), after.entries());
        } else {
            assertEquals(snapshot, after.snapshot());
            assertEquals(List.of(), after.entries());
        }
        mesh.simulator.setIsolated(laggingPeer, false);
        mesh.startController(laggingPeer, false);
        mesh.simulator.run(3000);
        assertEquals(
                version,
                mesh.controllers.get(laggingPeer).replicatedState().current().epoch());
    }

    /** A snapshot that was damaged on its way changes nothing. */
    @Test
    void corruptSnapshotIsRejected() {
        startCluster(5, 10);
        ControllerNode member = mesh.controllers.get(laggingPeer);
        mesh.simulator.setIsolated(laggingPeer, true);
        applyChanges(64, 10);
        DurableStore.Snapshot snapshot = machine(leaderPeer).disk.load().snapshot();
        String state = stateOf(member);
        ObjectNode[] answer = new ObjectNode[1];
        member.handleRequest("part", snapshotChunk(member, snapshot, corrupted(snapshot.data())), n -> answer[0] = n);
        assertNotNull(answer[0]);
        assertFalse(answer[0].path("ok").asBoolean());
        assertEquals(state, stateOf(member));
        mesh.simulator.setIsolated(laggingPeer, false);
        mesh.simulator.run(3000);
        assertEquals(version, member.replicatedState().current().epoch());
    }

    /** Another number in a place where it is still a state. */
    private static String corrupted(String data) {
        int position = data.indexOf("\"epoch\":") + "\"epoch\":".length();
        return data.substring(0, position) + (data.charAt(position) == '1' ? '2' : '1') + data.substring(position + 1);
    }

    /** The disk gives another snapshot back than was written: the member says so by neither leading nor voting. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void memberWithCorruptSnapshotNeitherLeadsNorVotes(long seed) throws Exception {
        startCluster(seed, 10);
        applyChanges(40, 10);
        mesh.killController(laggingPeer, true);
        Simulator.Disk disk = machine(laggingPeer).disk;
        DurableStore.PersistentState savedBefore = disk.load();
        DurableStore.Snapshot snapshot = savedBefore.snapshot();
        Field heldField = Simulator.Disk.class.getDeclaredField("held");
        heldField.setAccessible(true);
        heldField.set(
                disk,
                new DurableStore.PersistentState(
                        savedBefore.incarnation(),
                        savedBefore.currentTerm(),
                        savedBefore.votedFor(),
                        savedBefore.commitIndex(),
                        new DurableStore.Snapshot(
                                snapshot.index(), snapshot.term(), snapshot.voters(), corrupted(snapshot.data())),
                        savedBefore.entries()));
        // Alone with the third it must not lead, and where it would be needed nobody does.
        mesh.killController(leaderPeer, true);
        mesh.simulator.run(3000);
        mesh.startController(laggingPeer, false);
        for (int i = 0; i < 50; i++) {
            mesh.simulator.run(100);
            assertNull(mesh.leader(), "a leader by a vote on what is damaged");
        }
        mesh.startController(leaderPeer, false);
        mesh.simulator.run(5000);
        assertNotNull(mesh.leader());
        assertEquals(stateOf(mesh.leader()), stateOf(mesh.controllers.get(laggingPeer)));
        assertEquals(
                version,
                mesh.controllers.get(laggingPeer).replicatedState().current().epoch());
        mesh.killController(mesh.leader() == mesh.controllers.get(leaderPeer) ? leaderPeer : thirdPeer, true);
        mesh.simulator.run(4000);
        assertNotNull(mesh.leader(), "with a whole snapshot it votes again");
    }

    private static void corruptState(ControllerNode controller) {
        controller.replicatedState().apply(1, new ReplicatedEntry.EvacuationChanged("nowhere", true));
    }

    private static String stateOf(ControllerNode controller) {
        return ReplicatedStateSnapshotCodec.encode(controller.replicatedState().snapshot());
    }

    private static boolean isStateCorrupted(ControllerNode controller) {
        return controller.replicatedState().evacuations().containsKey("nowhere");
    }

    /** A follower's state goes astray: found at the next checkpoint, and mended without losing an entry it has. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void divergentFollowerAdoptsGroupState(long seed) {
        startCluster(seed, 10);
        applyChanges(40, 10);
        ControllerNode member = mesh.controllers.get(laggingPeer);
        corruptState(member);
        long term = mesh.leader().raft().currentTerm();
        long[] highestApplied = new long[1];
        mesh.simulator.afterEach = () -> {
            assertTrue(member.raft().lastApplied() >= highestApplied[0], "applied goes back");
            highestApplied[0] = member.raft().lastApplied();
        };
        for (int i = 0; i < 80 && isStateCorrupted(member); i++) {
            submitNext(10);
            mesh.simulator.run(100);
        }
        assertFalse(isStateCorrupted(member), "mended after " + (version - 41) + " changes");
        assertTrue(version - 41 <= 10, version + " is the version by now");
        mesh.simulator.run(1000);
        assertEquals(stateOf(mesh.leader()), stateOf(member));
        assertEquals(term, mesh.leader().raft().currentTerm());
        for (MemberProgress p : mesh.leader().raft().memberProgress()) {
            assertFalse(p.hasDivergedState(), p.toString());
        }
    }

    /** It is known to differ, the snapshot takes its time, and the leader dies: the other one leads, never this one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void divergentFollowerNeverLeads(long seed) {
        startCluster(seed, 10);
        applyChanges(40, 10);
        ControllerNode member = mesh.controllers.get(laggingPeer);
        corruptState(member);
        boolean[] isKnown = new boolean[1];
        for (int i = 0; i < 2000 && !isKnown[0]; i++) {
            submitNext(10);
            mesh.simulator.run(2);
            isKnown[0] = mesh.leader().raft().memberProgress().stream().anyMatch(p -> p.hasDivergedState());
        }
        assertTrue(isKnown[0], "the leader knows");
        // So slow that the snapshot is under way when the leader dies, and so quick that what was under way has come by
        // the end.
        machine(laggingPeer).linkBytesPerMs = 4;
        mesh.simulator.run(400);
        mesh.killController(leaderPeer, true);
        for (int i = 0; i < 400; i++) {
            mesh.simulator.run(10);
            assertFalse(isStateCorrupted(member) && member.raft().isLeader(), "leads with a state of its own");
        }
        machine(laggingPeer).linkBytesPerMs = 0;
        mesh.simulator.run(4000);
        assertNotNull(mesh.leader());
        assertFalse(isStateCorrupted(mesh.leader()));
        assertEquals(stateOf(mesh.leader()), stateOf(member));
    }

    /** The leader is the odd one: a majority holds another state, so it gives up the lead and takes theirs. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void leaderDivergingFromMajorityStepsDown(long seed) {
        startCluster(seed, 10);
        applyChanges(40, 10);
        ControllerNode divergent = mesh.controllers.get(leaderPeer);
        corruptState(divergent);
        for (int i = 0; i < 100 && (isStateCorrupted(divergent) || mesh.leader() == null); i++) {
            submitNext(10);
            mesh.simulator.run(100);
        }
        assertFalse(isStateCorrupted(divergent));
        mesh.simulator.run(1000);
        assertNotEquals(divergent, mesh.leader());
        mesh.controllers.values().forEach(h -> assertEquals(stateOf(mesh.leader()), stateOf(h)));
    }

    /** The same bytes whether a member applied all throughout, or took a snapshot anywhere and went on from there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void stateIsByteIdenticalHoweverItWasReached(long seed) throws Exception {
        Random random = new Random(seed);
        ReplicatedState throughout = new ReplicatedState();
        ReplicatedState restored = new ReplicatedState();
        long number = 0;
        for (long index = 1; index < 400; index++) {
            ReplicatedEntry entry =
                    switch (random.nextInt(7)) {
                        case 0, 1 ->
                            new ReplicatedEntry.CandidateStored(
                                    number + 1 + random.nextInt(2),
                                    throughout.current().epoch(),
                                    "g" + random.nextInt(300),
                                    "d" + index);
                        case 2 ->
                            new ReplicatedEntry.CommitDecided(
                                    throughout.candidate() == null
                                            ? 0
                                            : throughout.candidate().epoch());
                        case 3 -> new ReplicatedEntry.PhaseReached(number, ReplicatedState.Phase.MARKED);
                        case 4 -> new ReplicatedEntry.EvacuationChanged("z" + random.nextInt(9), random.nextBoolean());
                        case 5 ->
                            new ReplicatedEntry.SingletonRoleAssigned("k" + random.nextInt(9), "h" + random.nextInt(4));
                        default -> {
                            boolean isVoters = random.nextBoolean();
                            List<String> voters = new ArrayList<>();
                            for (int v = random.nextInt(3); v < 5; v++) {
                                voters.add("v" + (v * 7 + random.nextInt(3)) % 6);
                            }
                            yield isVoters
                                    ? new ReplicatedEntry.VotersChanged(VoterSet.decode(voters))
                                    : new ReplicatedEntry.CommitAborted(number + 1);
                        }
                    };
            String text = ReplicatedEntryCodec.encode(entry);
            throughout.apply(index, ReplicatedEntryCodec.decode(text));
            restored.apply(index, ReplicatedEntryCodec.decode(text));
            number = throughout.current().epoch();
            if (random.nextInt(20) == 0) {
                ReplicatedState fresh = new ReplicatedState();
                fresh.restore(
                        ReplicatedStateSnapshotCodec.decode(ReplicatedStateSnapshotCodec.encode(restored.snapshot())));
                restored = fresh;
            }
            assertEquals(
                    ReplicatedStateSnapshotCodec.encode(throughout.snapshot()),
                    ReplicatedStateSnapshotCodec.encode(restored.snapshot()),
                    "after entry " + index);
        }
    }

    /** A day may hold hundreds of changes: an order that was taken is acknowledged again after any number of them. */
    @Test
    void changeAppliedLongAgoIsAcknowledgedAgain() {
        startCluster(6, 1);
        OperatorRequest.ConfigurationChange first = SimulatedMesh.change(version + 1, version, "first");
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        mesh.submitToLeader(first, o -> outcome[0] = o);
        mesh.simulator.run(1000);
        assertEquals(200, outcome[0].status());
        applyChanges(530, 1);
        outcome[0] = null;
        mesh.submitToLeader(first, o -> outcome[0] = o);
        mesh.simulator.run(1000);
        assertNotNull(outcome[0]);
        assertEquals(200, outcome[0].status(), "the order of " + 530 + " changes ago");
        OperatorRequest.Result[] otherOutcome = new OperatorRequest.Result[1];
        mesh.submitToLeader(SimulatedMesh.change(version + 9, 1, "stale"), o -> otherOutcome[0] = o);
        mesh.simulator.run(1000);
        assertEquals(412, otherOutcome[0].status(), "one that was never taken");
    }

    /** Once compared, digests cost a quiet group nothing but a question in every 64th message. */
    @Test
    void idleGroupSendsNoExtraMessages() {
        startCluster(7, 10);
        applyChanges(40, 10);
        mesh.simulator.run(3000);
        mesh.simulator.trafficByKind = new TreeMap<>();
        mesh.simulator.run(60_000);
        assertFalse(mesh.simulator.trafficByKind.containsKey("part"), "parts");
        assertFalse(mesh.simulator.trafficByKind.containsKey("heartbeat"), "heartbeats beside other messages");
        assertEquals(
                List.of(800L),
                Arrays.stream(mesh.simulator.trafficByKind.get("append"), 0, 1)
                        .boxed()
                        .toList(),
                "messages");
    }
}
