package bramblespool.coordination.singleton;

import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.register.RegisterResult;
import java.util.Collection;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Agrees on what a window's report says before anybody sends it: the report is the value of a register of its own,
 * so that whoever sends it again sends the same. Confined to the event loop.
 */
final class ReportAgreement {
    /** Followed by the window's number: ids of the registers. Stored by the acceptors, so it keeps its text. */
    private static final String REGISTER_PREFIX = "usage/";
    /** A proposal may take this many times as long as a call, for it is several rounds. */
    private static final int REGISTER_TIMEOUT_FACTOR = 4;

    /** What came of an attempt to agree. */
    sealed interface Outcome {}

    /**
     * The window's report is chosen.
     *
     * @param report its text, for the platform
     */
    record Agreed(String report) implements Outcome {}

    /** Counts are lacking, and there is time to wait for them. */
    record Incomplete() implements Outcome {}

    /** No majority answered in time: whether a report is chosen is not known. */
    record NoMajority() implements Outcome {}

    private final RegisterProposer registerProposer;
    private final UsageCollector collector;
    private final ControllerPeers controllers;
    private final Supplier<? extends Collection<String>> members;
    private final UsageWindows windows;

    /** @param members the nodes of all proxies that have a session */
    ReportAgreement(
            RegisterProposer registerProposer,
            UsageCollector collector,
            ControllerPeers controllers,
            Supplier<? extends Collection<String>> members,
            UsageWindows windows) {
        this.registerProposer = registerProposer;
        this.collector = collector;
        this.controllers = controllers;
        this.members = members;
        this.windows = windows;
    }

    /**
     * Finds the report that is chosen for a window, or proposes one.
     *
     * @param elapsedMs how long ago the window ended
     */
    void agree(long window, long elapsedMs, Consumer<Outcome> callback) {
        registerProposer.read(registerId(window), registerTimeoutMs(), result -> {
            if (result instanceof RegisterResult.Chosen chosen) {
                // An earlier owner, or this one, has proposed it.
                callback.accept(new Agreed(chosen.value()));
            } else if (result instanceof RegisterResult.Empty) {
                gather(window, elapsedMs, callback);
            } else {
                callback.accept(new NoMajority());
            }
        });
    }

    /** Asks all controllers what they know of the window. */
    private void gather(long window, long elapsedMs, Consumer<Outcome> callback) {
        WindowUsage usage = new WindowUsage();
        usage.merge(collector.usageOf(window));
        Collection<String> addresses = controllers.addresses();
        int[] pending = {addresses.size() + 1};
        boolean[] isAnySilent = {false};
        Runnable onResponse = () -> {
            if (--pending[0] == 0) {
                propose(window, elapsedMs, usage, isAnySilent[0], callback);
            }
        };
        for (String controller : addresses) {
            controllers.call(controller, UsageCodec.QUERY_KIND, UsageCodec.encodeQuery(window), response -> {
                if (response == null) {
                    isAnySilent[0] = true;
                } else {
                    usage.merge(UsageCodec.decodeUsage(response));
                }
                onResponse.run();
            });
        }
        onResponse.run();
    }

    private void propose(
            long window, long elapsedMs, WindowUsage usage, boolean isAnySilent, Consumer<Outcome> callback) {
        boolean isComplete = !isAnySilent && usage.isFinalFor(members.get(), window);
        if (!isComplete && !windows.mayReportIncomplete(elapsedMs)) {
            callback.accept(new Incomplete());
            return;
        }
        String report = UsageCodec.encodeReport(new WindowReport(window, usage.totalsByTenant()));
        registerProposer.setIfAbsent(registerId(window), report, registerTimeoutMs(), result -> {
            callback.accept(
                    result instanceof RegisterResult.Chosen chosen ? new Agreed(chosen.value()) : new NoMajority());
        });
    }

    private static String registerId(long window) {
        return REGISTER_PREFIX + window;
    }

    private long registerTimeoutMs() {
        return controllers.callTimeoutMs() * REGISTER_TIMEOUT_FACTOR;
    }
}
