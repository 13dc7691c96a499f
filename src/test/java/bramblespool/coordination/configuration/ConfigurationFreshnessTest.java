package bramblespool.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.gossip.GossipStore.ReconciliationResult;
import bramblespool.state.EventLog;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class ConfigurationFreshnessTest {
    private static final long NEWEST_EPOCH = 6;

    /** Probes that are under way, by the controller asked. */
    private final Map<String, Consumer<JsonNode>> probes = new LinkedHashMap<>();

    private final PeerTransport transport = new PeerTransport() {
        @Override
        public void call(String address, String kind, ObjectNode body, long timeoutMs, Consumer<JsonNode> callback) {
            assertEquals(PingCodec.KIND, kind);
            probes.put(address, callback);
        }
    };

    private final ConfigurationFreshness freshness = new ConfigurationFreshness(
            () -> new TreeSet<>(Set.of("a", "b", "c")), () -> NEWEST_EPOCH, null, transport, 100, EventLog.silent());

    @Test
    void controllerInTouchConfirmsTheNewestVersionOnly() {
        assertFalse(freshness.mayServe(NEWEST_EPOCH));
        freshness.onCompared("a", ReconciliationResult.CURRENT);
        assertTrue(freshness.isConfirmed());
        assertTrue(freshness.mayServe(NEWEST_EPOCH));
        assertFalse(freshness.mayServe(NEWEST_EPOCH - 1), "the newest must be in force first");
    }

    @Test
    void othersAreProbedOnceWhileOneMayBeInTouch() {
        freshness.onCompared("a", ReconciliationResult.RECONCILED);
        assertEquals(List.of("b", "c"), List.copyOf(probes.keySet()));
        probes.clear();
        freshness.onUnavailable("a");
        assertTrue(probes.isEmpty(), "both are being probed");
        assertFalse(freshness.mayServe(NEWEST_EPOCH));
    }

    @Test
    void confirmationIsWaivedWhereNobodyIsInTouch() {
        freshness.onUnavailable("a");
        probes.get("b").accept(null);
        assertFalse(freshness.mayServe(1));
        probes.get("c").accept(PingCodec.encodeControllerResponse(false));
        assertTrue(freshness.mayServe(1));
        assertFalse(freshness.isConfirmed());
        freshness.onCompared("b", ReconciliationResult.CURRENT);
        assertTrue(freshness.isConfirmed());
        assertTrue(freshness.mayServe(1), "who serves already goes on");
    }
}
