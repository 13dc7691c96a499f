package bramblespool;

import bramblespool.state.EventLog;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
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
        versionProvider = Commands.Version.class,
        description = "A service mesh whose configurations are committed in the shadow of the running one.",
        subcommands = {
            Commands.WeftCommand.class,
            Commands.HemCommand.class,
            Commands.HelmCommand.class,
            Commands.Check.class,
            Commands.Rehearse.class,
            Status.class
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:done, or ended in order", "1:failed", "2:wrong usage, or a file that is not fit for use"})
final class Commands implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** A role is running: the process is not to end. */
    static final int STAY = -1;

    private static boolean started;

    static int execute(String[] args) {
        int code = new CommandLine(new Commands())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(args);
        return started ? STAY : code;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is wanted");
    }

    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String v = Bramblespool.class.getPackage().getImplementationVersion();
            return new String[] {"bramblespool " + (v == null ? "(not packaged)" : v)};
        }
    }

    abstract static class RoleCommand implements Callable<Integer> {
        @Option(
                names = "--settings",
                paramLabel = "FILE",
                description = "the settings file; otherwise the one named by $" + Main.SETTINGS_VARIABLE)
        private Path file;

        @Option(
                names = "--log-level",
                paramLabel = "LEVEL",
                defaultValue = "INFO",
                description = "error, warn, info or debug (${DEFAULT-VALUE})")
        private EventLog.Level level;

        abstract String role();

        @Override
        public Integer call() {
            Path from = file != null ? file : Bramblespool.fromVariable();
            if (from == null) {
                return Bramblespool.noSettings();
            }
            int code = Main.run(role(), from, level);
            started = code == Main.OK;
            return code;
        }
    }

    @Command(
            name = "weft",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Runs the data plane's daemon, on a machine of class sidecar.")
    static final class WeftCommand extends RoleCommand {
        @Override
        String role() {
            return "weft";
        }
    }

    @Command(
            name = "hem",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Runs the gateway's daemon, on a machine of class edge.")
    static final class HemCommand extends RoleCommand {
        @Override
        String role() {
            return "hem";
        }
    }

    @Command(
            name = "helm",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Runs the control plane's daemon, on a machine of class core.")
    static final class HelmCommand extends RoleCommand {
        @Override
        String role() {
            return "helm";
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Checks a settings file (.toml) or a configuration (.json) without starting anything.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the file to check")
        private Path file;

        @Override
        public Integer call() {
            try {
                if (file.toString().endsWith(".toml")) {
                    Settings s = Settings.read(file);
                    System.out.println(file + ": settings of " + s.node() + ", fit for use");
                } else {
                    RoutingConfiguration c = RoutingConfiguration.compile(Files.readString(file));
                    System.out.println(file + ": configuration " + c.epoch + " with " + c.routeCount + " routes and "
                            + c.services.size() + " services, fit for use");
                }
                return Main.OK;
            } catch (Settings.InvalidSettingsException e) {
                System.err.println("bramblespool: " + e.getMessage());
            } catch (RoutingConfiguration.InvalidConfigurationException e) {
                System.err.println("bramblespool: " + file + ": " + e.getMessage());
            } catch (IOException e) {
                System.err.println("bramblespool: " + file + ": cannot be read");
            }
            return Main.UNFIT;
        }
    }

    @Command(
            name = "rehearse",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description =
                    "Plays a small mesh in this one process, on the loopback address, and says whether it worked.")
    static final class Rehearse implements Callable<Integer> {
        @Override
        public Integer call() {
            boolean well = Rehearsal.run();
            System.out.println(well ? "the rehearsal went well" : "the rehearsal failed");
            System.exit(well ? Main.OK : Main.FAILED);
            return Main.OK;
        }
    }
}
