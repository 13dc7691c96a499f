package bramblespool.testing;

import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** A machine with one process at a time, a disk, a link and a processor; each start is a new incarnation. */
public final class SimulatedMachine implements PeerTransport, Clock {
    private static final long WALL_TIME_OFFSET_MS = 1_000_000_000L;
    private static final double BYTES_PER_KILOBYTE = 1024;

    private final Simulator simulator;
    /** The peer address. */
    public final String peer;
    /** What the process has stored. */
    public final SimulatedDisk disk;
    /** Bytes that its link carries in a millisecond, each way; 0: any number. */
    public double linkBytesPerMs;
    /** Milliseconds of its processor for one message, and for each of its kilobytes. */
    public double cpuMsPerMessage;

    public double cpuMsPerKilobyte;
    /** Messages it has taken or answered, and the processor time that took. */
    public long handledMessages;

    public double cpuMsUsed;
    /** Bytes of its requests and answers. */
    public long sentBytes;
    /** How wrong its time of day is. */
    public long clockSkewMs;
    /** Without power: nobody answers that no process is there. */
    public boolean isPoweredOff;

    private final Set<String> blockedDestinations = new HashSet<>();
    private double uplinkFreeAtMs;
    private double downlinkFreeAtMs;
    private double busyUntilMs;
    private long frozenUntilMs;
    private boolean runsTimersFirst;
    private int incarnation;
    private boolean isUp;
    private RequestHandler requestHandler;

    SimulatedMachine(Simulator simulator, String peer) {
        this.simulator = simulator;
        this.peer = peer;
        this.disk = new SimulatedDisk(simulator, this);
    }

    // ---- the process

    /** Whether a process runs. */
    public boolean isUp() {
        return isUp;
    }

    /** Starts a process. */
    public void boot() {
        incarnation++;
        uplinkFreeAtMs = 0;
        downlinkFreeAtMs = 0;
        busyUntilMs = 0;
        frozenUntilMs = 0;
        isPoweredOff = false;
        isUp = true;
    }

    /** The process takes requests by this handler from now on. */
    public void serve(RequestHandler handler) {
        requestHandler = handler;
    }

    /** Ends the process; with the power also what was not yet synced is lost. */
    public void kill(boolean losesPower) {
        isUp = false;
        incarnation++;
        requestHandler = null;
        disk.crash(losesPower);
    }

    int incarnation() {
        return incarnation;
    }

    boolean isRunning(int expectedIncarnation) {
        return isUp && incarnation == expectedIncarnation;
    }

    boolean isServing() {
        return isUp && requestHandler != null;
    }

    void handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        requestHandler.handleRequest(kind, request, callback);
    }

    // ---- freezing

    /** Its processes stand still for so long; what comes meanwhile waits. */
    public void freeze(long durationMs) {
        freeze(durationMs, false);
    }

    /** @param timersFirst whether what came due goes before what came in once it resumes */
    public void freeze(long durationMs, boolean timersFirst) {
        long nowMs = nowMs();
        busyUntilMs = Math.max(busyUntilMs, nowMs + durationMs + (timersFirst ? 1 : 0));
        frozenUntilMs = Math.max(frozenUntilMs, nowMs + durationMs + (timersFirst ? 0 : 1));
        runsTimersFirst = timersFirst;
    }

    /** Whether its processes stand still. */
    public boolean isFrozen() {
        return nowMs() < frozenUntilMs;
    }

    /** Runs the task, or once the process has resumed. */
    void runWhenThawed(Runnable task) {
        if (isFrozen()) {
            scheduleForIncarnation(frozenUntilMs - nowMs(), () -> runWhenThawed(task));
        } else {
            task.run();
        }
    }

    /** Runs the task later if the present process still runs then. */
    void scheduleForIncarnation(long delayMs, Runnable task) {
        int scheduledIncarnation = incarnation;
        simulator.scheduleEvent(delayMs, () -> {
            if (isRunning(scheduledIncarnation)) {
                task.run();
            }
        });
    }

    // ---- clock

    Simulator simulator() {
        return simulator;
    }

    @Override
    public long nowMs() {
        return simulator.nowMs();
    }

    @Override
    public long wallTimeMs() {
        return WALL_TIME_OFFSET_MS + nowMs() + clockSkewMs;
    }

    @Override
    public Timer schedule(long delayMs, Runnable task) {
        boolean[] isCancelled = new boolean[1];
        scheduleTimer(delayMs, task, isCancelled);
        return () -> isCancelled[0] = true;
    }

    /** A timer that comes due while the processor is busy goes off when it is free. */
    private void scheduleTimer(long delayMs, Runnable task, boolean[] isCancelled) {
        scheduleForIncarnation(delayMs, () -> {
            if (isCancelled[0]) {
                return;
            }
            long nowMs = nowMs();
            long waitMs = runsTimersFirst && busyUntilMs <= frozenUntilMs + 1
                    ? frozenUntilMs - nowMs
                    : Math.max((long) (busyUntilMs - nowMs), frozenUntilMs - nowMs);
            if (waitMs > 0) {
                scheduleTimer(waitMs, task, isCancelled);
            } else {
                task.run();
            }
        });
    }

    @Override
    public double random() {
        return simulator.random.nextDouble();
    }

    // ---- link and processor

    @Override
    public void call(String destination, String kind, ObjectNode body, long timeoutMs, Consumer<JsonNode> callback) {
        simulator.network().call(this, destination, kind, body, timeoutMs, callback);
    }

    void setCutFrom(String destination, boolean isCut) {
        if (isCut) {
            blockedDestinations.add(destination);
        } else {
            blockedDestinations.remove(destination);
        }
    }

    boolean isCutFrom(String destination) {
        return blockedDestinations.contains(destination);
    }

    void countSent(int sizeBytes) {
        sentBytes += sizeBytes;
    }

    /** After how long the last byte of a message sent now has left on this machine's link. */
    long uplinkDelayMs(int sizeBytes) {
        uplinkFreeAtMs = Math.max(nowMs(), uplinkFreeAtMs) + linkTimeMs(sizeBytes);
        return (long) (uplinkFreeAtMs - nowMs());
    }

    /** Runs the task when its bytes are through this machine's link and its processor has come to it. */
    void process(int sizeBytes, Runnable task) {
        downlinkFreeAtMs = Math.max(nowMs(), downlinkFreeAtMs) + linkTimeMs(sizeBytes);
        double costMs = cpuMsPerMessage + cpuMsPerKilobyte * sizeBytes / BYTES_PER_KILOBYTE;
        busyUntilMs = Math.max(downlinkFreeAtMs, busyUntilMs) + costMs;
        handledMessages++;
        cpuMsUsed += costMs;
        long waitMs = (long) (busyUntilMs - nowMs());
        if (waitMs > 0) {
            simulator.scheduleEvent(waitMs, task);
        } else {
            task.run();
        }
    }

    private double linkTimeMs(int sizeBytes) {
        return linkBytesPerMs > 0 ? sizeBytes / linkBytesPerMs : 0;
    }
}
