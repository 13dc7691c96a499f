package bramblespool;

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
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimWorld;
import bramblespool.state.DurableStore;
import bramblespool.state.ReplicatedState;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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
class CatchUpTest {
    /** What else goes on while the member catches up. */
    private enum With {
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
    private static final long GIVEN_UP_MS = 60_000;
    private static final double MEGABIT = 125;

    private SimMesh mesh;
    private long epoch;
    private long taken;
    private boolean waiting;
    private String leader;
    private String back;
    private String third;

    private void begin(long seed, int routes) {
        epoch = 0;
        taken = 0;
        waiting = false;
        mesh = new SimMesh(seed, 3, 0);
        mesh.world.run(4000);
        order(routes);
        mesh.world.run(1000);
        leader = RaftNode.addressOf(mesh.leader().raft.leaderId());
        List<String> others =
                mesh.helms.keySet().stream().filter(h -> !h.equals(leader)).toList();
        back = others.get(0);
        third = others.get(1);
    }

    /** Orders the next change, unless one is under way. */
    private void order(int routes) {
        if (waiting || mesh.leader() == null) {
            return;
        }
        long base = mesh.leader().replicatedState().current().epoch();
        epoch = Math.max(epoch, base) + 1;
        waiting = true;
        mesh.order(mesh.large(epoch, base, routes), o -> {
            waiting = false;
            taken += o.status() == 200 ? 1 : 0;
        });
    }

    private void changes(int count, int routes) {
        long until = taken + count;
        for (int i = 0; i < count * 40 && taken < until; i++) {
            order(routes);
            mesh.world.run(20);
        }
        assertEquals(until, taken, "changes acknowledged");
        mesh.world.run(1000);
    }

    private SimWorld.Machine machine(String peer) {
        return mesh.world.machine(peer);
    }

    private Result catchUp(long seed, int missed, int routes, double mbit, With with) {
        begin(seed, routes);
        mesh.killHelm(back, true);
        changes(missed, routes);
        boolean all = with == With.ALL_LINKS_SLOW || with == With.CHANGES_AND_ALL_SLOW;
        mesh.helms.keySet().forEach(h -> machine(h).linkRate = all ? mbit * MEGABIT : 0);
        machine(back).linkRate = mbit * MEGABIT;
        machine(back).disk.slowMs = with == With.SLOW_DISK ? 700 : 0;
        long term = mesh.leader().raft.currentTerm();
        long bytes = mesh.world.bytes;
        mesh.startHelm(back, false);
        long terms = 0;
        long leaderless = 0;
        int snapshots = 0;
        for (long t = 0; t < GIVEN_UP_MS; t += 10) {
            meanwhile(with, t, routes);
            mesh.world.run(10);
            ControllerNode l = mesh.leader();
            if (l == null) {
                leaderless += 10;
                continue;
            }
            terms = l.raft.currentTerm() - term;
            for (MemberProgress p : l.raft.memberProgress()) {
                snapshots = Math.max(snapshots, p.snapshotsSent());
            }
            ControllerNode b = mesh.helms.get(back);
            boolean faultOver = t > (with == With.RESTARTED ? 700 : with == With.LEADER_LOST ? 400 : 0);
            if (b != null
                    && faultOver
                    && b.replicatedState().current().epoch()
                            >= l.replicatedState().current().epoch()) {
                return new Result(t + 10, terms, leaderless, (mesh.world.bytes - bytes) / 1024, snapshots);
            }
        }
        return new Result(-1, terms, leaderless, (mesh.world.bytes - bytes) / 1024, snapshots);
    }

