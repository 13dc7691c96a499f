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

/** A helm as its peers and operators reach it: what its process does with an order, without the HTTP around it. */
final class OperatorEndpoint implements PeerTransport.RequestHandler {
    static final String KIND = "operator";

    private final ControllerNode controller;
    private final ScheduleRunner runner;

    OperatorEndpoint(ControllerNode helm, ScheduleRunner play) {
        this.controller = helm;
        this.runner = play;
    }

    @Override
    public void handleRequest(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        if (!kind.equals(KIND)) {
            controller.handleRequest(kind, m, answer);
            return;
        }
        if (!RaftView.isLeader(controller)) {
            String leader = RaftView.leaderControl(controller);
            answer.accept(leader == null ? status(503) : status(307).put("location", leader));
            return;
        }
        switch (m.path("do").asText()) {
            case "read" ->
                controller.readConfiguration(result -> {
                    if (result instanceof ConfigurationReadResult.Unconfirmed) {
                        answer.accept(status(503));
                        return;
                    }
                    boolean isNone = result instanceof ConfigurationReadResult.None;
                    long epoch = isNone
                            ? 0
                            : ((ConfigurationReadResult.Current) result)
                                    .version()
                                    .epoch();
                    runner.history.recordRead(epoch, m.path("began").asLong(), runner.logicalTime());
                    answer.accept(status(isNone ? 404 : 200).put("current", epoch));
                });
            case "evacuate" -> {
                String zone = m.path("zone").asText();
                boolean on = m.path("on").asBoolean();
                controller.evacuate(zone, on, outcome -> {
                    boolean ok = outcome == EvacuationOutcome.COMMITTED;
                    if (ok) {
                        runner.invariants.onEvacuationAcknowledged(zone, on);
                    }
                    answer.accept(status(ok ? 200 : 503));
                });
            }
            default -> change(m, answer);
        }
    }

    private void change(JsonNode request, Consumer<ObjectNode> answer) {
        OperatorRequest.ConfigurationChange change;
        try {
            change = OperatorRequest.parseChange(
                    false, request.path("doc").asText().getBytes(StandardCharsets.UTF_8));
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
            answer.accept(status(outcome.status()));
        });
    }

    private static ObjectNode status(int code) {
        return JsonNodeFactory.instance.objectNode().put("status", code);
    }
}
