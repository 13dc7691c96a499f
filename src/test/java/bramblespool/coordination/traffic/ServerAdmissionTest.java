package bramblespool.coordination.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.protocol.Heartbeat;
import bramblespool.state.EventLog;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.RoutingConfigurationParser;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Admission of requests to one server, on a simulated clock. */
class ServerAdmissionTest {
    private final Simulator simulator = new Simulator(1);
    private final SimulatedMachine machine = simulator.machine("10.0.1.1:7000");
    private final List<Long> arrivals = new ArrayList<>();
    private final List<Rejection> rejections = new ArrayList<>();
    private int running;
    private int maxRunning;
    private long sequence;
    private ServerAdmission admission;

    @BeforeEach
    void boot() {
        machine.boot();
        admission = new ServerAdmission(
                machine,
                new AdmissionSettings(1500, 833, 2500, 1.5, 5),
                "10.0.1.1:9000",
                "desk",
                () -> {},
                EventLog.silent());
        admission.configureSlowStart(8.5, 6000);
    }

    private String heartbeat(String serverId, boolean draining, long warmupLeftMs) {
        return admission.onHeartbeat(
                new Heartbeat(serverId, "desk", "10.0.1.1:9000", "a", 6, draining, warmupLeftMs, ++sequence));
    }

    private void send(int rank, long workMs) {
        AdmissionTicket[] ticket = new AdmissionTicket[1];
        ticket[0] = admission.admit(
                "r",
                rank,
                600,
                simulator.nowMs() + 1500,
                () -> {
                    arrivals.add(simulator.nowMs());
                    running++;
                    maxRunning = Math.max(maxRunning, running);
                    machine.schedule(workMs, () -> {
                        running--;
                        ticket[0].release(true);
                    });
                },
                rejections::add);
    }

    @Test
    void concurrencyNeverExceedsCapacityAndUnmeetableDeadlinesAreRejectedAtOnce() {
        heartbeat("i1", false, 0);
        for (int i = 0; i < 100; i++) {
            send(1, 200);
        }
        int refusedAtOnce = rejections.size();
        assertTrue(refusedAtOnce > 50, "rejected at once: " + refusedAtOnce);
        rejections.forEach(r -> assertTrue(r.retryAfterMs() > 0, "has a time to retry"));
        simulator.run(3000);
        assertEquals(6, maxRunning);
        assertEquals(100, arrivals.size() + rejections.size(), "every request has one outcome");
    }

    @Test
    void slowStartLimitHoldsInEverySecond() {
        heartbeat("i1", false, 6000);
        for (int i = 0; i < 790; i++) {
            send(1, 5);
            simulator.run(7);
        }
        double limit = 8.5 * 1.5 + 5;
        for (int i = 0; i < arrivals.size(); i++) {
            long from = arrivals.get(i);
            long count =
                    arrivals.stream().filter(a -> a >= from && a < from + 1000).count();
            assertTrue(count <= limit, count + " in the second from " + from);
        }
        assertTrue(arrivals.size() > 30, "it still serves: " + arrivals.size());
    }

    /** A server assigned to a gateway after the configuration: its slow start applies here too. */
    @Test
    void admissionCreatedAfterConfigurationHasItsSlowStartLimit() throws InvalidConfigurationException {
        ServerAdmissions admissions = new ServerAdmissions();
        admissions.applyConfiguration(RoutingConfigurationParser.parse(SimulatedMesh.document(5, 0, "one")));
        admission = new ServerAdmission(
                machine,
                new AdmissionSettings(0, 0, 2500, 1.5, 5),
                "10.0.1.1:9000",
                "desk",
                () -> {},
                EventLog.silent());
        admissions.add(admission);
        admission.onRegistryEntry("i1", 6, false, 6000);
        for (int i = 0; i < 100; i++) {
            send(1, 5);
            simulator.run(9);
        }
        assertTrue(!arrivals.isEmpty() && arrivals.size() <= 13 * 1.5 + 5, arrivals.size() + " in a second");
    }

    @Test
    void afterEvacuationServerIsInSlowStartUntilNextHeartbeat() {
        heartbeat("i1", false, 0);
        admission.setEvacuated(true);
        send(1, 5);
        assertEquals("evacuated", rejections.get(0).reason());
        admission.setEvacuated(false);
        for (int i = 0; i < 100; i++) {
            send(1, 5);
            simulator.run(10);
        }
        assertTrue(arrivals.size() <= 17, "arrivals " + arrivals.size());
        heartbeat("i1", false, 0);
        int before = arrivals.size();
        for (int i = 0; i < 100; i++) {
            send(1, 5);
            simulator.run(10);
        }
        assertEquals(100, arrivals.size() - before, "slow start ended by its heartbeat");
    }

    @Test
    void restartedSidecarCountsWhatItsPreviousIncarnationSentInSlowStart() {
        heartbeat("i1", false, 4500);
        for (int i = 0; i < 90; i++) {
            send(1, 5);
            simulator.run(10);
        }
        assertEquals(0, arrivals.size(), "the previous process may have used up this second");
        for (int i = 0; i < 100; i++) {
            send(1, 5);
            simulator.run(10);
        }
        assertTrue(arrivals.size() > 5, "after that it serves: " + arrivals.size());
    }

