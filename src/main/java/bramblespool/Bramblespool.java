package bramblespool;

import bramblespool.state.Config;
import bramblespool.state.Log;
import bramblespool.state.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line. */
@Command(name = "bramblespool", mixinStandardHelpOptions = true, versionProvider = Bramblespool.Version.class,
        description = "A service mesh whose configurations are committed in the shadow of the running one.",
        subcommands = {Bramblespool.WeftCommand.class, Bramblespool.HelmCommand.class, Bramblespool.Check.class,
            Bramblespool.Rehearse.class, Status.class},
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:done, or ended in order", "1:failed", "2:wrong usage, or a file that is not fit for use"})
public final class Bramblespool implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    public static void main(String[] args) {
        if (args.length == 1 && (args[0].equals("weft") || args[0].equals("helm"))) {
            // The ordinary start has nothing to parse; a daemon that was killed is back the sooner.
            plain(args[0]);
            return;
        }
        int code = new CommandLine(new Bramblespool()).setCaseInsensitiveEnumValuesAllowed(true).execute(args);
        if (code != Main.OK || !started) {
            System.exit(code);
        }
    }

    private static boolean started;

    private static void plain(String role) {
        int code = fromVariable() == null ? noSettings() : Main.run(role, fromVariable(), Log.Level.INFO);
        if (code != Main.OK) {
            System.exit(code);
        }
    }

    private static Path fromVariable() {
        String v = System.getenv(Main.SETTINGS_VARIABLE);
        return v == null || v.isEmpty() ? null : Path.of(v);
    }

    private static int noSettings() {
        System.err.println("bramblespool: no settings: give --settings FILE or set " + Main.SETTINGS_VARIABLE);
        return Main.UNFIT;
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
        @Option(names = "--settings", paramLabel = "FILE",
                description = "the settings file; otherwise the one named by $" + Main.SETTINGS_VARIABLE)
        private Path file;

        @Option(names = "--log-level", paramLabel = "LEVEL", defaultValue = "INFO",
                description = "error, warn, info or debug (${DEFAULT-VALUE})")
        private Log.Level level;

        abstract String role();

        @Override
        public Integer call() {
            Path from = file != null ? file : fromVariable();
            if (from == null) {
                return noSettings();
            }
            int code = Main.run(role(), from, level);
            started = code == Main.OK;
            return code;
        }
    }

    @Command(name = "weft", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "Runs the data plane's daemon, on a machine of class sidecar.")
    static final class WeftCommand extends RoleCommand {
        @Override
        String role() {
            return "weft";
        }
    }

    @Command(name = "helm", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "Runs the control plane's daemon, on a machine of class core.")
    static final class HelmCommand extends RoleCommand {
        @Override
        String role() {
            return "helm";
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true, versionProvider = Version.class,
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
                    Config c = Config.compile(Files.readString(file));
                    System.out.println(file + ": configuration " + c.epoch + " with " + c.routeCount + " routes and "
                            + c.services.size() + " services, fit for use");
                }
                return Main.OK;
            } catch (Settings.Unfit e) {
                System.err.println("bramblespool: " + e.getMessage());
            } catch (Config.Invalid e) {
                System.err.println("bramblespool: " + file + ": " + e.getMessage());
            } catch (IOException e) {
                System.err.println("bramblespool: " + file + ": cannot be read");
            }
            return Main.UNFIT;
        }
    }

    @Command(name = "rehearse", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "Plays a small mesh in this one process, on the loopback address, and says whether it worked.")
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
