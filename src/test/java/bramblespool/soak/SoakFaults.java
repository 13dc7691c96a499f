package bramblespool.soak;

import bramblespool.testing.RawHttp;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Draws faults from a seed and plays them, so that two or three overlap. At most one controller is disturbed at a time;
 * at least half of the sidecars are not.
 */
final class SoakFaults {
    private enum Kind {
        KILL_SIDECAR,
        TERMINATE_SIDECAR,
        PAUSE_SIDECAR,
        RELOAD_SIDECAR,
        KILL_CONTROLLER,
        TERMINATE_CONTROLLER,
        PAUSE_CONTROLLER,
        SLOW_SERVER,
        LOSE_ANSWERS
    }

    private static final int MEAN_GAP_MS = 600;
    /** Slow servers are what shows work that goes on. */
    private static final double SLOW_SERVER_SHARE = 0.3;

    private static final int MAX_PAUSE_MS = 2500;
    private static final int MAX_DOWN_MS = 1500;
    private static final int MAX_LOST_ANSWERS = 10;

    private final SoakMesh mesh;
    private final Random random;
    private final List<Thread> running = new ArrayList<>();
    private final List<SoakProcess> disturbed = new ArrayList<>();
    private int count;

    SoakFaults(SoakMesh mesh, long seed) {
        this.mesh = mesh;
        this.random = new Random(seed);
    }

    int count() {
        return count;
    }

    /** Plays faults for a time and waits until the last one is over. */
    void play(long durationMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
        while (System.nanoTime() - endNs < 0) {
            begin(
                    random.nextDouble() < SLOW_SERVER_SHARE
                            ? Kind.SLOW_SERVER
                            : Kind.values()[random.nextInt(Kind.values().length)]);
            TimeUnit.MILLISECONDS.sleep(1 + random.nextInt(2 * MEAN_GAP_MS));
        }
        for (Thread thread : running) {
            thread.join();
        }
    }

    private void begin(Kind kind) {
        int pauseMs = 100 + random.nextInt(MAX_PAUSE_MS);
        int downMs = 100 + random.nextInt(MAX_DOWN_MS);
        SoakProcess sidecar = mesh.sidecars.get(random.nextInt(SoakMesh.SIDECARS));
        SoakProcess controller = mesh.controllers.get(random.nextInt(SoakMesh.CONTROLLERS));
        SoakServer server = mesh.servers.get(random.nextInt(SoakMesh.SIDECARS));
        switch (kind) {
            case KILL_SIDECAR -> disturb(sidecar, () -> restart(sidecar, "KILL", downMs));
            case TERMINATE_SIDECAR -> disturb(sidecar, () -> restart(sidecar, "TERM", downMs));
            case PAUSE_SIDECAR -> disturb(sidecar, () -> pause(sidecar, pauseMs));
            case RELOAD_SIDECAR -> play(() -> sidecar.signal("HUP"));
            case KILL_CONTROLLER -> disturb(controller, () -> restart(controller, "KILL", downMs));
            case TERMINATE_CONTROLLER -> disturb(controller, () -> restart(controller, "TERM", downMs));
            case PAUSE_CONTROLLER -> disturb(controller, () -> pause(controller, pauseMs));
            case SLOW_SERVER ->
                play(() -> {
                    server.setSlow(true);
                    TimeUnit.MILLISECONDS.sleep(pauseMs);
                    server.setSlow(false);
                });
            case LOSE_ANSWERS -> play(() -> server.loseAnswers(1 + pauseMs % MAX_LOST_ANSWERS));
            default -> throw new IllegalStateException("unknown kind");
        }
    }

    private void disturb(SoakProcess process, RawHttp.Task task) {
        synchronized (disturbed) {
            long alike = disturbed.stream()
                    .filter(other -> other.role.equals(process.role))
                    .count();
            if (disturbed.contains(process)
                    || alike >= (process.role.equals("controller") ? 1 : SoakMesh.SIDECARS / 2)) {
                return;
            }
            disturbed.add(process);
        }
        process.beginDisturbance();
        play(() -> {
            try {
                task.run();
            } finally {
                process.endDisturbance();
                synchronized (disturbed) {
                    disturbed.remove(process);
                }
            }
        });
    }

    private void play(RawHttp.Task task) {
        count++;
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        running.add(thread);
        thread.start();
    }

    private static void restart(SoakProcess process, String signal, int downMs) throws Exception {
        process.signal(signal);
        process.awaitEnd();
        TimeUnit.MILLISECONDS.sleep(downMs);
        process.start();
        // It counts as disturbed until it has caught up.
        TimeUnit.SECONDS.sleep(3);
    }

    private static void pause(SoakProcess process, int pauseMs) throws Exception {
        process.signal("STOP");
        TimeUnit.MILLISECONDS.sleep(pauseMs);
        process.signal("CONT");
        TimeUnit.SECONDS.sleep(1);
    }
}
