package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.traffic.RetryBudget;
import bramblespool.coordination.traffic.RetryBudgetLeases;
import bramblespool.coordination.traffic.ServerAdmission;
import bramblespool.coordination.traffic.ServerAdmissions;
import bramblespool.protocol.Heartbeat;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimWorld;
import bramblespool.state.EventLog;
import bramblespool.state.RoutingConfiguration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The gate in front of one server, on a simulated clock. */
class GateTest {
    private final SimWorld world = new SimWorld(1);
    private final SimWorld.Machine machine = world.machine("10.0.1.1:7000");
    private final List<Long> arrivals = new ArrayList<>();
    private final List<ServerAdmission.Rejection> refused = new ArrayList<>();
    private int running;
    private int mostRunning;
    private long seq;
    private ServerAdmission gate;

    @BeforeEach
    void boot() {
        machine.boot();
        gate = new ServerAdmission(
                machine,
                new ServerAdmission.AdmissionSettings(1500, 833, 2500, 1.5, 5),
                "10.0.1.1:9000",
                "desk",
                () -> {},
                EventLog.silent());
        gate.configureSlowStart(8.5, 6000);
    }

    private String beat(String id, boolean draining, long cold) {
        return gate.onHeartbeat(new Heartbeat(id, "desk", "10.0.1.1:9000", "a", 6, draining, cold, ++seq));
    }

    private void send(int rank, long work) {
        ServerAdmission.AdmissionTicket[] t = new ServerAdmission.AdmissionTicket[1];
        t[0] = gate.admit(
                "r",
                rank,
                600,
                world.now() + 1500,
                () -> {
                    arrivals.add(world.now());
                    running++;
                    mostRunning = Math.max(mostRunning, running);
                    machine.schedule(work, () -> {
                        running--;
                        t[0].release(true);
                    });
                },
                refused::add);
    }

    @Test
    void neverMoreThanCapacityAtOnceAndWhatCannotBeInTimeIsRefusedAtOnce() {
        beat("i1", false, 0);
        for (int i = 0; i < 100; i++) {
            send(1, 200);
        }
        int refusedAtOnce = refused.size();
        assertTrue(refusedAtOnce > 50, "refused at once: " + refusedAtOnce);
        refused.forEach(r -> assertTrue(r.retryAfterMs() > 0, "says when to come back"));
        world.run(3000);
        assertEquals(6, mostRunning);
        assertEquals(100, arrivals.size() + refused.size(), "every request is heard of once");
    }

    @Test
    void aColdServerNeverGetsMoreThanItsBoundInAnySecond() {
        beat("i1", false, 6000);
        for (int i = 0; i < 790; i++) {
            send(1, 5);
            world.run(7);
        }
        double bound = 8.5 * 1.5 + 5;
        for (int i = 0; i < arrivals.size(); i++) {
            long from = arrivals.get(i);
            long n = arrivals.stream().filter(a -> a >= from && a < from + 1000).count();
            assertTrue(n <= bound, n + " in the second from " + from);
        }
        assertTrue(arrivals.size() > 30, "it still serves: " + arrivals.size());
    }

    /** A steward's new gate: the version came before it, and its bound on cold servers holds here too. */
    @Test
    void aGateThatComesAfterTheConfigurationKnowsItsBound() throws RoutingConfiguration.InvalidConfigurationException {
        ServerAdmissions gates = new ServerAdmissions();
        gates.applyConfiguration(RoutingConfiguration.compile(SimMesh.document(5, 0, "one")));
        gate = new ServerAdmission(
                machine,
                new ServerAdmission.AdmissionSettings(0, 0, 2500, 1.5, 5),
                "10.0.1.1:9000",
                "desk",
                () -> {},
                EventLog.silent());
        gates.add(gate);
        gate.onRegistryEntry("i1", 6, false, 6000);
        for (int i = 0; i < 100; i++) {
            send(1, 5);
            world.run(9);
        }
        assertTrue(!arrivals.isEmpty() && arrivals.size() <= 13 * 1.5 + 5, arrivals.size() + " in a second");
    }

