package bramblespool.model;

import bramblespool.coordination.answer.StoredResponse;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.RequestAdmission;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Clients whose requests bear idempotency keys, and the servers behind the proxies: what runs, how often, and how
 * repeats are answered.
 */
final class KeyedClients {
    /** What becomes of a request that is admitted. */
    enum ServerOutcome {
        /** No server takes it: it does not run. */
        REFUSED,
        ANSWERED,
        /** It runs, and its answer is lost. */
        LOST
    }

    /** Within this time, from the sending of the first, a key must not run twice. */
    private static final long KEY_WINDOW_MS = 60_000;

    private static final long DEADLINE_MS = 1200;
    private static final long ADMISSION_TIMEOUT_MS = 400;
    private static final long RUN_MS = 50;
    /** A repeat may find the key still in progress for so long after the answer. */
    private static final long IN_PROGRESS_GRACE_MS = 1000;
    /** An answer need not be known any more where its proxy was disturbed for so long after it. */
    private static final long ANSWER_GRACE_MS = 2000;

    private static final int TENANTS = 24;
    private static final int IN_PROGRESS = 409;
    private static final int UNKNOWN_OUTCOME = 502;

    private record GivenAnswer(String proxyPeer, long atMs) {}

    /** One execution at a server. */
    private static final class Run {
        final long sentMs;
        final String body;
        /** The proxies that have given its answer, and when. */
        final List<GivenAnswer> answers = new ArrayList<>();

        Run(long sentMs, String body) {
            this.sentMs = sentMs;
            this.body = body;
        }
    }

    private final SimulatedMesh mesh;
    private final Schedule schedule;
    private final long startMs;
    private final Map<Integer, List<Run>> runsByKey = new HashMap<>();
    private int replayCount;

    KeyedClients(SimulatedMesh mesh, Schedule schedule) {
        this.mesh = mesh;
        this.schedule = schedule;
        this.startMs = mesh.simulator.nowMs();
    }

    /** How many repeats got a stored answer. */
    int replayCount() {
        return replayCount;
    }

    /** How often a key ran. */
    int runCount(int key) {
        return runsByKey.getOrDefault(key, List.of()).size();
    }

    /** Sends a request to a proxy; nothing happens where none runs there. */
    void attempt(String peer, int key, ServerOutcome outcome) {
        DataPlaneNode proxy = mesh.sidecars.get(peer);
        SimulatedMachine machine = mesh.simulator.machine(peer);
        if (proxy == null || !machine.isUp()) {
            return;
        }
        String tenant = "t" + key % TENANTS;
        RequestAdmission.AdmissionRequest request = new RequestAdmission.AdmissionRequest(
                tenant, null, 1, proxy.admissionClient.registerId(tenant, "k" + key), key);
        proxy.requestAdmission.admit(request, ADMISSION_TIMEOUT_MS, new Attempt(proxy, machine, key, outcome));
    }

    private final class Attempt implements RequestAdmission.AdmissionHandler {
        private final DataPlaneNode proxy;
        private final SimulatedMachine machine;
        private final int key;
        private final ServerOutcome outcome;
        private final long sentMs = mesh.simulator.nowMs();

        Attempt(DataPlaneNode proxy, SimulatedMachine machine, int key, ServerOutcome outcome) {
            this.proxy = proxy;
            this.machine = machine;
            this.key = key;
            this.outcome = outcome;
        }

        @Override
        public void proceed(IdempotencyTable.Operation operation) {
            boolean isLate = mesh.simulator.nowMs() - sentMs > DEADLINE_MS;
            if (isLate || outcome == ServerOutcome.REFUSED) {
                proxy.idempotencyTable.markIdle(operation);
                return;
            }
            Run run = recordRun(key, sentMs);
            machine.schedule(RUN_MS, () -> finish(run, operation));
        }

