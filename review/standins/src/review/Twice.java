package review;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The check of TWICE over what the servers have run. */
final class Twice {
    private Twice() {}

    /**
     * How often a key of a tenant ran, and had run before, where the later request was sent less than the window after
     * the earlier one was sent.
     */
    static int count(Mesh mesh, long windowMs) {
        List<AppServer.Run> runs = new ArrayList<>();
        mesh.allServers.forEach(server -> runs.addAll(server.runs()));
        runs.sort(Comparator.comparingLong(AppServer.Run::atMs));
        Map<String, AppServer.Run> lastRuns = new HashMap<>();
        int twice = 0;
        for (AppServer.Run run : runs) {
            AppServer.Run last = lastRuns.put(run.tenant() + " " + run.key(), run);
            if (last != null && mesh.sentMs(run.attempt()) - mesh.sentMs(last.attempt()) < windowMs) {
                mesh.record.line("TWICE tenant=" + run.tenant() + " key=" + run.key() + ": sent at "
                        + mesh.sentMs(last.attempt()) + " and run, sent at " + mesh.sentMs(run.attempt())
                        + " and run again");
                twice++;
            }
        }
        mesh.record.line("runs: " + runs.size() + ", keys that ran twice inside keyWindow: " + twice);
        return twice;
    }
}
