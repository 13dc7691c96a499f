package bramblespool.cli;

import bramblespool.state.EventLog;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.InvalidSettingsException;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.RoutingConfigurationParser;
import bramblespool.state.Settings;
import bramblespool.state.SettingsParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line's subcommands and options. Used by the main thread only. */
@Command(
        name = "bramblespool",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.VersionProvider.class,
        description = "A service mesh whose configurations are committed in the shadow of the running one.",
        subcommands = {
            Commands.SidecarCommand.class,
            Commands.GatewayCommand.class,
            Commands.ControllerCommand.class,
            Commands.CheckCommand.class,
            Commands.SelfTestCommand.class,
            StatusCommand.class
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:done, or shut down gracefully", "1:failed", "2:wrong usage, or an invalid file"})
final class Commands implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Not an exit code: a role was started and the process has to keep running. */
    static final int KEEP_RUNNING = -1;

    private static boolean hasStartedRole;

    /** Parses and runs a command line; returns its exit code, or {@link #KEEP_RUNNING}. */
    static int execute(String[] args) {
        int code = new CommandLine(new Commands())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(args);
        return hasStartedRole ? KEEP_RUNNING : code;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is required");
    }

    /** The version from the jar's manifest. */
    static final class VersionProvider implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Bramblespool.class.getPackage().getImplementationVersion();
            return new String[] {"bramblespool " + (version == null ? "(not packaged)" : version)};
        }
    }

    /** What the subcommands that start a role have in common: options and exit code. */
    abstract static class RoleCommand implements Callable<Integer> {
        @Option(
                names = "--settings",
                paramLabel = "FILE",
                description = "the settings file; by default the one named by $" + ProcessLauncher.SETTINGS_VARIABLE)
        private Path settingsFile;

        @Option(
                names = "--log-level",
                paramLabel = "LEVEL",
                defaultValue = "INFO",
                description = "error, warn, info or debug (${DEFAULT-VALUE})")
        private EventLog.Level logLevel;

        @Option(
                names = "--metrics-port",
                paramLabel = "PORT",
                defaultValue = "0",
                description = "port for counters as text, at /metrics on the machine's address; 0 for none")
        private int metricsPort;

        /** A key of {@link ProcessLauncher#MACHINE_CLASSES}. */
        abstract String role();

        @Override
        public Integer call() {
            Path resolvedFile = settingsFile != null ? settingsFile : Bramblespool.settingsFileFromEnvironment();
            if (resolvedFile == null) {
                return Bramblespool.reportMissingSettings();
            }
            int code = ProcessLauncher.run(role(), resolvedFile, logLevel, metricsPort);
            hasStartedRole = code == ProcessLauncher.EXIT_OK;
            return code;
        }
    }

    @Command(
            name = "sidecar",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class,
            description = "Runs the proxy beside a server, on a machine of class sidecar.")
    static final class SidecarCommand extends RoleCommand {
        @Override
        String role() {
            return "sidecar";
        }
    }

    @Command(
            name = "gateway",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class,
            description = "Runs the proxy for outside clients, on a machine of class edge.")
    static final class GatewayCommand extends RoleCommand {
        @Override
        String role() {
            return "gateway";
        }
    }

    @Command(
            name = "controller",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class,
            description = "Runs a member of the control plane, on a machine of class core.")
    static final class ControllerCommand extends RoleCommand {
        @Override
        String role() {
            return "controller";
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class,
            description = "Checks a settings file (.toml) or a configuration (.json) without starting anything.")
    static final class CheckCommand implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the file to check")
        private Path file;

        @Override
        public Integer call() {
            try {
                if (file.toString().endsWith(".toml")) {
                    Settings settings = SettingsParser.read(file);
                    System.out.println(file + ": settings of " + settings.node() + ", valid");
                } else {
                    RoutingConfiguration configuration = RoutingConfigurationParser.parse(Files.readString(file));
                    System.out.println(
                            file + ": configuration " + configuration.epoch() + " with " + configuration.routeCount()
                                    + " routes and " + configuration.serviceCount() + " services, valid");
                }
                return ProcessLauncher.EXIT_OK;
            } catch (InvalidSettingsException e) {
                System.err.println("bramblespool: " + e.getMessage());
            } catch (InvalidConfigurationException e) {
                System.err.println("bramblespool: " + file + ": " + e.getMessage());
            } catch (IOException e) {
                System.err.println("bramblespool: " + file + ": cannot be read");
            }
            return ProcessLauncher.EXIT_INVALID;
        }
    }

    @Command(
            name = "self-test",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class,
            description =
                    "Runs a small mesh in this one process, on loopback addresses, and reports whether it worked.")
    static final class SelfTestCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            boolean hasPassed = SelfTest.run();
            System.out.println(hasPassed ? "the self-test passed" : "the self-test failed");
            System.exit(hasPassed ? ProcessLauncher.EXIT_OK : ProcessLauncher.EXIT_FAILED);
            return ProcessLauncher.EXIT_OK;
        }
    }
}
