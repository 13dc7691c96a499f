package bramblespool.coordination.singleton;

import bramblespool.transport.Clock;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What the proxies with a session here have reported of their usage, by process and window. Confined to the event
 * loop.
 */
final class UsageCollector {
    /** Windows kept beyond those that may still be asked for, as a proxy's clock may be ahead. */
    private static final int EXTRA_WINDOWS = 2;
    /** A process is forgotten after a silence of so many times the time in which a window may be reported. */
    private static final int SILENCE_FACTOR = 2;

    private static final class Process {
        private final String node;
        private final TreeMap<Long, Map<String, Integer>> runsByWindow = new TreeMap<>();
        private long finalBeforeWindow;
        private long lastUpdateMs;

        private Process(String node) {
            this.node = node;
        }
    }

    private final Clock clock;
    private final UsageWindows windows;
    private final Map<String, Process> processes = new HashMap<>();

    UsageCollector(Clock clock, UsageWindows windows) {
        this.clock = clock;
        this.windows = windows;
    }

    /** Takes a proxy's sums; later ones replace those before. */
    void add(String node, UsageUpdate update) {
        Process process = processes.computeIfAbsent(node + " " + update.incarnation(), k -> new Process(node));
        process.finalBeforeWindow = Math.max(process.finalBeforeWindow, update.finalBeforeWindow());
        process.lastUpdateMs = clock.nowMs();
        process.runsByWindow.putAll(update.runsByWindow());
        while (process.runsByWindow.size() > windows.retained() + EXTRA_WINDOWS) {
            process.runsByWindow.pollFirstEntry();
        }
    }

    /** What is known here of a window, by process. */
    Map<String, ProcessUsage> usageOf(long window) {
        Map<String, ProcessUsage> usageByProcess = new LinkedHashMap<>();
        processes.forEach((key, process) -> usageByProcess.put(
                key,
                new ProcessUsage(
                        process.node,
                        process.finalBeforeWindow,
                        Optional.ofNullable(process.runsByWindow.get(window)))));
        return usageByProcess;
    }

    /** Forgets processes whose sums nobody can report any more. */
    void removeSilentProcesses() {
        long limitMs = windows.lateMs() * SILENCE_FACTOR;
        processes.values().removeIf(process -> clock.nowMs() - process.lastUpdateMs > limitMs);
    }

    int processCount() {
        return processes.size();
    }
}