    @Test
    void afterAnEvacuationTheServerCountsAsColdUntilItsNextBeat() {
        beat("i1", false, 0);
        gate.setEvacuated(true);
        send(1, 5);
        assertEquals("evacuated", refused.get(0).reason());
        gate.setEvacuated(false);
        for (int i = 0; i < 100; i++) {
            send(1, 5);
            world.run(10);
        }
        assertTrue(arrivals.size() <= 17, "arrivals " + arrivals.size());
        beat("i1", false, 0);
        int before = arrivals.size();
        for (int i = 0; i < 100; i++) {
            send(1, 5);
            world.run(10);
        }
        assertEquals(100, arrivals.size() - before, "warm again by its own word");
    }

    @Test
    void aRestartedWeftDoesNotAddToWhatItsLastLifeSentToAColdServer() {
        beat("i1", false, 4500);
        for (int i = 0; i < 90; i++) {
            send(1, 5);
            world.run(10);
        }
        assertEquals(0, arrivals.size(), "the last life may have used up this second");
        for (int i = 0; i < 100; i++) {
            send(1, 5);
            world.run(10);
        }
        assertTrue(arrivals.size() > 5, "after that it serves: " + arrivals.size());
    }

    @Test
    void aServerThatMissesABeatCountsAsCold() {
        beat("i1", false, 0);
        world.run(2400);
        for (int i = 0; i < 60; i++) {
            send(1, 5);
            world.run(10);
        }
        assertTrue(arrivals.size() <= 17, "arrivals " + arrivals.size());
    }

    @Test
    void aDrainingServerIsClosedWellWithinTheBound() {
        beat("i1", false, 0);
        beat("i1", true, 0);
        assertFalse(gate.isAccepting());
        world.run(1200);
        send(1, 5);
        assertEquals("draining", refused.get(0).reason());
    }

    @Test
    void aServerFirstHeardOfWhileDrainingGetsNothing() {
        beat("i1", true, 0);
        send(1, 5);
        assertEquals("draining", refused.get(0).reason());
    }

    @Test
    void lateBeatsAndBeatsOfEndedLivesHaveNoEffect() {
        beat("i1", false, 0);
        beat("i2", false, 0);
        beat("i1", false, 0);
        assertEquals("i2", gate.serverId());
        assertNull(gate.onHeartbeat(new Heartbeat("i2", "desk", "10.0.1.1:9000", "a", 6, true, 0, 1)));
        assertTrue(gate.isAccepting(), "an old callSeq does not drain");
        assertNotNull(gate.onHeartbeat(new Heartbeat("i3", "other", "10.0.1.1:9000", "a", 6, false, 0, 99)));
        assertNotNull(gate.onHeartbeat(new Heartbeat("i3", "desk", "10.9.9.9:9000", "a", 6, false, 0, 99)));
    }

    /** Where this process does not remember the lives before, a late beat of an old one looks new; the server's own word counts. */
    @Test
    void aServerThatGoesOnBeatingComesBackAfterALateBeatOfItsLastLife() {
        beat("i2", false, 0);
        beat("i1", false, 0);
        assertEquals("i1", gate.serverId());
        assertNull(gate.onHeartbeat(new Heartbeat("i2", "desk", "10.0.1.1:9000", "a", 6, false, 0, 1)));
        gate.markUnreachable("i1");
        assertNull(gate.onHeartbeat(new Heartbeat("i2", "desk", "10.0.1.1:9000", "a", 6, false, 0, 1)));
        assertFalse(gate.isAccepting(), "nor does a late beat of the other bring that one back");
        beat("i2", false, 0);
        assertEquals("i2", gate.serverId());
        assertTrue(gate.isAccepting());
    }

    @Test
    void aLastLifeThatSaidItIsDrainingOrHasLeftIsNeverTakenBack() {
        beat("i0", false, 0);
        beat("i0", true, 0);
        beat("i1", false, 0);
        beat("i2", false, 0);
        beat("i3", false, 0);
        beat("i1", true, 0);
        gate.onServerLeft("i2");
        gate.markUnreachable("i3");
        beat("i0", false, 0);
        beat("i1", false, 0);
        beat("i2", false, 0);
        assertFalse(gate.isAccepting());
        beat("i3", false, 0);
        assertEquals("i3", gate.serverId());
    }

