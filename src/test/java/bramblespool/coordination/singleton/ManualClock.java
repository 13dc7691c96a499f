package bramblespool.coordination.singleton;

import bramblespool.transport.Clock;

/** A clock that stands still until it is advanced, and runs no timers. */
final class ManualClock implements Clock {
    private final long wallOffsetMs;
    private long nowMs;

    ManualClock(long wallTimeMs) {
        wallOffsetMs = wallTimeMs;
    }

    void advance(long durationMs) {
        nowMs += durationMs;
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public long wallTimeMs() {
        return wallOffsetMs + nowMs;
    }

    @Override
    public Timer schedule(long delayMs, Runnable task) {
        throw new UnsupportedOperationException();
    }

    @Override
    public double random() {
        throw new UnsupportedOperationException();
    }
}
