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

/** The command line's subcommands and options. */
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
        exitCodeList = {"0:done, or ended in order", "1:failed", "2:wrong usage, or a file that is not fit for use"})
final class Commands implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** A role is running: the process is not to end. */
    static final int KEEP_RUNNING = -1;

    private static boolean hasStartedRole;

    static int execute(String[] args) {
        int code = new CommandLine(new Commands())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(args);
        return hasStartedRole ? KEEP_RUNNING : code;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is wanted");
    }

    static final class VersionProvider implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Bramblespool.class.getPackage().getImplementationVersion();
            return new String[] {"bramblespool " + (version == null ? "(not packaged)" : version)};
        }
    }

    abstract static class RoleCommand implements Callable<Integer> {
        @Option(
                names = "--settings",
                paramLabel = "FILE",
                description = "the settings file; otherwise the one named by $" + ProcessLauncher.SETTINGS_VARIABLE)
        private Path settingsFile;

        @Option(
                names = "--log-level",
                paramLabel = "LEVEL",
                defaultValue = "INFO",
                description = "error, warn, info or debug (${DEFAULT-VALUE})")
        private EventLog.Level logLevel;

        abstract String role();

        @Override
        public Integer call() {
            Path resolvedFile = settingsFile != null ? settingsFile : Bramblespool.settingsFileFromEnvironment();
            if (resolvedFile == null) {
                return Bramblespool.reportMissingSettings();
            }
            int code = ProcessLauncher.run(role(), resolvedFile, logLevel);
            hasStartedRole = code == ProcessLauncher.EXIT_OK;
            return code;
        }
    }

    @Command(
            name = "weft",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class,
            description = "Runs the data plane's daemon, on a machine of class sidecar.")
    static final class SidecarCommand extends RoleCommand {
        @Override
        String role() {
            return "weft";
        }
    }

    @Command(
            name = "hem",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class,
            description = "Runs the gateway's daemon, on a machine of class edge.")
    static final class GatewayCommand extends RoleCommand {
        @Override
        String role() {
            return "hem";
        }
    }

    @Command(
            name = "helm",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class,
            description = "Runs the control plane's daemon, on a machine of class core.")
    static final class ControllerCommand extends RoleCommand {
        @Override
        String role() {
            return "helm";
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
                    System.out.println(file + ": settings of " + settings.node() + ", fit for use");
                } else {
                    RoutingConfiguration configuration = RoutingConfigurationParser.parse(Files.readString(file));
                    System.out.println(
                            file + ": configuration " + configuration.epoch() + " with " + configuration.routeCount()
                                    + " routes and " + configuration.serviceCount() + " services, fit for use");
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
            name = "rehearse",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class,
            description =
                    "Plays a small mesh in this one process, on the loopback address, and says whether it worked.")
    static final class SelfTestCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            boolean hasPassed = SelfTest.run();
            System.out.println(hasPassed ? "the rehearsal went well" : "the rehearsal failed");
            System.exit(hasPassed ? ProcessLauncher.EXIT_OK : ProcessLauncher.EXIT_FAILED);
            return ProcessLauncher.EXIT_OK;
        }
    }
}
