package bramblespool.coordination;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Whether what a side found at its start is of late. It is once its news has been compared with a helm in touch with who
 * leads. Where every helm known is silent or out of touch nobody can say: then it serves what it found, and goes on asking.
 */
final class Confirmation {
    private final Supplier<Set<String>> helms;
    private final LongSupplier newest;
    private final News news;
    private final Wire wire;
    private final long callMs;
    private final EventLog log;
    /** Helms that were silent or out of touch since the start. */
    private final Set<String> without = new HashSet<>();

    private final Set<String> asking = new HashSet<>();
    private boolean confirmed;
    private boolean waived;
    private long wanted;

    /** {@code newest}: the number of the newest version that the news tells of. */
    Confirmation(Supplier<Set<String>> helms, LongSupplier newest, News news, Wire wire, long callMs, EventLog log) {
        this.helms = helms;
        this.newest = newest;
        this.news = news;
        this.wire = wire;
        this.callMs = callMs;
        this.log = log;
    }

    boolean confirmed() {
        return confirmed;
    }

    /** Whether a side with that version need not wait for an answer any more. */
    boolean lets(long epoch) {
        return (confirmed || waived) && epoch >= wanted;
    }

    /** News has been compared with that helm. */
    void compared(String helm, News.Compared how) {
        if (confirmed) {
            return;
        }
        if (how == News.Compared.IN_TOUCH) {
            confirmed = true;
            wanted = waived ? 0 : newest.getAsLong();
            log.log(Event.CONFIGURATION_CONFIRMED, "controller", helm, "epoch", newest.getAsLong());
        } else {
            lacks(helm);
        }
    }

    /** That helm is silent or out of touch: as long as another one may be in touch, the others are asked. */
    void lacks(String helm) {
        if (confirmed || waived) {
            return;
        }
        without.add(helm);
        Collection<String> all = helms.get();
        waived = without.containsAll(all);
        for (String h : all) {
            if (!waived && !without.contains(h) && asking.add(h)) {
                wire.call(h, "ping", JsonNodeFactory.instance.objectNode(), callMs, a -> {
                    asking.remove(h);
                    if (a != null && a.path("touch").asBoolean()) {
                        news.compare(h, how -> compared(h, how));
                    } else {
                        lacks(h);
                    }
                });
            }
        }
    }
}
