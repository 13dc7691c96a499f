package bramblespool.model;

import bramblespool.coordination.controller.ConfigurationReadResult;
import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.controller.EvacuationOutcome;
import bramblespool.protocol.OperatorRequest;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** A controller as its peers and operators reach it: what its process does with an operator's request, without HTTP. */
final class OperatorEndpoint implements PeerTransport.RequestHandler {
    static final String KIND = "operator";

    private final ControllerNode controller;
    private final ScheduleRunner runner;

    OperatorEndpoint(ControllerNode controller, ScheduleRunner runner) {
        this.controller = controller;
        this.runner = runner;
    }

    @Override
    public void handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        if (!kind.equals(KIND)) {
            controller.handleRequest(kind, request, callback);
            return;
        }
        if (!RaftView.isLeader(controller)) {
            String leader = RaftView.leaderControl(controller);
            callback.accept(leader == null ? status(503) : status(307).put("location", leader));
            return;
        }
        switch (request.path("do").asText()) {
            case "read" ->
                controller.readConfiguration(result -> {
                    if (result instanceof ConfigurationReadResult.Unconfirmed) {
                        callback.accept(status(503));
                        return;
                    }
                    boolean isNone = result instanceof ConfigurationReadResult.None;
                    long epoch = isNone
                            ? 0
                            : ((ConfigurationReadResult.Current) result)
                                    .version()
                                    .epoch();
                    runner.history.recordRead(epoch, request.path("began").asLong(), runner.logicalTime());
                    callback.accept(status(isNone ? 404 : 200).put("current", epoch));
                });
            case "evacuate" -> {
                String zone = request.path("zone").asText();
                boolean isEvacuated = request.path("on").asBoolean();
                controller.evacuate(zone, isEvacuated, outcome -> {
                    boolean isCommitted = outcome == EvacuationOutcome.COMMITTED;
                    if (isCommitted) {
                        runner.invariants.onEvacuationAcknowledged(zone, isEvacuated);
                    }
                    callback.accept(status(isCommitted ? 200 : 503));
                });
            }
            default -> change(request, callback);
        }
    }

    private void change(JsonNode request, Consumer<ObjectNode> callback) {
        OperatorRequest.ConfigurationChange change;
        try {
            change = OperatorRequest.parseChange(
                    request.path("amend").asBoolean(),
                    request.path("doc").asText().getBytes(StandardCharsets.UTF_8));
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
        History.Change sent = runner.operators.changes.get(request.path("name").asInt());
        controller.submitChange(change, outcome -> {
            if (outcome.status() == 200) {
                runner.history.recordAcknowledged(sent, runner.logicalTime());
                runner.invariants.onChangeAcknowledged(sent);
            } else if (outcome.status() != 503) {
                runner.history.recordRejected(
                        sent, outcome.status(), request.path("began").asLong(), runner.logicalTime());
            }
            callback.accept(status(outcome.status()));
        });
    }

    private static ObjectNode status(int code) {
        return JsonNodeFactory.instance.objectNode().put("status", code);
    }
}
