package bramblespool;

import bramblespool.role.Daemon;
import bramblespool.role.Helm;
import bramblespool.role.Hem;
import bramblespool.role.Weft;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Settings;
import bramblespool.transport.Loop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.sql.SQLException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/** Starting, settings that change, and ending of a role. */
final class Main {
    static final String SETTINGS_VARIABLE = "BRAMBLESPOOL_BOOT";
    /** The roles, each with the class of machines it runs on. */
    static final Map<String, String> CLASSES = Map.of("weft", "sidecar", "hem", "edge", "helm", "core");

    static final int OK = 0;
    static final int FAILED = 1;
    static final int UNFIT = 2;
    private static final long SETTINGS_LOOK_MS = 1000;
    /** Part of {@code grace} within which a process ends by itself. */
    private static final double GRACE_SHARE = 0.9;

    private final Path file;
    private final Settings settings;
    private final EventLog log;
    private final Loop loop;
    private Daemon daemon;
    private FileTime seen;

    private Main(Path file, Settings settings, EventLog log) throws IOException {
        this.file = file;
        this.settings = settings;
        this.log = log;
        this.loop = new Loop(log);
    }

    /** Runs a role until the process is ended; returns only where it could not start. */
    static int run(String role, Path file, EventLog.Level level) {
        Settings settings;
        try {
            settings = Settings.read(file);
            String wanted = CLASSES.get(role);
            if (!settings.machineClass().equals(wanted)) {
                throw new Settings.InvalidSettingsException(
                        file.toString(),
                        java.util.List.of("machineClass: a " + role + " runs on '" + wanted + "' machines, not on '"
                                + settings.machineClass() + "'"));
            }
        } catch (Settings.InvalidSettingsException e) {
            System.err.println("bramblespool: " + e.getMessage());
            return UNFIT;
        }
        EventLog log = new EventLog(settings.node(), System.err, level);
        try {
            new Main(file, settings, log).start(role);
            return OK;
        } catch (IOException | SQLException | RuntimeException e) {
            System.err.println("bramblespool: " + role + " could not start: " + e.getMessage());
            System.exit(FAILED);
            return FAILED;
        }
    }

    private void start(String role) throws IOException, SQLException {
        CountDownLatch up = new CountDownLatch(1);
        Throwable[] failed = new Throwable[1];
        loop.post(() -> {
            try {
                daemon = daemon(role);
            } catch (IOException | SQLException | RuntimeException | LinkageError e) {
                failed[0] = e;
            }
            up.countDown();
        });
        try {
            up.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failed[0] != null) {
            throw new IOException(
                    failed[0].getMessage() == null ? failed[0].toString() : failed[0].getMessage(), failed[0]);
        }
        log.log(Event.STARTED, "role", role, "zone", settings.zone());
        Runtime.getRuntime().addShutdownHook(new Thread(null, this::stop, "stop", 256 << 10));
        Signal.handle(new Signal("HUP"), s -> loop.post(this::reload));
        seen = modified();
        loop.post(() -> loop.every(SETTINGS_LOOK_MS, () -> {
            FileTime now = modified();
            if (now != null && !now.equals(seen)) {
                reload();
            }
        }));
    }

    private Daemon daemon(String role) throws IOException, SQLException {
        return switch (role) {
            case "weft" -> new Weft(settings, loop, log);
            case "hem" -> new Hem(settings, loop, log);
            default -> new Helm(settings, loop, log);
        };
    }

    private FileTime modified() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            return null;
        }
    }

    private void reload() {
        seen = modified();
        try {
            daemon.settings(Settings.read(file));
            log.log(Event.SETTINGS_RELOADED);
        } catch (Settings.InvalidSettingsException e) {
            log.log(Event.SETTINGS_INVALID, "cause", e.getMessage());
        }
    }

    private void stop() {
        CountDownLatch done = new CountDownLatch(1);
        long grace = (long) (settings.bounds().shutdownGraceMs() * GRACE_SHARE);
        loop.post(() -> {
            log.log(Event.STOPPING);
            daemon.stop(grace, done::countDown);
        });
        try {
            done.await(grace, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.log(Event.STOPPED);
        Runtime.getRuntime().halt(OK);
    }
}
