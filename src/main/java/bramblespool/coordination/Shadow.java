package bramblespool.coordination;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;

/**
 * A weft's side of the shadow commit: two installed versions, a two-entry map saying which is real and which is
 * shadow, the tags of the commit under way, and how calls are marked.
 */
public final class Shadow {
    /** What a mark names here. */
    public record Choice(RoutingConfiguration config, boolean test) {}

    private static final String REAL = "0";
    private static final String TEST = "1";
    /** The stamp of whoever means any document of a number. */
    private static final String ANY = "";

    private final Clock clock;
    private final EventLog log;
    private final long revertMs;
    private final RoutingConfiguration[] installed = new RoutingConfiguration[2];
    /** The map: which slot is real; the other is shadow. */
    private int real;

    private long tagOld = -1;
    private long tagNew = -1;
    private boolean tagging;
    private boolean swapped;
    private Clock.Timer timeout;
    private Runnable changed = () -> {};

    public Shadow(Clock clock, long revertMs, EventLog log) {
        this.clock = clock;
        this.revertMs = revertMs;
        this.log = log;
    }

    public void onChange(Runnable r) {
        changed = r;
    }

    public RoutingConfiguration real() {
        return installed[real];
    }

    public RoutingConfiguration shadow() {
        return installed[1 - real];
    }

    public long epoch() {
        return real() == null ? 0 : real().epoch;
    }

    public boolean tagging() {
        return tagging;
    }

    /** The mark for a call that starts here under the real version. */
    public String mark() {
        return tagging ? real().tag() : REAL;
    }

    /** The version that a tag names, or -1 where the mark is no tag. */
    static long tagged(String mark) {
        if (mark == null || !mark.startsWith("t")) {
            return -1;
        }
        int stamp = mark.indexOf('-');
        try {
            return Long.parseLong(mark.substring(1, stamp < 0 ? mark.length() : stamp));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** The version a received mark names, or null where this weft cannot tell. */
    public Choice resolve(String mark) {
        if (mark == null) {
            return null;
        }
        if (mark.equals(REAL)) {
            // While tags are in use an untagged call is from a weft that has not had TAG PACKET: it means C_old.
            RoutingConfiguration c = tagging && tagOld > 0 ? versioned(tagOld, ANY) : real();
            return c == null ? null : new Choice(c, false);
        }
        if (mark.equals(TEST)) {
            return shadow() == null ? null : new Choice(shadow(), true);
        }
        long epoch = tagged(mark);
        int stamp = mark.indexOf('-');
        RoutingConfiguration c = versioned(epoch, stamp < 0 ? ANY : mark.substring(stamp + 1));
        if (c != null && !tagging && (epoch == tagOld || epoch == tagNew)) {
            tagPacket(tagNew, ANY);
        }
        return c == null ? null : new Choice(c, false);
    }

    private RoutingConfiguration versioned(long epoch, String stamp) {
        for (RoutingConfiguration c : installed) {
            if (c != null && c.matches(epoch, stamp)) {
                return c;
            }
        }
        return null;
    }

    /** Phase 1, which may stay open so long for others. Answers null when recorded, or why not. */
    public String distribute(long old, long fresh, RoutingConfiguration candidate, long openMs) {
        if (real() != null && real().matches(fresh, candidate.stamp)) {
            return null;
        }
        if (epoch() != old) {
            return "behind";
        }
        installed[1 - real] = candidate;
        tagOld = old;
        tagNew = fresh;
        tagging = false;
        swapped = false;
        cancel();
        timeout = clock.after(revertMs + openMs, () -> revert(fresh, candidate.stamp));
        return null;
    }

    /** No TAG PACKET came, or this candidate's commit was aborted: back to the normal state. Another one's tags stay. */
    public void revert(long fresh, String stamp) {
        if (tagging || swapped || fresh != tagNew || shadow() == null || !shadow().matches(fresh, stamp)) {
            return;
        }
        log.log(Event.SHADOW_REVERTED, "epoch", tagNew);
        tagOld = -1;
        tagNew = -1;
        cancel();
    }

    /** Phase 2: calls are marked with tags from now on. */
    public boolean tagPacket(long fresh, String stamp) {
        if (fresh != tagNew || versioned(fresh, stamp) == null) {
            return real() != null && real().matches(fresh, stamp);
        }
        cancel();
        tagging = true;
        return true;
    }

    /** Phase 3: the map's entries are exchanged; the tags stay with their versions. */
    public boolean swap(long fresh, String stamp) {
        if (epoch() == fresh) {
            return real().matches(fresh, stamp);
        }
        if (fresh != tagNew || shadow() == null || !shadow().matches(fresh, stamp)) {
            return false;
        }
        cancel();
        real = 1 - real;
        tagging = true;
        swapped = true;
        log.log(Event.CONFIGURATION_ADOPTED, "epoch", fresh, "trigger", "swap");
        changed.run();
        return true;
    }

    /** Phase 4: back to the bit. The tags of a commit that has begun since stay. */
    public boolean markBit(long fresh, String stamp) {
        if (real() == null || !real().matches(fresh, stamp)) {
            return false;
        }
        if (tagNew == fresh) {
            tagging = false;
            swapped = false;
            tagOld = -1;
            tagNew = -1;
        }
        return true;
    }

    /** A decided version taken directly by a weft that missed its commit. Never goes back. */
    public void adopt(RoutingConfiguration decided, boolean settled) {
        if (decided.epoch <= epoch()) {
            return;
        }
        cancel();
        installed[1 - real] = decided;
        real = 1 - real;
        tagOld = shadow() == null ? -1 : shadow().epoch;
        tagNew = decided.epoch;
        tagging = true;
        swapped = true;
        if (settled) {
            markBit(decided.epoch, decided.stamp);
        }
        log.log(Event.CONFIGURATION_ADOPTED, "epoch", decided.epoch, "trigger", "adopted");
        changed.run();
    }

    private void cancel() {
        if (timeout != null) {
            timeout.cancel();
            timeout = null;
        }
    }
}
