package bramblespool.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** What must hold of requests with idempotency keys: a seed is shorter than a key's window. */
final class KeyedChecks {
    private static final int SUCCESS = 200;
    private static final int IN_PROGRESS = 409;
    private static final int UNKNOWN_OUTCOME = 502;
    private static final long ANSWER_GRACE_NS = TimeUnit.SECONDS.toNanos(2);
    private static final long REPEAT_GRACE_NS = TimeUnit.SECONDS.toNanos(1);
    /** Half of {@code quiet}: around it a disturbance of a process counts. */
    private static final long MARGIN_NS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final SoakMesh mesh;
    private final List<String> violations = new ArrayList<>();

    private KeyedChecks(SoakMesh mesh) {
        this.mesh = mesh;
    }

    static List<String> violations(SoakMesh mesh, SoakKeyedTraffic traffic) {
        Map<String, List<SoakKeyedTraffic.Request>> requestsByKey = new TreeMap<>();
        for (SoakKeyedTraffic.Request request : traffic.requests()) {
            requestsByKey
                    .computeIfAbsent(request.key(), key -> new ArrayList<>())
                    .add(request);
        }
        KeyedChecks checks = new KeyedChecks(mesh);
        requestsByKey.forEach(checks::check);
        return checks.violations;
    }

    private void check(String key, List<SoakKeyedTraffic.Request> requests) {
        int runs = mesh.ledger.runsOf(key).size();
        if (runs > 1) {
            violations.add(key + " ran " + runs + " times");
        }
        List<SoakKeyedTraffic.Request> answered =
                requests.stream().filter(request -> request.status() == SUCCESS).toList();
        long bodies =
                answered.stream().map(SoakKeyedTraffic.Request::body).distinct().count();
        if (bodies > 1) {
            violations.add(key + " got " + bodies + " answers");
        }
        for (SoakKeyedTraffic.Request request : requests) {
            boolean isRefused = request.status() == IN_PROGRESS || request.status() == UNKNOWN_OUTCOME;
            if (isRefused && answered.stream().anyMatch(first -> isAnswerOwed(first, request))) {
                violations.add(key + " was answered and is refused " + request.status() + " at "
                        + mesh.sidecars.get(request.sidecar()).ip);
            }
        }
    }

    /** Whether a repeat comes late enough after an answer, and whether everybody who has to know it is in touch. */
    private boolean isAnswerOwed(SoakKeyedTraffic.Request first, SoakKeyedTraffic.Request repeat) {
        return repeat.startedNs() - first.endedNs() > REPEAT_GRACE_NS
                && isUndisturbed(first.sidecar(), first.startedNs(), first.endedNs() + ANSWER_GRACE_NS)
                && isUndisturbed(repeat.sidecar(), repeat.startedNs(), repeat.endedNs());
    }

    private boolean isUndisturbed(int sidecar, long fromNs, long toNs) {
        return !mesh.sidecars.get(sidecar).wasDisturbed(fromNs - MARGIN_NS, toNs + MARGIN_NS)
                && mesh.controllers.stream()
                        .noneMatch(controller -> controller.wasDisturbed(fromNs - MARGIN_NS, toNs + MARGIN_NS));
    }
}
