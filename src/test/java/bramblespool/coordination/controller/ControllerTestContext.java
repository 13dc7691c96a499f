package bramblespool.coordination.controller;

import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.traffic.OverloadDetector;
import bramblespool.state.EventLog;
import bramblespool.state.InvalidSettingsException;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import bramblespool.state.SettingsParser;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;

/** One controller's shared parts on a simulated machine, without the controller. */
final class ControllerTestContext {
    static final String ADDRESS = "10.0.0.1:7000";
    static final String OTHER_ADDRESS = "10.0.0.2:7000";

    /** A message that the controller sent. */
    record SentMessage(String destination, String kind, JsonNode body) {}

    final Simulator simulator = new Simulator(1);
    final Simulator.Machine machine = simulator.machine(ADDRESS);
    final ReplicatedState replicatedState = new ReplicatedState();
    final List<SentMessage> sent = new ArrayList<>();
    final ControllerContext context;
    boolean hasLeaderContact = true;

    final LeaderContact leaderContact = new LeaderContact() {
        @Override
        public boolean isRecent() {
            return hasLeaderContact;
        }

        @Override
        public long leaderTerm() {
            return 7;
        }
    };

    ControllerTestContext() {
        machine.boot();
        simulator.interceptor = (from, to, kind, body, deliver) -> {
            sent.add(new SentMessage(to, kind, body));
            return true;
        };
        LocalController local = new LocalController(settings(), ADDRESS + "#0", replicatedState);
        context = new ControllerContext(local, machine, machine, 300, EventLog.silent());
    }

    ZoneGossip newGossip(List<String> sessionAddresses) {
        return new ZoneGossip(
                context,
                () -> new ArrayList<>(sessionAddresses),
                leaderContact,
                new OverloadDetector(machine, 75, EventLog.silent()));
    }

    SessionRegistry newSessions(GossipStore gossip) {
        SessionRegistry sessions = new SessionRegistry(context, gossip, leaderContact);
        gossip.addListener(sessions::onGossipEntry);
        return sessions;
    }

    static JsonNode json(String text) {
        try {
            return new ObjectMapper().readTree(text.replace('\'', '"'));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static Settings settings() {
        String text = """
                node = "helm-1"
                machineClass = "core"
                ip = "10.0.0.1"
                zone = "a"
                portRange = [7000, 7010]
                seedPeers = ["10.0.0.1:8000", "10.0.0.2:8000"]
                bootstrap = true
                dataDir = "/none"
                discovery = "static"
                [platform]
                address = "10.9.9.9:80"
                [zones]
                a = "r"
                [faultBudget]
                machines = 1
                [listeners]
                control = "10.0.0.1:8000"
                [limits]
                memoryMb = 0
                """ + SimulatedMesh.BOUNDS;
        try {
            return SettingsParser.parse(text, "test");
        } catch (InvalidSettingsException e) {
            throw new IllegalStateException(e);
        }
    }
}
