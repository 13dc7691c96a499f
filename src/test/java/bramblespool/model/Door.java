package bramblespool.model;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.protocol.OperatorRequest;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** A helm as its peers and operators reach it: what its process does with an order, without the HTTP around it. */
final class Door implements PeerTransport.RequestHandler {
    static final String KIND = "operator";

    private final ControllerNode helm;
    private final Play play;

    Door(ControllerNode helm, Play play) {
        this.helm = helm;
        this.play = play;
    }

    @Override
    public void handleRequest(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        if (!kind.equals(KIND)) {
            helm.handleRequest(kind, m, answer);
            return;
        }
        if (!RaftView.leads(helm)) {
            String leader = RaftView.leaderControl(helm);
            answer.accept(leader == null ? status(503) : status(307).put("location", leader));
            return;
        }
        switch (m.path("do").asText()) {
            case "read" ->
                helm.readConfiguration(v -> {
                    if (v != null) {
                        play.history.read(v.epoch(), m.path("began").asLong(), play.step());
                    }
                    answer.accept(
                            v == null
                                    ? status(503)
                                    : status(v.compressedDocument() == null ? 404 : 200)
                                            .put("current", v.epoch()));
                });
            case "evacuate" -> {
                String zone = m.path("zone").asText();
                boolean on = m.path("on").asBoolean();
                helm.evacuate(zone, on, ok -> {
                    if (ok) {
                        play.invariants.evacuationAcknowledged(zone, on);
                    }
                    answer.accept(status(ok ? 200 : 503));
                });
            }
            default -> change(m, answer);
        }
    }

    private void change(JsonNode m, Consumer<ObjectNode> answer) {
        OperatorRequest.ConfigurationChange change;
        try {
            change = OperatorRequest.parseChange(false, m.path("doc").asText().getBytes(StandardCharsets.UTF_8));
        } catch (RoutingConfiguration.InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
        History.Change sent = play.operators.changes.get(m.path("name").asInt());
        helm.submitChange(change, o -> {
            if (o.status() == 200) {
                play.history.taken(sent, play.step());
                play.invariants.acknowledged(sent);
            } else if (o.status() != 503) {
                play.history.refused(sent, o.status(), m.path("began").asLong(), play.step());
            }
            answer.accept(status(o.status()));
        });
    }

    private static ObjectNode status(int code) {
        return JsonNodeFactory.instance.objectNode().put("status", code);
    }
}