    private void meanwhile(With with, long t, int routes) {
        switch (with) {
            case CHANGES, CHANGES_AND_ALL_SLOW -> {
                if (t % 500 == 0) {
                    order(routes);
                }
            }
            case LOSSES -> {
                if (t % 100 == 0) {
                    for (String h : List.of(leader, third)) {
                        mesh.world.cut(h, back, mesh.world.random.nextInt(10) < 2);
                        mesh.world.cut(back, h, mesh.world.random.nextInt(10) < 2);
                    }
                }
            }
            case THIRD_LOST -> {
                if (t == 100) {
                    mesh.killHelm(third, true);
                }
            }
            case LEADER_LOST -> {
                if (t == 300) {
                    mesh.killHelm(leader, true);
                } else if (t == 3300) {
                    mesh.startHelm(leader, false);
                }
            }
            case RESTARTED -> {
                if (t == 300) {
                    mesh.killHelm(back, true);
                } else if (t == 600) {
                    mesh.startHelm(back, false);
                }
            }
            default -> {}
        }
    }

    /** Prints what the pages tell: missed changes, routes and Mbit/s as arguments, or all. */
    public static void main(String[] args) {
        for (int missed : args.length > 0 ? new int[] {Integer.parseInt(args[0])} : new int[] {100, 120, 300, 600}) {
            for (int routes : args.length > 1 ? new int[] {Integer.parseInt(args[1])} : new int[] {10, ROUTES}) {
                for (double mbit :
                        args.length > 2 ? new double[] {Double.parseDouble(args[2])} : new double[] {120, 2}) {
                    for (With with : With.values()) {
                        System.out.println(missed + " changes of " + routes + ", " + mbit + " Mbit/s, " + with + ": "
                                + new CatchUpTest().catchUp(1, missed, routes, mbit, with) + " "
                                + new CatchUpTest().catchUp(2, missed, routes, mbit, with));
                    }
                }
            }
        }
    }

    /** Behind by a snapshot and entries of large documents, on a link that carries one document in a tenth of a second. */
    @ParameterizedTest
    @EnumSource(With.class)
    void aMemberFarBehindCatchesUpOverASlowLink(With with) {
        Result r = catchUp(1, 120, ROUTES, 2, with);
        assertTrue(r.caughtUpMs >= 0 && r.caughtUpMs <= 6000, r.toString());
        assertEquals(with == With.LEADER_LOST ? 1 : 0, r.terms, "elections: " + r);
        assertTrue(r.kilobytes < 1000, r.toString());
    }

    @ParameterizedTest
    @CsvSource({"300, 1280, 2, ALL_LINKS_SLOW", "300, 1280, 2, CHANGES", "600, 10, 2, SLOW_DISK", "600, 10, 120, LOSSES"
    })
    void hundredsOfChangesAreCaughtUp(int missed, int routes, double mbit, With with) {
        Result r = catchUp(3, missed, routes, mbit, with);
        assertTrue(r.caughtUpMs >= 0 && r.caughtUpMs <= 5000, r.toString());
        assertEquals(0, r.terms, r.toString());
    }

    /** Each message of a heartbeat's length takes many of them: who sends is near all the same, and nobody asks to lead. */
    @ParameterizedTest
    @EnumSource(
            value = With.class,
            names = {"NOTHING", "ALL_LINKS_SLOW", "THIRD_LOST"})
    void anEighthOfThatLinkCostsNobodyTheLead(With with) {
        Result r = catchUp(1, 120, ROUTES, 0.25, with);
        assertTrue(r.caughtUpMs >= 0 && r.caughtUpMs <= 15_000, r.toString());
        assertEquals(0, r.terms, r.toString());
        assertEquals(0, r.leaderlessMs, r.toString());
    }