    @Test
    void missedHeartbeatPutsServerInSlowStart() {
        heartbeat("i1", false, 0);
        simulator.run(2400);
        for (int i = 0; i < 60; i++) {
            send(1, 5);
            simulator.run(10);
        }
        assertTrue(arrivals.size() <= 17, "arrivals " + arrivals.size());
    }

    @Test
    void drainingServerIsClosedWithinBound() {
        heartbeat("i1", false, 0);
        heartbeat("i1", true, 0);
        assertFalse(admission.isAccepting());
        simulator.run(1200);
        send(1, 5);
        assertEquals("draining", rejections.get(0).reason());
    }

    @Test
    void serverFirstSeenDrainingGetsNoRequests() {
        heartbeat("i1", true, 0);
        send(1, 5);
        assertEquals("draining", rejections.get(0).reason());
    }

    @Test
    void lateHeartbeatsAndHeartbeatsOfEndedIncarnationsAreIgnored() {
        heartbeat("i1", false, 0);
        heartbeat("i2", false, 0);
        heartbeat("i1", false, 0);
        assertEquals("i2", admission.serverId());
        assertNull(admission.onHeartbeat(new Heartbeat("i2", "desk", "10.0.1.1:9000", "a", 6, true, 0, 1)));
        assertTrue(admission.isAccepting(), "an old callSeq does not drain");
        assertNotNull(admission.onHeartbeat(new Heartbeat("i3", "other", "10.0.1.1:9000", "a", 6, false, 0, 99)));
        assertNotNull(admission.onHeartbeat(new Heartbeat("i3", "desk", "10.9.9.9:9000", "a", 6, false, 0, 99)));
    }

    /** After a restart a delayed heartbeat of a former server looks new; the heartbeats of the present one decide. */
    @Test
    void liveServerIsRestoredAfterLateHeartbeatOfPreviousIncarnation() {
        heartbeat("i2", false, 0);
        heartbeat("i1", false, 0);
        assertEquals("i1", admission.serverId());
        assertNull(admission.onHeartbeat(new Heartbeat("i2", "desk", "10.0.1.1:9000", "a", 6, false, 0, 1)));
        admission.markUnreachable("i1");
        assertNull(admission.onHeartbeat(new Heartbeat("i2", "desk", "10.0.1.1:9000", "a", 6, false, 0, 1)));
        assertFalse(admission.isAccepting(), "nor does a delayed heartbeat of the other bring that one back");
        heartbeat("i2", false, 0);
        assertEquals("i2", admission.serverId());
        assertTrue(admission.isAccepting());
    }

    @Test
    void drainingOrDepartedIncarnationIsNeverRestored() {
        heartbeat("i0", false, 0);
        heartbeat("i0", true, 0);
        heartbeat("i1", false, 0);
        heartbeat("i2", false, 0);
        heartbeat("i3", false, 0);
        heartbeat("i1", true, 0);
        admission.onServerLeft("i2");
        admission.markUnreachable("i3");
        heartbeat("i0", false, 0);
        heartbeat("i1", false, 0);
        heartbeat("i2", false, 0);
        assertFalse(admission.isAccepting());
        heartbeat("i3", false, 0);
        assertEquals("i3", admission.serverId());
    }

