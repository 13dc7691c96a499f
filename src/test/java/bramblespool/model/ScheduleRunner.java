package bramblespool.model;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import java.util.ArrayList;
import java.util.List;

/** One schedule, played from an empty mesh until it is calm again, with all that must hold checked on the way. */
final class ScheduleRunner {
    private static final int FIRST_ORDER = 1000;
    private static final int LAST_ORDER = 1001;
    private static final int FIRST_BULK_ORDER = 2000;
    /**
     * How often a leader is looked for after the last fault, and what an operator's own hops may take beyond {@code
     * ack}.
     */
    private static final long HOP_MS = 100;

    private final Schedule schedule;
    final SimulatedMesh mesh;
    final Simulator simulator;
    final History history = new History();
    final Invariants invariants;
    final OperatorClient operators;
    private final KeyedClients keyedClients;
    /** All controllers so far, by number; null where one is gone for good. */
    private final List<String> controllers = new ArrayList<>();

    private String leader;
    private String previousLeader;
    private int nextBulkOrder = FIRST_BULK_ORDER;
    /** What begins as soon as another controller leads. */
    private final List<Runnable> onLeaderChange = new ArrayList<>();

    private ScheduleRunner(Schedule schedule) {
        this.schedule = schedule;
        mesh = new SimulatedMesh(
                schedule.seed(), schedule.controllers(), schedule.sidecars(), schedule.toleratedLosses(), null);
        simulator = mesh.simulator;
        invariants = new Invariants(mesh, history, schedule.toleratedLosses());
        operators = new OperatorClient(
                simulator,
                () -> controllers.stream()
                        .filter(controller -> controller != null)
                        .toList(),
                history);
        keyedClients = new KeyedClients(mesh, schedule);
        simulator.observer = invariants;
        simulator.accountsForSize = schedule.steps().stream().anyMatch(s -> s.kind() == ScheduleStep.Kind.SLOW_LINK);
        simulator.resendProbability = 0.5;
        mesh.controllers.forEach((peer, controller) -> {
            controllers.add(peer);
            serve(peer, controller);
        });
        leader = controllers.get(0);
        previousLeader = leader;
        simulator.afterEach = this::afterEach;
    }

    /** Plays it; what is broken comes as null or as the breach. */
    static InvariantViolation runSchedule(Schedule schedule) {
        return new ScheduleRunner(schedule).run();
    }

    long logicalTime() {
        return simulator.logicalTime();
    }

    private void serve(String peer, ControllerNode controller) {
        simulator.machine(peer).disk.mayLoseUnacknowledged = true;
        simulator.machine(peer).serve(new OperatorEndpoint(controller, this));
    }

    private void afterEach() {
        invariants.check();
        ControllerNode controller = mesh.leader();
        if (controller != null) {
            String leaderPeer = RaftView.addressOf(RaftView.memberId(controller));
            if (!leaderPeer.equals(leader)) {
                previousLeader = leader;
                leader = leaderPeer;
                List<Runnable> actions = List.copyOf(onLeaderChange);
                onLeaderChange.clear();
                actions.forEach(Runnable::run);
            }
        }
    }

    private InvariantViolation run() {
        try {
            operators.submitChange(FIRST_ORDER, 5, controllers.get(0), e -> {});
            long startMs = simulator.nowMs();
            schedule.steps().forEach(s -> simulator.scheduleEvent(s.atMs(), () -> apply(s)));
            simulator.run(schedule.endMs() + Schedule.QUIET_MS);
            checkRecovery(startMs);
            return null;
        } catch (InvariantViolation broken) {
            return broken;
        } catch (RuntimeException e) {
            StackTraceElement[] at = e.getStackTrace();
            return new InvariantViolation("NothingThrows", e + (at.length > 0 ? " at " + at[0] : ""));
        }
    }

    // ---- the end