    /** The leader depends on a member to which the least part takes longer than an election: heartbeats go beside the parts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void heartbeatsGoBesideAMessageThatTakesLong(long seed) {
        begin(seed, 10);
        mesh.killHelm(back, true);
        changes(40, 10);
        long term = mesh.leader().raft.currentTerm();
        machine(back).linkRate = 0.04 * MEGABIT;
        mesh.startHelm(back, false);
        mesh.world.run(100);
        mesh.world.kinds = new TreeMap<>();
        mesh.killHelm(third, true);
        int caught = 0;
        for (int i = 0; i < 100; i++) {
            mesh.world.run(100);
            assertNotNull(mesh.leader(), "after " + i * 100 + " ms");
            caught += mesh.helms.get(back).replicatedState().current().epoch() == epoch ? 1 : 0;
        }
        assertEquals(term, mesh.leader().raft.currentTerm());
        assertTrue(caught > 0, "it catches up");
        long[] beats = mesh.world.kinds.get("heartbeat");
        assertTrue(beats != null && beats[0] > 5, "heartbeats");
    }

    private int snapshotsWhile(long ms) {
        int most = 0;
        for (long t = 0; t < ms; t += 5) {
            mesh.world.run(5);
            for (MemberProgress p : mesh.leader() == null
                    ? List.<MemberProgress>of()
                    : mesh.leader().raft.memberProgress()) {
                most = Math.max(most, p.snapshotsSent());
            }
        }
        return most;
    }

    /** It was away for some folds only: what it is sent is the newest snapshot, not the one that it lacked first. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aMemberAwayForAMomentIsSentTheNewestSnapshot(long seed) {
        begin(seed, 10);
        mesh.killHelm(back, true);
        long from = mesh.world.now();
        changes(40, 10);
        assertTrue(mesh.world.now() - from < 8000, "within the time after which a member counts as absent");
        machine(back).linkRate = 0.5 * MEGABIT;
        mesh.startHelm(back, false);
        assertEquals(1, snapshotsWhile(2000));
        assertEquals(epoch, mesh.helms.get(back).replicatedState().current().epoch());
    }

    /** Entries that have just been folded are still there for whoever lacks no more than these. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aMemberAChangeBehindNeedsNoSnapshot(long seed) {
        begin(seed, ROUTES);
        for (int i = 0; i < 20; i++) {
            mesh.world.isolate(back, true);
            order(ROUTES);
            mesh.world.run(200);
            mesh.world.isolate(back, false);
            assertEquals(0, snapshotsWhile(800), "after change " + i);
        }
        assertEquals(epoch, mesh.helms.get(back).replicatedState().current().epoch());
        assertTrue(machine(leader).disk.load().snapshot().index() >= 64, "folded meanwhile");
    }

    /** A link that carries less than is changed: the member follows by snapshots, and status says why it never has all. */
    @Test
    void aLinkTooSlowForTheChangesIsSaid() {
        Result r = catchUp(1, 120, ROUTES, 0.25, With.CHANGES);
        assertEquals(0, r.terms, r.toString());
        assertTrue(r.mostSnapshots > 3, r.toString());
        ControllerNode l = mesh.leader();
        long behind = l.raft.lastApplied() - mesh.helms.get(back).raft.lastApplied();
        assertTrue(behind < 128, behind + " entries behind");
        String text = StatusCommand.format(leader, status(l), false);
        assertTrue(text.contains("too slow for the changes"), text);
        assertTrue(text.contains("entries behind"), text);
    }

    private static ObjectNode status(ControllerNode h) {
        ObjectNode[] out = new ObjectNode[1];
        h.handleRequest("status", JsonNodeFactory.instance.objectNode(), n -> out[0] = n);
        return out[0];
    }

