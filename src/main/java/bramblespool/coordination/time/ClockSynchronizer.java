package bramblespool.coordination.singleton;

import bramblespool.transport.Clock;
import java.util.ArrayList;
import java.util.List;

/** Keeps a controller's {@link ClusterClock} at the median of all controllers' clocks. Confined to the event loop. */
final class ClockSynchronizer {
    private final ClusterClock clusterClock;
    private final Clock clock;
    private final ControllerPeers controllers;

    ClockSynchronizer(ClusterClock clusterClock, Clock clock, ControllerPeers controllers) {
        this.clusterClock = clusterClock;
        this.clock = clock;
        this.controllers = controllers;
    }

    /** Asks all other controllers for their time of day and takes the median, and does so again in a while. */
    void synchronize() {
        List<Long> offsets = new ArrayList<>();
        long askedAtMs = clock.nowMs();
        for (String controller : controllers.addresses()) {
            controllers.call(controller, UsageCodec.TIME_KIND, UsageCodec.encodeTimeRequest(), response -> {
                if (response != null) {
                    UsageCodec.decodeTime(response)
                            .ifPresent(timeMs -> offsets.add(clusterClock.offsetOf(timeMs, clock.nowMs() - askedAtMs)));
                }
            });
        }
        // One millisecond more, so that answers which come just in time are counted.
        clock.schedule(controllers.callTimeoutMs() + 1, () -> {
            clusterClock.adoptMedian(offsets);
            clock.schedule(controllers.callTimeoutMs() * 2, this::synchronize);
        });
    }
}