    private void checkRecovery(long startMs) {
        OperatorClient.OperatorCall lastOrder = operators.submitChange(LAST_ORDER, 3, controllerFor("?"), call -> {});
        OperatorClient.OperatorCall read = operators.read(controllerFor("?"));
        long deadlineMs = simulator.nowMs() + Schedule.ACKNOWLEDGEMENT_MS + HOP_MS;
        while (simulator.nowMs() < deadlineMs && (lastOrder.answeredMs < 0 || read.answeredMs < 0)) {
            simulator.run(HOP_MS);
        }
        for (OperatorClient.OperatorCall call : operators.calls) {
            checkAnsweredWhileQuiet(call, startMs);
        }
        if (lastOrder.status != 200 && lastOrder.status != 412) {
            throw new InvariantViolation(
                    "CalmOrdersAreTaken", lastOrder.description + " is answered " + lastOrder.status);
        }
        history.checkLinearizable();
        long currentVersion = mesh.leader().replicatedState().current().epoch();
        // The version of the newest acknowledgement, unless one whose acknowledgement was lost came after it.
        long applyDeadlineMs = simulator.nowMs() + Schedule.APPLICATION_MS;
        while (simulator.nowMs() < applyDeadlineMs && !all(currentVersion)) {
            simulator.run(HOP_MS);
        }
        for (var sidecar : mesh.sidecars.entrySet()) {
            if (sidecar.getValue().shadowCommit.epoch() < currentVersion) {
                throw new InvariantViolation(
                        "SidesFollowInTime",
                        sidecar.getKey() + " is at "
                                + sidecar.getValue().shadowCommit.epoch() + ", not " + currentVersion);
            }
        }
        operators.acknowledgedEvacuations.forEach((zone, isEvacuated) -> {
            var call = mesh.leader().replicatedState().evacuations().get(zone);
            if (!operators.isEvacuating(zone) && (call != null && call.isEvacuated()) != isEvacuated) {
                throw new InvariantViolation("AcknowledgedIsKept", "evacuation of " + zone + " is not " + isEvacuated);
            }
        });
        operators.stop();
        history.checkLinearizable();
    }

    private boolean all(long epoch) {
        for (DataPlaneNode w : mesh.sidecars.values()) {
            if (w.shadowCommit.epoch() < epoch) {
                return false;
            }
        }
        return true;
    }

    /** Nothing waits longer than {@code ack} for its answer while nothing troubles the core. */
    private void checkAnsweredWhileQuiet(OperatorClient.OperatorCall call, long startMs) {
        long endMs = call.answeredMs >= 0 ? call.answeredMs : simulator.nowMs();
        for (long fromMs = call.startedMs; fromMs + Schedule.ACKNOWLEDGEMENT_MS + HOP_MS <= endMs; fromMs += HOP_MS) {
            if (fromMs - startMs >= Schedule.CATCH_UP_MS
                    && schedule.isQuiet(fromMs - startMs, fromMs - startMs + Schedule.ACKNOWLEDGEMENT_MS)) {
                throw new InvariantViolation(
                        "CalmOrdersAreAnswered",
                        call.description + " waits from " + (call.startedMs - startMs) + " to " + (endMs - startMs)
                                + (call.answeredMs < 0 ? " and on" : "")
                                + (mesh.leader() == null ? ", nobody leads" : "")
                                + ", members "
                                + mesh.controllers.values().stream()
                                        .map(h -> RaftView.memberId(h) + (RaftView.isLeader(h) ? "*" : ""))
                                        .toList()
                                + " voters "
                                + mesh.controllers.values().stream()
                                        .map(RaftView::voters)
                                        .toList());
            }
        }
    }

    // ---- steps

    /** The controller that a step names, or null where there is none. */
    private String controllerFor(String target) {
        switch (target.charAt(0)) {
            case 'L' -> {
                return leader;
            }
            case 'O' -> {
                return previousLeader;
            }
            case 'F', '?' -> {
                List<String> candidates = new ArrayList<>(controllers);
                candidates.removeIf(h -> h == null
                        || target.equals("F")
                                && (h.equals(leader) || !simulator.machine(h).isUp()));
                return candidates.isEmpty() ? null : candidates.get(simulator.random.nextInt(candidates.size()));
            }
            default -> {
                int number = Integer.parseInt(target);
                return number > controllers.size() ? null : controllers.get(number - 1);
            }
        }
    }

