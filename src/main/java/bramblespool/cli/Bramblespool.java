package bramblespool.cli;

import bramblespool.state.EventLog;
import java.nio.file.Path;

/** The program. The ordinary start of a role has nothing to parse, and a daemon that was killed is back the sooner. */
public final class Bramblespool {
    private Bramblespool() {}

    public static void main(String[] args) {
        if (args.length == 1 && ProcessLauncher.MACHINE_CLASSES.containsKey(args[0])) {
            runRole(args[0]);
            return;
        }
        int code = Commands.execute(args);
        if (code != Commands.KEEP_RUNNING) {
            System.exit(code);
        }
    }

    private static void runRole(String role) {
        int code = settingsFileFromEnvironment() == null
                ? reportMissingSettings()
                : ProcessLauncher.run(role, settingsFileFromEnvironment(), EventLog.Level.INFO);
        if (code != ProcessLauncher.EXIT_OK) {
            System.exit(code);
        }
    }

    static Path settingsFileFromEnvironment() {
        String value = System.getenv(ProcessLauncher.SETTINGS_VARIABLE);
        return value == null || value.isEmpty() ? null : Path.of(value);
    }

    static int reportMissingSettings() {
        System.err.println(
                "bramblespool: no settings: give --settings FILE or set " + ProcessLauncher.SETTINGS_VARIABLE);
        return ProcessLauncher.EXIT_INVALID;
    }
}