    @Test
    void statusTellsHowFarEachFollowerIs() {
        begin(1, ROUTES);
        mesh.killHelm(back, true);
        changes(120, ROUTES);
        String away = StatusCommand.format(leader, status(mesh.leader()), false);
        assertTrue(away.contains("silent for "), away);
        assertTrue(away.contains("follower " + third + "#0: has all"), away);
        machine(back).linkRate = 0.5 * MEGABIT;
        mesh.startHelm(back, false);
        int last = 0;
        for (int i = 0; i < 10; i++) {
            mesh.world.run(100);
            JsonNode f = null;
            for (JsonNode n : status(mesh.leader()).path("followers")) {
                f = n.path("member").asText().startsWith(back) ? n : f;
            }
            assertNotNull(f);
            if (f.path("size").asInt() > 0) {
                assertTrue(
                        f.path("sent").asInt() >= last
                                && f.path("sent").asInt() <= f.path("size").asInt(),
                        f.toString());
                last = f.path("sent").asInt();
            }
        }
        assertTrue(last > 10_000, last + " of the snapshot after a second");
        String text = StatusCommand.format(leader, status(mesh.leader()), false);
        assertTrue(text.matches("(?s).*entries behind, at \\d+; \\d+ of \\d+ kB under way.*"), text);
    }

    /** The leader dies when most of the snapshot is over; the next one sends the rest, for all fold at the same indices. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void theNextLeaderGoesOnWithTheSnapshot(long seed) {
        begin(seed, ROUTES);
        mesh.killHelm(back, true);
        changes(127, ROUTES);
        machine(back).linkRate = 0.5 * MEGABIT;
        mesh.world.kinds = new TreeMap<>();
        mesh.startHelm(back, false);
        int size = 0;
        int sent = 0;
        for (int i = 0; i < 400 && (size == 0 || sent < size * 0.7); i++) {
            mesh.world.run(10);
            for (MemberProgress p : mesh.leader().raft.memberProgress()) {
                if (p.transferChars() > 0) {
                    size = p.transferChars();
                    sent = p.transferredChars();
                }
            }
        }
        assertTrue(sent < size, sent + " of " + size);
        mesh.killHelm(leader, true);
        for (int i = 0;
                i < 800 && mesh.helms.get(back).replicatedState().current().epoch() < epoch;
                i++) {
            mesh.world.run(10);
        }
        assertEquals(epoch, mesh.helms.get(back).replicatedState().current().epoch());
        mesh.world.run(2000);
        assertEquals(mesh.helms.get(third), mesh.leader());
        long[] parts = mesh.world.kinds.get("part");
        assertTrue(parts[1] < size * 1.4, parts[1] + " letters in parts for a snapshot of " + size);
    }

    /** Whatever is acknowledged as a snapshot is on the disk, also when the leader asks again. */
    @Test
    void aSnapshotIsNotAcknowledgedBeforeTheDiskHasIt() {
        begin(4, 10);
        ControllerNode b = mesh.helms.get(back);
        mesh.world.isolate(back, true);
        changes(64, 10);
        DurableStore.Snapshot s = machine(leader).disk.load().snapshot();
        assertTrue(s.index() > b.raft.lastApplied());
        machine(back).disk.slowMs = 500;
        int[] answers = new int[1];
        List<Long> stored = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            b.handleRequest("part", part(b, s, s.data()), n -> {
                answers[0] += n.has("stored") ? 0 : 1;
                stored.add(n.path("stored").asLong(s.index()));
            });
            assertEquals(s.index(), b.raft.lastApplied(), "in memory at once");
        }
        mesh.world.run(400);
        assertEquals(0, answers[0], "answers before the disk's");
        mesh.world.run(700);
        assertEquals(s.index(), machine(back).disk.load().snapshot().index());
        assertEquals(3, stored.size(), "each is answered early, with what the disk has");
        assertTrue(stored.stream().allMatch(i -> i < s.index()), stored.toString());
    }

    private ObjectNode part(ControllerNode to, DurableStore.Snapshot s, String data) {
        ControllerNode l = mesh.helms.get(leader);
        ObjectNode m = JsonNodeFactory.instance
                .objectNode()
                .put("to", to.raft.localId())
                .put("from", l.raft.localId())
                .put("term", l.raft.currentTerm())
                .put("control", "")
                .put("n", 1)
                .put("id", "x")
                .put("index", s.index())
                .put("lastTerm", s.term())
                .put("size", data.length())
                .put("offset", 0)
                .put("data", data);
        s.voters().forEach(m.putArray("voters")::add);
        return m;
    }