    private void apply(ScheduleStep step) {
        switch (step.kind()) {
            case ORDER ->
                operators.submitChange(step.argument(), step.durationMs(), controllerFor(step.target()), e -> {});
            case AMEND -> operators.submitAmendment(step.argument(), step.durationMs(), controllerFor(step.target()));
            case TRY ->
                keyedClients.attempt(
                        SimulatedMesh.sidecarPeer(Integer.parseInt(step.target()) % schedule.sidecars()),
                        step.key(),
                        step.serverOutcome());
            case AGAIN -> operators.resubmit(step.argument(), controllerFor(step.target()));
            case READ -> operators.read(controllerFor(step.target()));
            case EVACUATE ->
                operators.evacuate(
                        SimulatedMesh.ZONES[step.argument() % 10 % 3],
                        step.argument() < 10,
                        controllerFor(step.target()));
            case MANY -> submitMany(step.argument());
            case CHAIN -> onLeaderChange.add(() -> submitChain(step.argument(), step.target()));
            case SPLIT -> split(step);
            case SPARE -> startSpare();
            case ALL_KILLED, ALL_POWER -> all(step, List.of());
            case CLOSING -> {
                List<String> running = new ArrayList<>(mesh.controllers.keySet());
                java.util.Collections.shuffle(running, simulator.random);
                all(step, running.subList(0, Math.min(step.argument(), running.size())));
            }
            case LOSSY -> {
                simulator.lossProbability = step.argument() / 100.0;
                simulator.duplicationProbability = simulator.lossProbability;
                simulator.maxExtraDelayMs = step.argument() * 10L;
                simulator.scheduleEvent(step.durationMs(), () -> {
                    simulator.lossProbability = 0;
                    simulator.duplicationProbability = 0;
                    simulator.maxExtraDelayMs = 0;
                });
            }
            case MUTE -> {
                List<String> controllerPeers = List.copyOf(mesh.controllers.keySet());
                controllerPeers.forEach(h -> simulator.setLinkCut(h, OperatorClient.PEER, true));
                simulator.scheduleEvent(
                        step.durationMs(),
                        () -> controllerPeers.forEach(h -> simulator.setLinkCut(h, OperatorClient.PEER, false)));
            }
            case WEFT_KILLED, WEFT_CUT -> applyToSidecar(step);
            default -> {
                String peer = controllerFor(step.target());
                if (peer != null && simulator.machine(peer).isUp()) {
                    applyToMachine(step, peer, simulator.machine(peer));
                }
            }
        }
    }

    private void applyToMachine(ScheduleStep step, String peer, SimulatedMachine machine) {
        switch (step.kind()) {
            case CUT -> {
                for (String controller : controllers) {
                    if (controller != null && !controller.equals(peer)) {
                        cut(peer, controller, step);
                    }
                }
            }
            case ISOLATE -> {
                simulator.setIsolated(peer, true);
                simulator.scheduleEvent(step.durationMs(), () -> simulator.setIsolated(peer, false));
            }
            case LINK_CUT -> {
                String other = controllerFor(String.valueOf(step.argument()));
                if (other != null && !other.equals(peer)) {
                    cut(
                            peer,
                            other,
                            new ScheduleStep(
                                    step.atMs(),
                                    step.kind(),
                                    step.target(),
                                    step.durationMs(),
                                    simulator.random.nextInt(3)));
                }
            }
            case FREEZE -> machine.freeze(step.durationMs(), step.argument() > 0);
            case KILL, POWER -> {
                kill(peer, step.kind() == ScheduleStep.Kind.POWER);
                simulator.scheduleEvent(step.durationMs(), () -> boot(peer));
            }
            case WIPE -> {
                kill(peer, true);
                invariants.onDiskWiped(machine);
                machine.disk.wipe();
                simulator.scheduleEvent(step.durationMs(), () -> boot(peer));
            }
            case REPLACE -> {
                kill(peer, true);
                invariants.onDiskWiped(machine);
                machine.disk.wipe();
                controllers.set(controllers.indexOf(peer), null);
                simulator.scheduleEvent(step.durationMs(), this::startSpare);
            }
            case LEAVE -> {
                ControllerNode controller = mesh.controllers.get(peer);
                controller.leave();
                simulator.scheduleEvent(
                        120, () -> finishLeaving(peer, controller, step, simulator.nowMs() + ScheduleStep.GRACE_MS));
            }
            case SLOW_DISK -> {
                machine.disk.extraSyncMs = step.argument();
                simulator.scheduleEvent(step.durationMs(), () -> machine.disk.extraSyncMs = 0);
            }
            case HANGING_DISK -> machine.disk.hangsUntilMs = simulator.nowMs() + step.durationMs();
            case FULL_DISK -> {
                machine.disk.isFull = true;
                simulator.scheduleEvent(step.durationMs(), () -> machine.disk.isFull = false);
            }
            case SLOW_LINK -> {
                machine.linkBytesPerMs = step.argument();
                simulator.scheduleEvent(step.durationMs(), () -> machine.linkBytesPerMs = 0);
            }
            case CLOCK -> {
                machine.clockSkewMs += step.argument();
                simulator.scheduleEvent(step.durationMs(), () -> machine.clockSkewMs -= step.argument());
            }
            default -> throw new IllegalStateException(step.toString());
        }
    }

