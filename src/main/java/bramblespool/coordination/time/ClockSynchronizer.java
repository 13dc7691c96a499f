package bramblespool.coordination.time;

import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Keeps a controller's {@link ClusterClock} at the median of the voters' clocks. Confined to the event loop. */
public final class ClockSynchronizer {
    private final ClusterClock clusterClock;
    private final Clock clock;
    private final PeerTransport transport;
    private final String self;
    private final Supplier<? extends Collection<String>> voters;
    private final BooleanSupplier isNeeded;
    private final Timings timings;

    /**
     * The times that it goes by, in milliseconds.
     *
     * @param callTimeoutMs how long an answer is waited for
     * @param intervalMs between two rounds of questions once the time is agreed
     */
    public record Timings(long callTimeoutMs, long intervalMs) {}

    /**
     * @param self this controller's peer address
     * @param voters the peer addresses of all voters, this controller's among them where it is one
     * @param isNeeded whether anything goes by the time; where not, nobody is asked once it was agreed
     */
    public ClockSynchronizer(
            ClusterClock clusterClock,
            Clock clock,
            PeerTransport transport,
            String self,
            Supplier<? extends Collection<String>> voters,
            BooleanSupplier isNeeded,
            Timings timings) {
        this.clusterClock = clusterClock;
        this.clock = clock;
        this.transport = transport;
        this.self = self;
        this.voters = voters;
        this.isNeeded = isNeeded;
        this.timings = timings;
    }

    /** Asks all other voters for their time of day and takes the median, and does so again in a while. */
    public void synchronize() {
        if (clusterClock.isAgreed() && !isNeeded.getAsBoolean()) {
            clock.schedule(timings.intervalMs, this::synchronize);
            return;
        }
        List<String> members = List.copyOf(voters.get());
        List<Long> offsets = new ArrayList<>();
        long askedAtMs = clock.nowMs();
        for (String member : members) {
            if (!member.equals(self)) {
                transport.call(member, TimeCodec.KIND, TimeCodec.encodeRequest(), timings.callTimeoutMs, response -> {
                    if (response != null) {
                        TimeCodec.decodeTime(response)
                                .ifPresent(timeMs ->
                                        offsets.add(clusterClock.offsetOf(timeMs, clock.nowMs() - askedAtMs)));
                    }
                });
            }
        }
        // One millisecond more, so that answers which come just in time are counted.
        clock.schedule(timings.callTimeoutMs + 1, () -> finishRound(members, offsets));
    }

    private void finishRound(List<String> members, List<Long> offsets) {
        // Nobody agrees for voters that are not known yet, as before the log is read.
        int requiredClocks = members.isEmpty() ? Integer.MAX_VALUE : members.size() / 2 + 1;
        clusterClock.adoptMedian(offsets, requiredClocks);
        clock.schedule(clusterClock.isAgreed() ? timings.intervalMs : timings.callTimeoutMs, this::synchronize);
    }

    /** Answers another controller's question for this machine's own time of day. */
    public void handleRequest(JsonNode request, Consumer<ObjectNode> callback) {
        callback.accept(TimeCodec.encodeTime(clock.wallTimeMs()));
    }
}
