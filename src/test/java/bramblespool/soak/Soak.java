package bramblespool.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Plays seeds of the soak and checks each. From the command line: {@code Soak FIRST_SEED SEEDS SECONDS}; prints a line
 * for each seed and exits with 1 where any has failed.
 */
public final class Soak {
    /** Runs that last this long after their client has left count as going on; half of {@code quiet}. */
    private static final long WORK_AFTER_CLOSE_MS = 1500;
    /** Around a disturbance of a process nothing is held against it. */
    private static final long DISTURBANCE_MARGIN_MS = 500;

    private Soak() {}

    /** What a seed brought: counts for the log, and violations, none of which may be there. */
    record Report(int requests, int answered, int left, int keyed, int faults, int changes, List<String> violations) {}

    /** Plays the seeds that the arguments name. */
    public static void main(String[] arguments) throws Exception {
        long firstSeed = Long.parseLong(arguments[0]);
        int seeds = Integer.parseInt(arguments[1]);
        boolean hasFailed = false;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            Path directory = Files.createTempDirectory("soak");
            Report report = play(seed, TimeUnit.SECONDS.toMillis(Long.parseLong(arguments[2])), directory);
            System.out.println(
                    "seed " + seed + ": " + report + (report.violations.isEmpty() ? "" : " in " + directory));
            hasFailed |= !report.violations.isEmpty();
        }
        System.exit(hasFailed ? 1 : 0);
    }

    static Report play(long seed, long durationMs, Path directory) throws Exception {
        try (SoakMesh mesh = new SoakMesh(directory, seed)) {
            mesh.start();
            SoakTraffic traffic = new SoakTraffic(mesh);
            SoakKeyedTraffic keyedTraffic = new SoakKeyedTraffic(mesh);
            SoakOperator operator = new SoakOperator(mesh, seed);
            SoakFaults faults = new SoakFaults(mesh, seed);
            traffic.start(seed);
            keyedTraffic.start(seed);
            operator.start();
            faults.play(durationMs);
            operator.stop();
            traffic.stop();
            keyedTraffic.stop();
            List<String> violations = new ArrayList<>(operator.violations());
            violations.addAll(KeyedChecks.violations(mesh, keyedTraffic));
            long epoch = operator.readBack();
            if (epoch < operator.acknowledged()) {
                violations.add("read back " + epoch + ", acknowledged was " + operator.acknowledged());
            }
            return check(mesh, traffic, keyedTraffic.requests().size(), faults, operator, violations);
        }
    }

    private static Report check(
            SoakMesh mesh,
            SoakTraffic traffic,
            int keyedRequests,
            SoakFaults faults,
            SoakOperator operator,
            List<String> violations)
            throws IOException {
        int answered = 0;
        int left = 0;
        for (SoakTraffic.Request request : traffic.requests()) {
            answered += request.end() == SoakTraffic.End.ANSWERED ? 1 : 0;
            left += request.end() == SoakTraffic.End.LEFT ? 1 : 0;
            checkAnswer(mesh, request, violations);
            checkRuns(mesh, request, violations);
        }
        violations.addAll(mesh.faultLines());
        return new Report(
                traffic.requests().size(),
                answered,
                left,
                keyedRequests,
                faults.count(),
                operator.changes(),
                violations);
    }

    private static boolean wasDisturbed(SoakProcess process, long fromNs, long toNs) {
        long marginNs = TimeUnit.MILLISECONDS.toNanos(DISTURBANCE_MARGIN_MS);
        return process.wasDisturbed(fromNs - marginNs, toNs + marginNs);
    }

    /** A client that stays gets an answer from a process that nobody disturbs. */
    private static void checkAnswer(SoakMesh mesh, SoakTraffic.Request request, List<String> violations) {
        boolean isUnanswered = request.end() == SoakTraffic.End.CLOSED || request.end() == SoakTraffic.End.SILENT;
        SoakProcess sidecar = mesh.sidecars.get(request.sidecar());
        if (isUnanswered && !wasDisturbed(sidecar, request.startedNs(), request.endedNs())) {
            violations.add(request.id() + " at " + sidecar.ip + ": " + request.end());
        }
    }

    private static void checkRuns(SoakMesh mesh, SoakTraffic.Request request, List<String> violations) {
        var runs = mesh.ledger.runsOf(request.id());
        if (!request.isIdempotent() && runs.size() > 1) {
            violations.add(request.id() + " ran " + runs.size() + " times");
        }
        if (!request.isIdempotent() && (request.status() == 503 || request.status() == 429) && !runs.isEmpty()) {
            violations.add(request.id() + " was promised not to run and ran");
        }
        if (request.end() != SoakTraffic.End.LEFT) {
            return;
        }
        long limitNs = request.endedNs() + TimeUnit.MILLISECONDS.toNanos(WORK_AFTER_CLOSE_MS);
        for (SoakServer.Run run : runs) {
            long lastNs = run.endedNs < 0 ? System.nanoTime() : run.endedNs;
            boolean isLate = run.startedNs - limitNs > 0 || request.isIdempotent() && lastNs - limitNs > 0;
            if (isLate
                    && !wasDisturbed(mesh.sidecars.get(request.sidecar()), request.startedNs(), lastNs)
                    && !wasDisturbed(mesh.sidecars.get(run.server), request.startedNs(), lastNs)) {
                violations.add(request.id() + " was worked on after its client had left");
            }
        }
    }
}
