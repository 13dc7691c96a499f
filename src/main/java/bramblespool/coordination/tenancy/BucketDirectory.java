package bramblespool.coordination.tenancy;

import bramblespool.transport.Clock;
import java.util.HashMap;
import java.util.Map;

/**
 * Which proxies hold which token buckets, as far as their owners have told this proxy. Confined to the event loop.
 */
final class BucketDirectory {
    /**
     * A holder that did not answer, or does not have the buckets, is avoided for {@code quiet} divided by this: it may
     * be merely late, or get them again.
     */
    private static final int AVOIDANCE_DIVISOR = 20;

    private record Entry(String shardOwner, String holder) {}

    private final Clock clock;
    private final long avoidanceMs;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    /** Until when a holder is avoided, for all groups or for one. */
    private final Map<String, Long> avoidedUntilMs = new HashMap<>();

    BucketDirectory(Clock clock, long quietMs) {
        this.clock = clock;
        this.avoidanceMs = quietMs / AVOIDANCE_DIVISOR;
    }

    /** Takes a shard owner's map in place of its last one. */
    void update(String shardOwner, BucketMap map) {
        versions.put(shardOwner, map.version());
        avoidedUntilMs.values().removeIf(untilMs -> untilMs <= clock.nowMs());
        entries.values().removeIf(entry -> entry.shardOwner.equals(shardOwner));
        map.holders().forEach((group, holder) -> entries.put(group, new Entry(shardOwner, holder)));
    }

    /** The version of the map that this controller has sent last, 0 for none. */
    long knownVersion(String controller) {
        return versions.getOrDefault(controller, 0L);
    }

    /** The holder of the group's buckets, whether or not it is avoided; null where none is known. */
    String holderOf(String group) {
        Entry entry = entries.get(group);
        return entry == null ? null : entry.holder;
    }

    /** Whether the holder may be asked for tokens of the group. */
    boolean isUsable(String group, String holder) {
        long nowMs = clock.nowMs();
        return avoidedUntilMs.getOrDefault(holder, 0L) <= nowMs
                && avoidedUntilMs.getOrDefault(holder + group, 0L) <= nowMs;
    }

    void onSilent(String holder) {
        avoidedUntilMs.put(holder, clock.nowMs() + avoidanceMs);
    }

    void onRefused(String group, String holder) {
        avoidedUntilMs.put(holder + group, clock.nowMs() + avoidanceMs);
    }
}
