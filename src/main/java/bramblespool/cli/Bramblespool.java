package bramblespool.cli;

import bramblespool.state.EventLog;
import java.nio.file.Path;
import java.util.Map;

/**
 * The program's entry point. A plain start of a role ({@code bramblespool sidecar}, settings from the environment)
 * skips the option parser and its classes, so that a process that was killed is back sooner.
 */
public final class Bramblespool {
    /** Subcommands' names up to 0.4.0 and their present ones; accepted for one more version, not shown in the help. */
    private static final Map<String, String> FORMER_SUBCOMMANDS =
            Map.of("weft", "sidecar", "hem", "gateway", "helm", "controller", "rehearse", "self-test");

    private Bramblespool() {}

    /**
     * Runs a subcommand. Returns with the process still running where a role was started; otherwise ends the process
     * with an exit code of {@link ProcessLauncher}.
     */
    public static void main(String[] args) {
        replaceFormerSubcommand(args);
        if (isPlainStart(args)) {
            runRole(args[0], args.length == 1 ? 0 : Integer.parseInt(args[2]));
            return;
        }
        int code = Commands.execute(args);
        if (code != Commands.KEEP_RUNNING) {
            System.exit(code);
        }
    }

    /** Replaces a subcommand's former name in place, before anything is parsed. */
    static void replaceFormerSubcommand(String[] args) {
        if (args.length > 0) {
            args[0] = FORMER_SUBCOMMANDS.getOrDefault(args[0], args[0]);
        }
    }

    /** Whether the arguments are a role and at most {@code --metrics-port PORT}. */
    static boolean isPlainStart(String[] args) {
        return (args.length == 1
                        || args.length == 3 && args[1].equals("--metrics-port") && args[2].matches("[0-9]{1,5}"))
                && ProcessLauncher.MACHINE_CLASSES.containsKey(args[0]);
    }

    private static void runRole(String role, int metricsPort) {
        int code = settingsFileFromEnvironment() == null
                ? reportMissingSettings()
                : ProcessLauncher.run(role, settingsFileFromEnvironment(), EventLog.Level.INFO, metricsPort);
        if (code != ProcessLauncher.EXIT_OK) {
            System.exit(code);
        }
    }

    /** The settings file named by the environment, or null where it names none. */
    static Path settingsFileFromEnvironment() {
        String value = System.getenv(ProcessLauncher.SETTINGS_VARIABLE);
        return value == null || value.isEmpty() ? null : Path.of(value);
    }

    /** Prints that no settings file was given and returns the exit code for it. */
    static int reportMissingSettings() {
        System.err.println(
                "bramblespool: no settings: give --settings FILE or set " + ProcessLauncher.SETTINGS_VARIABLE);
        return ProcessLauncher.EXIT_INVALID;
    }
}
