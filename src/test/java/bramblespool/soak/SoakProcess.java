package bramblespool.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A controller or sidecar in a process of its own, which can be killed, paused and restarted. The times at which it was
 * disturbed are kept, because what happens then is not held against it. Safe on any thread.
 */
final class SoakProcess {
    /** A span in which the process was disturbed, in ns. */
    private record Disturbance(long fromNs, long toNs) {}

    private static final long STOP_TIMEOUT_S = 30;

    final String role;
    final String ip;
    private final Path settingsFile;
    private final Path logFile;
    private final List<Disturbance> disturbances = new ArrayList<>();
    private long disturbedSinceNs = -1;
    private Process process;

    SoakProcess(String role, String ip, Path settingsFile, Path logFile) {
        this.role = role;
        this.ip = ip;
        this.settingsFile = settingsFile;
        this.logFile = logFile;
    }

    synchronized void start() throws IOException {
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "--add-exports=java.base/jdk.internal.misc=ALL-UNNAMED",
                        "--add-opens=java.base/jdk.internal.misc=ALL-UNNAMED",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "bramblespool.cli.Bramblespool",
                        role,
                        "--settings",
                        settingsFile.toString(),
                        "--metrics-port",
                        Integer.toString(SoakMesh.METRICS_PORT))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                .start();
    }

    synchronized boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** Sends a signal by its name. */
    synchronized void signal(String name) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    void awaitEnd() throws InterruptedException {
        Process ending;
        synchronized (this) {
            ending = process;
        }
        if (!ending.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException(role + " at " + ip + " does not end");
        }
    }

    /** Ends it at once. */
    synchronized void destroy() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    synchronized void beginDisturbance() {
        disturbedSinceNs = System.nanoTime();
    }

    synchronized void endDisturbance() {
        disturbances.add(new Disturbance(disturbedSinceNs, System.nanoTime()));
        disturbedSinceNs = -1;
    }

    /** Whether it was disturbed at any time between the two, in ns. */
    synchronized boolean wasDisturbed(long fromNs, long toNs) {
        if (disturbedSinceNs >= 0 && disturbedSinceNs - toNs < 0) {
            return true;
        }
        return disturbances.stream().anyMatch(d -> d.fromNs - toNs < 0 && fromNs - d.toNs < 0);
    }

    /** The lines of its log, over all its runs, that report a fault of the program. */
    List<String> faultLines() throws IOException {
        return Files.readAllLines(logFile).stream()
                .filter(line -> line.contains(" B112 ") || line.contains(" B108 ") || line.contains("B416"))
                .map(line -> role + " " + ip + ": " + line)
                .toList();
    }
}