    @Test
    void higherRankGoesFirstAndWithinARankFirstCome() {
        beat("i1", false, 0);
        ArrayDeque<String> order = new ArrayDeque<>();
        List<ServerAdmission.AdmissionTicket> held = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            held.add(gate.admit("r", 1, 600, world.now() + 1500, () -> {}, refused::add));
        }
        gate.admit("r", 2, 600, world.now() + 1000, () -> order.add("second"), refused::add);
        gate.admit("r", 2, 600, world.now() + 900, () -> order.add("third"), refused::add);
        gate.admit("r", 0, 600, world.now() + 1500, () -> order.add("first"), refused::add);
        held.forEach(t -> t.release(false));
        assertEquals(List.of("first", "second", "third"), List.copyOf(order));
    }

    @ParameterizedTest
    @CsvSource({"12,64", "68,176", "91,222", "500,300"})
    void theBudgetsOfAllDaemonsTogetherKeepTheRule(int daemons, double slack) {
        double ratio = 0.2;
        long drawn = 0;
        long requests = 0;
        RetryBudgetLeases owner = new RetryBudgetLeases(machine, slack, 10_000);
        owner.grant("desk", 7);
        world.run(13_000);
        long granted = 0;
        for (int w = 0; w < daemons; w++) {
            RetryBudget b = new RetryBudget(ratio, slack);
            b.setProxyCount(daemons);
            for (int i = 0; i < 50; i++) {
                b.onRequest("desk");
                requests++;
                while (b.tryAcquire("desk", world.now())) {
                    drawn++;
                }
            }
            assertEquals(Set.of("desk"), b.takeExhaustedServices(), "whoever lacks a try asks for one");
            int n = owner.grant("desk", 7);
            granted += n;
            b.leased("desk", n, world.now() + owner.leaseDurationMs());
            while (b.tryAcquire("desk", world.now())) {
                drawn++;
            }
        }
        assertTrue(granted > 0 && granted <= slack / 4, granted + " granted");
        assertTrue(drawn >= granted);
        assertTrue(drawn <= ratio * requests + slack, drawn + " further tries of " + requests);
        assertEquals(0, owner.grant("desk", 8), "a new owner waits until nothing of the old one's can be left");
        world.run(owner.leaseDurationMs());
        RetryBudget late = new RetryBudget(0, 1);
        late.setProxyCount(500);
        late.leased("desk", 1, world.now() - 1);
        assertFalse(late.tryAcquire("desk", world.now()), "a lease ends");
    }

    @Test
    void aServerThatFailsAPartGetsLessAndIsForgivenInTime() {
        beat("i1", false, 0);
        for (int i = 0; i < 40; i++) {
            ServerAdmission.AdmissionTicket[] t = new ServerAdmission.AdmissionTicket[1];
            t[0] = gate.admit("r", 1, 1000, world.now() + 1000, () -> {}, r -> {});
            t[0].recordOutcome(i % 2 == 0);
            t[0].release(false);
        }
        assertTrue(
                gate.reportedFailureRate() >= 0.2 && gate.reportedFailureRate() < 0.8,
                "ill: " + gate.reportedFailureRate());
        assertTrue(gate.isAccepting(), "less, not nothing");
        world.run(15_000);
        gate.check();
        assertEquals(0, gate.reportedFailureRate());
    }

    /** A server that turns five times as slow says so within a few requests. */
    @Test
    void aServerThatTurnsSlowIsToldOfAndForgivenInTime() {
        beat("i1", false, 0);
        for (int i = 0; i < 60; i++) {
            send(1, i % 2 == 0 ? 60 : 90);
            world.run(120);
        }
        assertEquals(0, gate.slownessLevel(), "at its usual pace");
        for (int i = 0; i < 20; i++) {
            send(1, i % 2 == 0 ? 300 : 450);
            world.run(200);
        }
        world.run(1000);
        assertEquals(2, gate.slownessLevel(), "many times slower");
        world.run(10_000);
        gate.check();
        assertEquals(0, gate.slownessLevel(), "and it is tried again");
    }
}
