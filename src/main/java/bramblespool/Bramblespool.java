package bramblespool;

import bramblespool.state.EventLog;
import java.nio.file.Path;

/** The program. The ordinary start of a role has nothing to parse, and a daemon that was killed is back the sooner. */
public final class Bramblespool {
    private Bramblespool() {}

    public static void main(String[] args) {
        if (args.length == 1 && Main.CLASSES.containsKey(args[0])) {
            plain(args[0]);
            return;
        }
        int code = Commands.execute(args);
        if (code != Commands.STAY) {
            System.exit(code);
        }
    }

    private static void plain(String role) {
        int code = fromVariable() == null ? noSettings() : Main.run(role, fromVariable(), EventLog.Level.INFO);
        if (code != Main.OK) {
            System.exit(code);
        }
    }

    static Path fromVariable() {
        String v = System.getenv(Main.SETTINGS_VARIABLE);
        return v == null || v.isEmpty() ? null : Path.of(v);
    }

    static int noSettings() {
        System.err.println("bramblespool: no settings: give --settings FILE or set " + Main.SETTINGS_VARIABLE);
        return Main.UNFIT;
    }
}