    /** A process that is shutting down ends when the group can do without it, or when its time is up. */
    private void finishLeaving(String peer, ControllerNode controller, ScheduleStep step, long deadlineMs) {
        if (mesh.controllers.get(peer) != controller) {
            return;
        }
        if (controller.hasLeft() || simulator.nowMs() >= deadlineMs) {
            controller.stop();
            kill(peer, false);
            simulator.scheduleEvent(step.durationMs(), () -> boot(peer));
        } else {
            simulator.scheduleEvent(10, () -> finishLeaving(peer, controller, step, deadlineMs));
        }
    }

    private void cut(String peer, String otherPeer, ScheduleStep step) {
        if (step.argument() != 2) {
            simulator.setLinkCut(peer, otherPeer, true);
            simulator.scheduleEvent(step.durationMs(), () -> simulator.setLinkCut(peer, otherPeer, false));
        }
        if (step.argument() != 1) {
            simulator.setLinkCut(otherPeer, peer, true);
            simulator.scheduleEvent(step.durationMs(), () -> simulator.setLinkCut(otherPeer, peer, false));
        }
    }

    private void split(ScheduleStep step) {
        for (int i = 0; i < controllers.size(); i++) {
            for (int k = 0; k < controllers.size(); k++) {
                if ((step.argument() >> i & 1) == 1
                        && (step.argument() >> k & 1) == 0
                        && controllers.get(i) != null
                        && controllers.get(k) != null) {
                    cut(
                            controllers.get(i),
                            controllers.get(k),
                            new ScheduleStep(step.atMs(), step.kind(), step.target(), step.durationMs(), 0));
                }
            }
        }
    }

    private void kill(String peer, boolean losesPower) {
        if (simulator.machine(peer).isUp()) {
            mesh.killController(peer, losesPower);
            simulator.machine(peer).isPoweredOff = losesPower;
        }
    }

    private void boot(String peer) {
        if (controllers.contains(peer) && !simulator.machine(peer).isUp()) {
            mesh.startController(peer, false);
            serve(peer, mesh.controllers.get(peer));
        }
    }

    private void startSpare() {
        String peer = SimulatedMesh.controllerPeer(controllers.size());
        controllers.add(peer);
        boot(peer);
    }

    private void all(ScheduleStep step, List<String> wiped) {
        for (String peer : List.copyOf(mesh.controllers.keySet())) {
            kill(peer, step.kind() != ScheduleStep.Kind.ALL_KILLED);
            if (wiped.contains(peer)) {
                invariants.onDiskWiped(simulator.machine(peer));
                simulator.machine(peer).disk.wipe();
            }
            simulator.scheduleEvent(step.durationMs() - simulator.random.nextInt(300), () -> boot(peer));
        }
    }

    private void applyToSidecar(ScheduleStep step) {
        String peer = SimulatedMesh.sidecarPeer(step.argument() % schedule.sidecars());
        if (step.kind() == ScheduleStep.Kind.WEFT_CUT) {
            simulator.setIsolated(peer, true);
            simulator.scheduleEvent(step.durationMs(), () -> simulator.setIsolated(peer, false));
        } else if (simulator.machine(peer).isUp()) {
            mesh.killSidecar(peer);
            simulator.scheduleEvent(step.durationMs(), () -> {
                if (!simulator.machine(peer).isUp()) {
                    mesh.startSidecar(peer);
                }
            });
        }
    }

    private void submitChain(int remaining, String target) {
        if (remaining > 0) {
            operators.submitChange(nextBulkOrder++, 1, controllerFor(remaining % 2 == 0 ? "L" : target), e -> {
                if (simulator.random.nextBoolean()) {
                    operators.read(controllerFor(target));
                }
                submitChain(remaining - 1, target);
            });
        }
    }

    private void submitMany(int remaining) {
        if (remaining > 0) {
            operators.submitChange(nextBulkOrder++, 1, controllerFor("?"), e -> submitMany(remaining - 1));
        }
    }
}
