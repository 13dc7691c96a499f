package bramblespool.model;

import bramblespool.protocol.OperatorRequest;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimWorld;
import bramblespool.state.RoutingConfiguration;
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

/** Those who give orders: each order goes to helm after helm, the same bytes, until it has a clear answer. */
final class Operators {
    static final String PEER = "10.8.0.1:7000";
    /** Silence after which another helm is asked, and the pauses before that. */
    private static final long SILENCE = 1000;

    private static final long FIRST_PAUSE = 50;
    private static final long LONGEST_PAUSE = 800;
    private static final int REDIRECTS = 2;

    /** One call of an operator until its clear answer. */
    static final class Errand {
        final String what;
        final ObjectNode message;
        final long since;
        /** When its clear answer came, or -1. */
        long done = -1;

        int status;

        private Errand(String what, ObjectNode message, long since) {
            this.what = what;
            this.message = message;
            this.since = since;
        }
    }

    private final SimWorld world;
    private final SimWorld.Machine machine;
    private final Supplier<List<String>> helms;
    private final History history;
    final List<Errand> errands = new ArrayList<>();
    final Map<Integer, History.Change> changes = new HashMap<>();
    /** What the newest evacuation order that each zone has acknowledged said, and those without a clear answer. */
    final Map<String, Boolean> evacuated = new HashMap<>();

    private final Map<String, Errand> evacuating = new HashMap<>();
    /** The newest version that an operator knows. */
    long known;

    private int marks;
    private boolean over;

    Operators(SimWorld world, Supplier<List<String>> helms, History history) {
        this.world = world;
        this.helms = helms;
        this.history = history;
        machine = world.machine(PEER);
        machine.boot();
        machine.serve((kind, m, answer) -> answer.accept(null));
    }

    /** Whatever is under way is given up. */
    void stop() {
        over = true;
    }

    /** {@code to}: the helm to ask first. */
    Errand order(int name, long above, String to, Consumer<Errand> done) {
        long number = known + above;
        String document = SimMesh.document(number, known, "p" + name);
        String digest;
        try {
            digest = OperatorRequest.parseChange(false, document.getBytes(StandardCharsets.UTF_8))
                    .digest();
        } catch (RoutingConfiguration.InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
        History.Change c = new History.Change(name, known, number, document, digest);
        changes.put(name, c);
        return send(c, to, done);
    }

    Errand again(int name, String to) {
        History.Change c = changes.get(name);
        return c == null ? null : send(c, to, e -> {});
    }

    private Errand send(History.Change c, String to, Consumer<Errand> done) {
        ObjectNode m = JsonNodeFactory.instance
                .objectNode()
                .put("do", "replace")
                .put("name", c.name)
                .put("doc", c.document);
        return start(c.toString(), m, to, e -> {
            if (e.status == 200) {
                known = Math.max(known, c.number);
            }
            done.accept(e);
        });
    }

    Errand read(String to) {
        return start("read", JsonNodeFactory.instance.objectNode().put("do", "read"), to, e -> {});
    }

    void evacuate(String zone, boolean on, String to) {
        if (evacuating.containsKey(zone)) {
            return;
        }
        evacuating.put(
                zone,
                start(
                        "evacuate " + zone,
                        JsonNodeFactory.instance
                                .objectNode()
                                .put("do", "evacuate")
                                .put("zone", zone)
                                .put("on", on),
                        to,
                        e -> {
                            evacuating.remove(zone);
                            evacuated.put(zone, on);
                        }));
    }

    boolean evacuating(String zone) {
        return evacuating.containsKey(zone);
    }

    private Errand start(String what, ObjectNode m, String to, Consumer<Errand> done) {
        Errand e = new Errand(what, m, world.now());
        errands.add(e);
        attempt(e, to == null ? next(null) : to, FIRST_PAUSE, REDIRECTS, done);
        return e;
    }

    private void attempt(Errand e, String to, long pause, int redirects, Consumer<Errand> done) {
        if (over) {
            return;
        }
        long began = world.step();
        if (e.message.has("name")) {
            history.sent(changes.get(e.message.path("name").asInt()), began);
        }
        ObjectNode m = e.message.deepCopy().put("began", began).put("mark", ++marks);
        machine.call(to, Door.KIND, m, SILENCE, a -> answered(e, to, pause, redirects, a, done));
    }

    private void answered(Errand e, String to, long pause, int redirects, JsonNode a, Consumer<Errand> done) {
        int status = a == null ? 0 : a.path("status").asInt();
        if (status == 307 && redirects > 0) {
            attempt(e, a.path("location").asText().replace(":8000", ":7000"), pause, redirects - 1, done);
        } else if (status == 0 || status == 307 || status == 503) {
            machine.schedule(pause, () -> attempt(e, next(to), Math.min(LONGEST_PAUSE, pause * 2), REDIRECTS, done));
        } else if (e.done < 0) {
            e.done = world.now();
            e.status = status;
            if (status == 200) {
                known = Math.max(known, a.path("current").asLong());
            }
            done.accept(e);
        }
    }

    private String next(String after) {
        List<String> all = new ArrayList<>(helms.get());
        if (all.size() > 1) {
            all.remove(after);
        }
        return all.get(world.random.nextInt(all.size()));
    }
}