        private void finish(Run run, IdempotencyTable.Operation operation) {
            if (outcome == ServerOutcome.LOST) {
                proxy.idempotencyTable.markUnknown(operation);
                return;
            }
            run.answers.add(new GivenAnswer(machine.peer, mesh.simulator.nowMs()));
            proxy.idempotencyTable.recordResponse(
                    operation,
                    new StoredResponse(200, List.of("X-Server-Seal", "s"), run.body.getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        public void reject(int status, long retryMs, String reason) {
            if (status == IN_PROGRESS || status == UNKNOWN_OUTCOME) {
                checkRejected(machine.peer, key, sentMs, reason);
            }
        }

        @Override
        public void replay(StoredResponse response) {
            replayCount++;
            checkReplayed(machine.peer, key, sentMs, new String(response.body(), StandardCharsets.UTF_8));
        }
    }

    private Run recordRun(int key, long sentMs) {
        List<Run> runs = runsByKey.computeIfAbsent(key, k -> new ArrayList<>());
        for (Run earlier : runs) {
            if (sentMs < earlier.sentMs + KEY_WINDOW_MS) {
                throw new InvariantViolation(
                        "KeysRunOnce",
                        "key " + key + " runs by requests of " + (earlier.sentMs - startMs) + " and "
                                + (sentMs - startMs));
            }
        }
        Run run = new Run(sentMs, "k" + key + " run " + runs.size());
        runs.add(run);
        return run;
    }

    /** A repeat that begins after a run was answered gets that run's answer, not an earlier one's. */
    private void checkReplayed(String peer, int key, long sentMs, String body) {
        List<Run> runs = runsByKey.getOrDefault(key, List.of());
        Optional<Run> known = runs.stream().filter(run -> run.body.equals(body)).findFirst();
        known.ifPresent(run -> run.answers.add(new GivenAnswer(peer, mesh.simulator.nowMs())));
        Run last = lastAnsweredBefore(key, sentMs);
        boolean isOlder =
                last != null && runs.stream().takeWhile(run -> run != last).anyMatch(run -> run.body.equals(body));
        if (known.isEmpty() || isOlder) {
            throw new InvariantViolation("RepeatsGetTheAnswer", "key " + key + " is answered with " + body);
        }
    }

    /** While nothing is disturbed, a repeat of an answered key gets the answer. */
    private void checkRejected(String peer, int key, long sentMs, String reason) {
        Run last = lastAnsweredBefore(key, sentMs - IN_PROGRESS_GRACE_MS);
        if (last == null || sentMs >= last.sentMs + KEY_WINDOW_MS) {
            return;
        }
        boolean isAskedInTouch = schedule.isQuiet(sentMs - startMs, mesh.simulator.nowMs() - startMs)
                && !isDisturbed(peer, sentMs, mesh.simulator.nowMs());
        for (GivenAnswer answer : last.answers) {
            if (isAskedInTouch && answer.atMs < sentMs - IN_PROGRESS_GRACE_MS && isOwedSince(answer)) {
                throw new InvariantViolation(
                        "AnsweredKeysAreAnswered",
                        "key " + key + ", answered at " + (answer.atMs - startMs) + " by " + answer.proxyPeer
                                + ", is refused at " + (sentMs - startMs) + " by " + peer + ": " + reason);
            }
        }
    }

    /** Whether the proxy that gave an answer was in touch then and for long enough after it. */
    private boolean isOwedSince(GivenAnswer answer) {
        return schedule.isQuiet(answer.atMs - startMs, answer.atMs + ANSWER_GRACE_MS - startMs)
                && !isDisturbed(answer.proxyPeer, answer.atMs, answer.atMs + ANSWER_GRACE_MS);
    }

    private boolean isDisturbed(String peer, long fromMs, long untilMs) {
        for (ScheduleStep step : schedule.steps()) {
            boolean isItsOwn =
                    (step.kind() == ScheduleStep.Kind.WEFT_KILLED || step.kind() == ScheduleStep.Kind.WEFT_CUT)
                            && SimulatedMesh.sidecarPeer(step.argument() % schedule.sidecars())
                                    .equals(peer);
            if (isItsOwn && startMs + step.atMs() <= untilMs && startMs + step.endMs() + Schedule.QUIET_MS > fromMs) {
                return true;
            }
        }
        return false;
    }

    private Run lastAnsweredBefore(int key, long atMs) {
        Run last = null;
        for (Run run : runsByKey.getOrDefault(key, List.of())) {
            if (!run.answers.isEmpty() && run.answers.get(0).atMs < atMs) {
                last = run;
            }
        }
        return last;
    }
}
