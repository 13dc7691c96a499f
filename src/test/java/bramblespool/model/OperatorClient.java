package bramblespool.model;

import bramblespool.protocol.OperatorRequest;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The operators: each request goes to controller after controller, the same bytes, until it has a clear answer. */
final class OperatorClient {
    static final String PEER = "10.8.0.1:7000";
    /** Silence after which another controller is asked, and the backoff before that. */
    private static final long TIMEOUT_MS = 1000;

    private static final long FIRST_BACKOFF_MS = 50;
    private static final long MAX_BACKOFF_MS = 800;
    private static final int MAX_REDIRECTS = 2;

    /** One call of an operator until its clear answer. */
    static final class OperatorCall {
        final String description;
        final ObjectNode message;
        final long startedMs;
        /** When its clear answer came, or -1. */
        long answeredMs = -1;

        int status;

        private OperatorCall(String description, ObjectNode message, long startedMs) {
            this.description = description;
            this.message = message;
            this.startedMs = startedMs;
        }
    }

    private final Simulator simulator;
    private final SimulatedMachine machine;
    private final Supplier<List<String>> controllers;
    private final History history;
    final List<OperatorCall> calls = new ArrayList<>();
    final Map<Integer, History.Change> changes = new HashMap<>();
    /** What the newest evacuation order that each zone has acknowledged said, and those without a clear answer. */
    final Map<String, Boolean> acknowledgedEvacuations = new HashMap<>();

    private final Map<String, OperatorCall> pendingEvacuations = new HashMap<>();
    /** The newest version that an operator knows. */
    long knownVersion;

    private int markCount;
    private boolean isStopped;

    OperatorClient(Simulator world, Supplier<List<String>> controllers, History history) {
        this.simulator = world;
        this.controllers = controllers;
        this.history = history;
        machine = world.machine(PEER);
        machine.boot();
        machine.serve((kind, m, answer) -> answer.accept(null));
    }

    /** Whatever is under way is given up. */
    void stop() {
        isStopped = true;
    }

    /** {@code to}: the controller to ask first. */
    OperatorCall submitChange(int name, long increment, String controller, Consumer<OperatorCall> onDone) {
        long number = knownVersion + increment;
        String document = SimulatedMesh.document(number, knownVersion, "p" + name);
        return submit(name, number, document, false, controller, onDone);
    }

    /** As {@link #submitChange}; the change adds a route to those of the version that it is based on. */
    OperatorCall submitAmendment(int name, long increment, String controller) {
        long number = knownVersion + increment;
        String document = SimulatedMesh.amendmentDocument(number, knownVersion, "p" + name);
        return submit(name, number, document, true, controller, call -> {});
    }

    private OperatorCall submit(
            int name,
            long number,
            String document,
            boolean isAmendment,
            String controller,
            Consumer<OperatorCall> onDone) {
        String digest;
        try {
            digest = OperatorRequest.parseChange(isAmendment, document.getBytes(StandardCharsets.UTF_8))
                    .digest();
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
        History.Change change = new History.Change(name, knownVersion, number, document, isAmendment, digest);
        changes.put(name, change);
        return send(change, controller, onDone);
    }

    OperatorCall resubmit(int name, String controller) {
        History.Change change = changes.get(name);
        return change == null ? null : send(change, controller, e -> {});
    }

    private OperatorCall send(History.Change change, String controller, Consumer<OperatorCall> onDone) {
        ObjectNode message = JsonNodeFactory.instance
                .objectNode()
                .put("do", "replace")
                .put("name", change.name)
                .put("amend", change.isAmendment)
                .put("doc", change.document);
        return startCall(change.toString(), message, controller, call -> {
            if (call.status == 200) {
                knownVersion = Math.max(knownVersion, change.number);
            }
            onDone.accept(call);
        });
    }

    OperatorCall read(String controller) {
        return startCall("read", JsonNodeFactory.instance.objectNode().put("do", "read"), controller, e -> {});
    }

    void evacuate(String zone, boolean isEvacuated, String controller) {
        if (pendingEvacuations.containsKey(zone)) {
            return;
        }
        pendingEvacuations.put(
                zone,
                startCall(
                        "evacuate " + zone,
                        JsonNodeFactory.instance
                                .objectNode()
                                .put("do", "evacuate")
                                .put("zone", zone)
                                .put("on", isEvacuated),
                        controller,
                        e -> {
                            pendingEvacuations.remove(zone);
                            acknowledgedEvacuations.put(zone, isEvacuated);
                        }));
    }

    boolean isEvacuating(String zone) {
        return pendingEvacuations.containsKey(zone);
    }

    private OperatorCall startCall(
            String description, ObjectNode message, String controller, Consumer<OperatorCall> onDone) {
        OperatorCall call = new OperatorCall(description, message, simulator.nowMs());
        calls.add(call);
        attempt(call, controller == null ? nextController(null) : controller, FIRST_BACKOFF_MS, MAX_REDIRECTS, onDone);
        return call;
    }

    private void attempt(
            OperatorCall call,
            String controller,
            long backoffMs,
            int remainingRedirects,
            Consumer<OperatorCall> onDone) {
        if (isStopped) {
            return;
        }
        long startedStep = simulator.logicalTime();
        if (call.message.has("name")) {
            history.recordSent(changes.get(call.message.path("name").asInt()), startedStep);
        }
        ObjectNode message = call.message.deepCopy().put("began", startedStep).put("mark", ++markCount);
        machine.call(
                controller,
                OperatorEndpoint.KIND,
                message,
                TIMEOUT_MS,
                a -> onAnswer(call, controller, backoffMs, remainingRedirects, a, onDone));
    }

    private void onAnswer(
            OperatorCall call,
            String controller,
            long backoffMs,
            int remainingRedirects,
            JsonNode answer,
            Consumer<OperatorCall> onDone) {
        int status = answer == null ? 0 : answer.path("status").asInt();
        if (status == 307 && remainingRedirects > 0) {
            attempt(
                    call,
                    answer.path("location").asText().replace(":8000", ":7000"),
                    backoffMs,
                    remainingRedirects - 1,
                    onDone);
        } else if (status == 0 || status == 307 || status == 503) {
            machine.schedule(
                    backoffMs,
                    () -> attempt(
                            call,
                            nextController(controller),
                            Math.min(MAX_BACKOFF_MS, backoffMs * 2),
                            MAX_REDIRECTS,
                            onDone));
        } else if (call.answeredMs < 0) {
            call.answeredMs = simulator.nowMs();
            call.status = status;
            if (status == 200) {
                knownVersion = Math.max(knownVersion, answer.path("current").asLong());
            }
            onDone.accept(call);
        }
    }

    private String nextController(String previous) {
        List<String> candidates = new ArrayList<>(controllers.get());
        if (candidates.size() > 1) {
            candidates.remove(previous);
        }
        return candidates.get(simulator.random.nextInt(candidates.size()));
    }
}