    @Test
    void queueIsOrderedByRankThenArrival() {
        heartbeat("i1", false, 0);
        ArrayDeque<String> order = new ArrayDeque<>();
        List<AdmissionTicket> tickets = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            tickets.add(admission.admit("r", 1, 600, simulator.nowMs() + 1500, () -> {}, rejections::add));
        }
        admission.admit("r", 2, 600, simulator.nowMs() + 1000, () -> order.add("second"), rejections::add);
        admission.admit("r", 2, 600, simulator.nowMs() + 900, () -> order.add("third"), rejections::add);
        admission.admit("r", 0, 600, simulator.nowMs() + 1500, () -> order.add("first"), rejections::add);
        tickets.forEach(t -> t.release(false));
        assertEquals(List.of("first", "second", "third"), List.copyOf(order));
    }

    @ParameterizedTest
    @CsvSource({"12,64", "68,176", "91,222", "500,300"})
    void retryBudgetsOfAllProxiesTogetherStayWithinRule(int proxies, double allowance) {
        double ratio = 0.2;
        long drawn = 0;
        long requests = 0;
        RetryBudgetLeases owner = new RetryBudgetLeases(machine, allowance, 10_000);
        owner.grant("desk", 7);
        simulator.run(13_000);
        long granted = 0;
        for (int proxy = 0; proxy < proxies; proxy++) {
            RetryBudget budget = new RetryBudget(ratio, allowance);
            budget.setProxyCount(proxies);
            for (int i = 0; i < 50; i++) {
                budget.onRequest("desk");
                requests++;
                while (budget.tryAcquire("desk", simulator.nowMs())) {
                    drawn++;
                }
            }
            assertEquals(Set.of("desk"), budget.takeExhaustedServices(), "without a retry one is asked for");
            int leaseSize = owner.grant("desk", 7);
            granted += leaseSize;
            budget.addLease("desk", leaseSize, simulator.nowMs() + owner.leaseDurationMs());
            while (budget.tryAcquire("desk", simulator.nowMs())) {
                drawn++;
            }
        }
        assertTrue(granted > 0 && granted <= allowance / 4, granted + " granted");
        assertTrue(drawn >= granted);
        assertTrue(drawn <= ratio * requests + allowance, drawn + " retries of " + requests);
        assertEquals(0, owner.grant("desk", 8), "a new owner waits until all grants of the old one have expired");
        simulator.run(owner.leaseDurationMs());
        RetryBudget late = new RetryBudget(0, 1);
        late.setProxyCount(500);
        late.addLease("desk", 1, simulator.nowMs() - 1);
        assertFalse(late.tryAcquire("desk", simulator.nowMs()), "a lease expires");
    }

    @Test
    void partlyFailingServerIsDownweightedAndRecovers() {
        heartbeat("i1", false, 0);
        for (int i = 0; i < 40; i++) {
            AdmissionTicket[] ticket = new AdmissionTicket[1];
            ticket[0] = admission.admit("r", 1, 1000, simulator.nowMs() + 1000, () -> {}, r -> {});
            ticket[0].recordOutcome(i % 2 == 0);
            ticket[0].release(false);
        }
        assertTrue(
                admission.reportedFailureRate() >= 0.2 && admission.reportedFailureRate() < 0.8,
                "ill: " + admission.reportedFailureRate());
        assertTrue(admission.isAccepting(), "fewer requests, not none");
        simulator.run(15_000);
        admission.check();
        assertEquals(0, admission.reportedFailureRate());
    }

    /** A server that becomes five times as slow is detected within a few requests. */
    @Test
    void slowServerIsReportedAndRecovers() {
        heartbeat("i1", false, 0);
        for (int i = 0; i < 60; i++) {
            send(1, i % 2 == 0 ? 60 : 90);
            simulator.run(120);
        }
        assertEquals(0, admission.slownessLevel(), "at its usual latency");
        for (int i = 0; i < 20; i++) {
            send(1, i % 2 == 0 ? 300 : 450);
            simulator.run(200);
        }
        simulator.run(1000);
        assertEquals(2, admission.slownessLevel(), "many times slower");
        simulator.run(10_000);
        admission.check();
        assertEquals(0, admission.slownessLevel(), "and the level decays, so that it is tried again");
    }

    @Test
    void cancelledRequestLeavesQueueWithoutCallback() {
        heartbeat("s-1", false, 0);
        List<AdmissionTicket> runningTickets = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            runningTickets.add(admit(() -> {}));
        }
        AdmissionTicket queued = admit(() -> running++);
        assertEquals(7, admission.load());
        queued.cancel();
        assertEquals(6, admission.load());
        runningTickets.forEach(ticket -> ticket.release(true));
        simulator.run(5000);
        assertEquals(0, running, "it never started");
        assertEquals(List.of(), rejections);
        assertNull(queued.serverId());
    }

    @Test
    void slownessShowsThoughEveryClientLeavesEarly() {
        heartbeat("s-1", false, 0);
        for (int i = 0; i < 20; i++) {
            AdmissionTicket ticket = admit(() -> {});
            simulator.run(20);
            ticket.release(true);
        }
        assertEquals(0, admission.slownessLevel());
        for (int i = 0; i < 20; i++) {
            AdmissionTicket ticket = admit(() -> {});
            simulator.run(100);
            ticket.releaseCancelled();
        }
        assertEquals(2, admission.slownessLevel());
        assertEquals(0, admission.load());
    }

    @Test
    void earlyCancellationIsNoSampleOfLatency() {
        heartbeat("s-1", false, 0);
        for (int i = 0; i < 20; i++) {
            AdmissionTicket ticket = admit(() -> {});
            simulator.run(100);
            ticket.release(true);
        }
        for (int i = 0; i < 200; i++) {
            AdmissionTicket ticket = admit(() -> {});
            simulator.run(1);
            ticket.releaseCancelled();
        }
        AdmissionTicket usual = admit(() -> {});
        simulator.run(100);
        usual.release(true);
        assertEquals(0, admission.slownessLevel(), "100 ms is still usual");
    }

    @Test
    void cancellationIsNotTheFirstSampleOfLatency() {
        heartbeat("s-1", false, 0);
        AdmissionTicket left = admit(() -> {});
        simulator.run(2);
        left.releaseCancelled();
        for (int i = 0; i < 20; i++) {
            AdmissionTicket ticket = admit(() -> {});
            simulator.run(100);
            ticket.release(true);
        }
        assertEquals(0, admission.slownessLevel());
    }

    private AdmissionTicket admit(Runnable onAdmitted) {
        return admission.admit("r", 1, 600, simulator.nowMs() + 1500, onAdmitted, rejections::add);
    }
}
