package bramblespool.coordination.controller;

import bramblespool.coordination.discovery.RegistryReader;
import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.state.Settings;
import bramblespool.transport.PlatformClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The readers of the platform's registry, one for each zone; none where servers report themselves. Each is a singleton
 * role of its own. Confined to the event loop.
 */
final class RegistryReaders {
    /** Readings of a registry within {@code drain}: time for one that fails, and for a new reader to start over. */
    private static final int REGISTRY_READ_DIVISOR = 4;

    private final GossipStore gossip;
    private final SessionRegistry sessions;
    private final Map<String, RegistryReader> readersByZone = new TreeMap<>();

    /** @param platform whose registry is read, or null where there is no platform */
    RegistryReaders(ControllerContext context, PlatformClient platform, GossipStore gossip, SessionRegistry sessions) {
        this.gossip = gossip;
        this.sessions = sessions;
        Settings settings = context.local().settings();
        if (platform == null || settings.discovery() != Settings.Discovery.PLATFORM) {
            return;
        }
        for (String zone : settings.zones().keySet()) {
            readersByZone.put(
                    zone,
                    new RegistryReader(
                            zone,
                            context.clock(),
                            platform,
                            context.transport(),
                            this::gateways,
                            settings.bounds().drainMs() / REGISTRY_READ_DIVISOR,
                            context.callTimeoutMs(),
                            context.log()));
        }
    }

    /** The readers by zone, in the zones' order. */
    Map<String, RegistryReader> byZone() {
        return readersByZone;
    }

    /** The gateways with an open session. */
    private List<RegistryReader.Gateway> gateways() {
        List<RegistryReader.Gateway> gateways = new ArrayList<>();
        for (String node : sessions.members()) {
            GossipStore.GossipEntry entry = gossip.get(GossipKeys.PROXY_KEY_PREFIX + node);
            if (entry == null) {
                continue;
            }
            ProxyRecord proxy = GossipPayloadCodec.decodeProxy(entry.body());
            if (!proxy.hasLeft()) {
                gateways.add(new RegistryReader.Gateway(
                        node, entry.incarnation(), proxy.peerAddress(), proxy.zone(), proxy.serverIds()));
            }
        }
        return gateways;
    }
}