    /** Half a write is no state: the power goes while a snapshot is on its way to the disk. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aCrashWhileASnapshotIsInstalledLeavesOneOfTheTwoStates(long seed) {
        begin(seed, 10);
        ControllerNode b = mesh.helms.get(back);
        mesh.world.isolate(back, true);
        changes(64, 10);
        DurableStore.Snapshot s = machine(leader).disk.load().snapshot();
        DurableStore.PersistentState before = machine(back).disk.load();
        machine(back).disk.slowMs = 30;
        b.handleRequest("part", part(b, s, s.data()), n -> {});
        mesh.world.run(seed * 12);
        mesh.killHelm(back, seed % 2 == 0);
        DurableStore.PersistentState after = machine(back).disk.load();
        if (after.snapshot() == null) {
            assertEquals(before.entries(), after.entries());
        } else {
            assertEquals(s, after.snapshot());
            assertEquals(List.of(), after.entries());
        }
        mesh.world.isolate(back, false);
        mesh.startHelm(back, false);
        mesh.world.run(3000);
        assertEquals(epoch, mesh.helms.get(back).replicatedState().current().epoch());
    }

    /** A snapshot that was damaged on its way changes nothing. */
    @Test
    void aDamagedSnapshotIsRefused() {
        begin(5, 10);
        ControllerNode b = mesh.helms.get(back);
        mesh.world.isolate(back, true);
        changes(64, 10);
        DurableStore.Snapshot s = machine(leader).disk.load().snapshot();
        String state = b.replicatedState().snapshot().toString();
        ObjectNode[] answer = new ObjectNode[1];
        b.handleRequest("part", part(b, s, damaged(s.data())), n -> answer[0] = n);
        assertNotNull(answer[0]);
        assertFalse(answer[0].path("ok").asBoolean());
        assertEquals(state, b.replicatedState().snapshot().toString());
        mesh.world.isolate(back, false);
        mesh.world.run(3000);
        assertEquals(epoch, b.replicatedState().current().epoch());
    }

    /** Another number in a place where it is still a state. */
    private static String damaged(String data) {
        int at = data.indexOf("\"epoch\":") + "\"epoch\":".length();
        return data.substring(0, at) + (data.charAt(at) == '1' ? '2' : '1') + data.substring(at + 1);
    }

