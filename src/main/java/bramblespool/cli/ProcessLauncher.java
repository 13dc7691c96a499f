package bramblespool.cli;

import bramblespool.process.ControllerProcess;
import bramblespool.process.GatewayProcess;
import bramblespool.process.ManagedProcess;
import bramblespool.process.SidecarProcess;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.InvalidSettingsException;
import bramblespool.state.Settings;
import bramblespool.state.SettingsParser;
import bramblespool.transport.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.sql.SQLException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * Runs one role in this process: starts it on the event loop, reloads its settings on SIGHUP or when the file changes,
 * and shuts it down gracefully on SIGTERM. The main thread starts it; everything after that runs on the event loop,
 * save the shutdown hook, which waits for the event loop.
 */
final class ProcessLauncher {
    /** The environment variable that names the settings file. */
    static final String SETTINGS_VARIABLE = "BRAMBLESPOOL_BOOT";
    /** The subcommands that start a role, each with the {@code machineClass} it runs on. */
    static final Map<String, String> MACHINE_CLASSES =
            Map.of("sidecar", "sidecar", "gateway", "edge", "controller", "core");

    static final int EXIT_OK = 0;
    static final int EXIT_FAILED = 1;
    static final int EXIT_INVALID = 2;
    private static final long SETTINGS_POLL_INTERVAL_MS = 1000;
    /** Fraction of the setting {@code grace} within which a process ends by itself. */
    private static final double GRACE_FRACTION = 0.9;

    private final Path settingsFile;
    private final Settings settings;
    private final EventLog log;
    private final EventLoop eventLoop;
    private ManagedProcess process;
    private FileTime lastModified;

    private ProcessLauncher(Path settingsFile, Settings settings, EventLog log) throws IOException {
        this.settingsFile = settingsFile;
        this.settings = settings;
        this.log = log;
        this.eventLoop = new EventLoop(log);
    }

    /**
     * Starts a role, a key of {@link #MACHINE_CLASSES}, and returns {@link #EXIT_OK} with the event loop running.
     * Returns {@link #EXIT_INVALID} for unusable settings and ends the process with {@link #EXIT_FAILED} where the
     * start fails.
     */
    static int run(String role, Path settingsFile, EventLog.Level level, int metricsPort) {
        Settings settings;
        try {
            settings = SettingsParser.read(settingsFile);
            String expectedClass = MACHINE_CLASSES.get(role);
            if (!settings.machineClass().equals(expectedClass)) {
                throw new InvalidSettingsException(
                        settingsFile.toString(),
                        java.util.List.of("machineClass: a " + role + " runs on '" + expectedClass
                                + "' machines, not on '" + settings.machineClass() + "'"));
            }
        } catch (InvalidSettingsException e) {
            System.err.println("bramblespool: " + e.getMessage());
            return EXIT_INVALID;
        }
        EventLog log = new EventLog(settings.node(), System.err, level);
        try {
            new ProcessLauncher(settingsFile, settings, log).start(role, metricsPort);
            return EXIT_OK;
        } catch (IOException | SQLException | RuntimeException e) {
            System.err.println("bramblespool: " + role + " could not start: " + e.getMessage());
            System.exit(EXIT_FAILED);
            return EXIT_FAILED;
        }
    }

    private void start(String role, int metricsPort) throws IOException, SQLException {
        CountDownLatch started = new CountDownLatch(1);
        Throwable[] failure = new Throwable[1];
        eventLoop.post(() -> {
            try {
                process = createProcess(role);
                if (metricsPort > 0) {
                    process.exposeMetrics(settings.ip() + ":" + metricsPort);
                }
            } catch (IOException | SQLException | RuntimeException | LinkageError e) {
                failure[0] = e;
            }
            started.countDown();
        });
        try {
            started.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failure[0] != null) {
            throw new IOException(
                    failure[0].getMessage() == null ? failure[0].toString() : failure[0].getMessage(), failure[0]);
        }
        log.log(Event.STARTED, "role", role, "zone", settings.zone());
        Runtime.getRuntime().addShutdownHook(new Thread(null, this::stop, "stop", 256 << 10));
        Signal.handle(new Signal("HUP"), signal -> eventLoop.post(this::reload));
        lastModified = modificationTime();
        eventLoop.post(() -> eventLoop.scheduleRepeatedly(SETTINGS_POLL_INTERVAL_MS, () -> {
            FileTime modified = modificationTime();
            if (modified != null && !modified.equals(lastModified)) {
                reload();
            }
        }));
    }

    private ManagedProcess createProcess(String role) throws IOException, SQLException {
        return switch (role) {
            case "sidecar" -> new SidecarProcess(settings, eventLoop, log);
            case "gateway" -> new GatewayProcess(settings, eventLoop, log);
            default -> new ControllerProcess(settings, eventLoop, log);
        };
    }

    private FileTime modificationTime() {
        try {
            return Files.getLastModifiedTime(settingsFile);
        } catch (IOException e) {
            return null;
        }
    }

    private void reload() {
        lastModified = modificationTime();
        try {
            process.updateSettings(SettingsParser.read(settingsFile));
            log.log(Event.SETTINGS_RELOADED);
        } catch (InvalidSettingsException e) {
            log.log(Event.SETTINGS_INVALID, "cause", e.getMessage());
        }
    }

    private void stop() {
        CountDownLatch done = new CountDownLatch(1);
        long graceMs = (long) (settings.bounds().shutdownGraceMs() * GRACE_FRACTION);
        eventLoop.post(() -> {
            log.log(Event.STOPPING);
            process.stop(graceMs, done::countDown);
        });
        try {
            done.await(graceMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.log(Event.STOPPED);
        Runtime.getRuntime().halt(EXIT_OK);
    }
}