    /** The disk gives another snapshot back than was written: the member says so by neither leading nor voting. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aSnapshotDamagedOnTheDiskIsNoStateToLeadOrVoteOn(long seed) throws Exception {
        begin(seed, 10);
        changes(40, 10);
        mesh.killHelm(back, true);
        SimWorld.Disk disk = machine(back).disk;
        DurableStore.PersistentState was = disk.load();
        DurableStore.Snapshot s = was.snapshot();
        Field held = SimWorld.Disk.class.getDeclaredField("held");
        held.setAccessible(true);
        held.set(
                disk,
                new DurableStore.PersistentState(
                        was.incarnation(),
                        was.currentTerm(),
                        was.votedFor(),
                        was.commitIndex(),
                        new DurableStore.Snapshot(s.index(), s.term(), s.voters(), damaged(s.data())),
                        was.entries()));
        // Alone with the third it must not lead, and where it would be needed nobody does.
        mesh.killHelm(leader, true);
        mesh.world.run(3000);
        mesh.startHelm(back, false);
        for (int i = 0; i < 50; i++) {
            mesh.world.run(100);
            assertNull(mesh.leader(), "a leader by a vote on what is damaged");
        }
        mesh.startHelm(leader, false);
        mesh.world.run(5000);
        assertNotNull(mesh.leader());
        assertEquals(
                mesh.leader().replicatedState().snapshot(),
                mesh.helms.get(back).replicatedState().snapshot());
        assertEquals(epoch, mesh.helms.get(back).replicatedState().current().epoch());
        mesh.killHelm(mesh.leader() == mesh.helms.get(leader) ? leader : third, true);
        mesh.world.run(4000);
        assertNotNull(mesh.leader(), "with a whole snapshot it votes again");
    }

    private static void mutate(ControllerNode h) {
        h.replicatedState().evacuations().put("nowhere", new ReplicatedState.Evacuation(true, 1));
    }

    private static boolean mutated(ControllerNode h) {
        return h.replicatedState().evacuations().containsKey("nowhere");
    }

    /** A follower's state goes astray: found at the next checkpoint, and mended without losing an entry it has. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aFollowerWithAnotherStateTakesTheGroups(long seed) {
        begin(seed, 10);
        changes(40, 10);
        ControllerNode b = mesh.helms.get(back);
        mutate(b);
        long term = mesh.leader().raft.currentTerm();
        long[] highest = new long[1];
        mesh.world.afterEach = () -> {
            assertTrue(b.raft.lastApplied() >= highest[0], "applied goes back");
            highest[0] = b.raft.lastApplied();
        };
        for (int i = 0; i < 80 && mutated(b); i++) {
            order(10);
            mesh.world.run(100);
        }
        assertFalse(mutated(b), "mended after " + (epoch - 41) + " changes");
        assertTrue(epoch - 41 <= 10, epoch + " is the version by now");
        mesh.world.run(1000);
        assertEquals(
                mesh.leader().replicatedState().snapshot(), b.replicatedState().snapshot());
        assertEquals(term, mesh.leader().raft.currentTerm());
        for (MemberProgress p : mesh.leader().raft.memberProgress()) {
            assertFalse(p.hasDivergedState(), p.toString());
        }
    }

    /** It is known to differ, the snapshot takes its time, and the leader dies: the other one leads, never this one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aFollowerWithAnotherStateNeverLeads(long seed) {
        begin(seed, 10);
        changes(40, 10);
        ControllerNode b = mesh.helms.get(back);
        mutate(b);
        boolean[] known = new boolean[1];
        for (int i = 0; i < 2000 && !known[0]; i++) {
            order(10);
            mesh.world.run(2);
            known[0] = mesh.leader().raft.memberProgress().stream().anyMatch(p -> p.hasDivergedState());
        }
        assertTrue(known[0], "the leader knows");
        // So slow that the snapshot is under way when the leader dies, and so quick that what was under way has come by
        // the end.
        machine(back).linkRate = 4;
        mesh.world.run(400);
        mesh.killHelm(leader, true);
        for (int i = 0; i < 400; i++) {
            mesh.world.run(10);
            assertFalse(mutated(b) && b.raft.isLeader(), "leads with a state of its own");
        }
        machine(back).linkRate = 0;
        mesh.world.run(4000);
        assertNotNull(mesh.leader());
        assertFalse(mutated(mesh.leader()));
        assertEquals(
                mesh.leader().replicatedState().snapshot(), b.replicatedState().snapshot());
    }

    /** The leader is the odd one: a majority holds another state, so it gives up the lead and takes theirs. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aLeaderWithAnotherStateThanTheMajorityGoes(long seed) {
        begin(seed, 10);
        changes(40, 10);
        ControllerNode odd = mesh.helms.get(leader);
        mutate(odd);
        for (int i = 0; i < 100 && (mutated(odd) || mesh.leader() == null); i++) {
            order(10);
            mesh.world.run(100);
        }
        assertFalse(mutated(odd));
        mesh.world.run(1000);
        assertNotEquals(odd, mesh.leader());
        mesh.helms
                .values()
                .forEach(h -> assertEquals(
                        mesh.leader().replicatedState().snapshot(),
                        h.replicatedState().snapshot()));
    }

    /** The same bytes whether a member applied all throughout, or took a snapshot anywhere and went on from there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theStateIsTheSameBytesHoweverItWasReached(long seed) throws Exception {
        Random r = new Random(seed);
        ReplicatedState throughout = new ReplicatedState();
        ReplicatedState restored = new ReplicatedState();
        ObjectMapper json = new ObjectMapper();
        long number = 0;
        for (long index = 1; index < 400; index++) {
            ObjectNode e =
                    switch (r.nextInt(7)) {
                        case 0, 1 ->
                            ReplicatedState.entry("candidate")
                                    .put("epoch", number + 1 + r.nextInt(2))
                                    .put("base", throughout.current().epoch())
                                    .put("doc", "d" + index)
                                    .put("digest", "g" + r.nextInt(300));
                        case 2 ->
                            ReplicatedState.entry("decide")
                                    .put(
                                            "epoch",
                                            throughout.candidate() == null
                                                    ? 0
                                                    : throughout.candidate().epoch());
                        case 3 ->
                            ReplicatedState.entry("phase").put("epoch", number).put("phase", "MARKED");
                        case 4 ->
                            ReplicatedState.entry("evac")
                                    .put("zone", "z" + r.nextInt(9))
                                    .put("on", r.nextBoolean());
                        case 5 ->
                            ReplicatedState.entry("duty")
                                    .put("key", "k" + r.nextInt(9))
                                    .put("holder", "h" + r.nextInt(4));
                        default -> {
                            ObjectNode m = ReplicatedState.entry(r.nextBoolean() ? "members" : "abort")
                                    .put("epoch", number + 1);
                            for (int v = r.nextInt(3); v < 5; v++) {
                                m.withArray("voters").add("v" + (v * 7 + r.nextInt(3)) % 6);
                            }
                            yield m;
                        }
                    };
            throughout.apply(index, e);
            restored.apply(index, e);
            number = throughout.current().epoch();
            if (r.nextInt(20) == 0) {
                ReplicatedState fresh = new ReplicatedState();
                fresh.restore(json.readTree(restored.snapshot().toString()));
                restored = fresh;
            }
            assertEquals(throughout.snapshot().toString(), restored.snapshot().toString(), "after entry " + index);
        }
    }

    /** A day may hold hundreds of changes: an order that was taken is acknowledged again after any number of them. */
    @Test
    void anOrderTakenHundredsOfChangesAgoIsNotRefused() {
        begin(6, 1);
        OperatorRequest.ConfigurationChange first = SimMesh.change(epoch + 1, epoch, "first");
        OperatorRequest.Result[] got = new OperatorRequest.Result[1];
        mesh.order(first, o -> got[0] = o);
        mesh.world.run(1000);
        assertEquals(200, got[0].status());
        changes(530, 1);
        got[0] = null;
        mesh.order(first, o -> got[0] = o);
        mesh.world.run(1000);
        assertNotNull(got[0]);
        assertEquals(200, got[0].status(), "the order of " + 530 + " changes ago");
        OperatorRequest.Result[] other = new OperatorRequest.Result[1];
        mesh.order(SimMesh.change(epoch + 9, 1, "stale"), o -> other[0] = o);
        mesh.world.run(1000);
        assertEquals(412, other[0].status(), "one that was never taken");
    }

    /** Once compared, digests cost a quiet group nothing but a question in every 64th message. */
    @Test
    void aQuietGroupPaysNothingForAllThis() {
        begin(7, 10);
        changes(40, 10);
        mesh.world.run(3000);
        mesh.world.kinds = new TreeMap<>();
        mesh.world.run(60_000);
        assertFalse(mesh.world.kinds.containsKey("part"), "parts");
        assertFalse(mesh.world.kinds.containsKey("heartbeat"), "heartbeats beside other messages");
        assertEquals(
                List.of(800L),
                Arrays.stream(mesh.world.kinds.get("append"), 0, 1).boxed().toList(),
                "messages");
    }
}
