package bramblespool.coordination.configuration;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;

/**
 * A weft's side of the shadow commit: two installed versions, a two-entry map saying which is real and which is
 * shadow, the tags of the commit under way, and how calls are marked.
 */
public final class ShadowCommitParticipant {
    /** What a mark names here. */
    public record ResolvedVersion(RoutingConfiguration configuration, boolean isShadow) {}

    private static final String REAL_MARK = "0";
    private static final String SHADOW_MARK = "1";
    /** The stamp of whoever means any document of a number. */
    private static final String ANY_STAMP = "";

    private final Clock clock;
    private final EventLog log;
    private final long revertTimeoutMs;
    private final RoutingConfiguration[] installed = new RoutingConfiguration[2];
    /** The map: which slot is real; the other is shadow. */
    private int realSlot;

    private long taggedOldEpoch = -1;
    private long taggedNewEpoch = -1;
    private boolean isTagging;
    private boolean isSwapped;
    private Clock.Timer revertTimer;
    private Runnable changeListener = () -> {};

    public ShadowCommitParticipant(Clock clock, long revertTimeoutMs, EventLog log) {
        this.clock = clock;
        this.revertTimeoutMs = revertTimeoutMs;
        this.log = log;
    }

    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    public RoutingConfiguration realConfiguration() {
        return installed[realSlot];
    }

    public RoutingConfiguration shadowConfiguration() {
        return installed[1 - realSlot];
    }

    public long epoch() {
        return realConfiguration() == null ? 0 : realConfiguration().epoch();
    }

    public boolean isTagging() {
        return isTagging;
    }

    /** The mark for a call that starts here under the real version. */
    public String currentMark() {
        return isTagging ? realConfiguration().tag() : REAL_MARK;
    }

    /** The version that a tag names, or -1 where the mark is no tag. */
    public static long taggedEpoch(String mark) {
        if (mark == null || !mark.startsWith("t")) {
            return -1;
        }
        int stampSeparator = mark.indexOf('-');
        try {
            return Long.parseLong(mark.substring(1, stampSeparator < 0 ? mark.length() : stampSeparator));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** The version a received mark names, or null where this weft cannot tell. */
    public ResolvedVersion resolve(String mark) {
        if (mark == null) {
            return null;
        }
        if (mark.equals(REAL_MARK)) {
            // While tags are in use an untagged call is from a weft that has not had TAG PACKET: it means C_old.
            RoutingConfiguration configuration =
                    isTagging && taggedOldEpoch > 0 ? findVersion(taggedOldEpoch, ANY_STAMP) : realConfiguration();
            return configuration == null ? null : new ResolvedVersion(configuration, false);
        }
        if (mark.equals(SHADOW_MARK)) {
            return shadowConfiguration() == null ? null : new ResolvedVersion(shadowConfiguration(), true);
        }
        long epoch = taggedEpoch(mark);
        int stampSeparator = mark.indexOf('-');
        RoutingConfiguration configuration =
                findVersion(epoch, stampSeparator < 0 ? ANY_STAMP : mark.substring(stampSeparator + 1));
        if (configuration != null && !isTagging && (epoch == taggedOldEpoch || epoch == taggedNewEpoch)) {
            startTagging(taggedNewEpoch, ANY_STAMP);
        }
        return configuration == null ? null : new ResolvedVersion(configuration, false);
    }

    private RoutingConfiguration findVersion(long epoch, String stamp) {
        for (RoutingConfiguration configuration : installed) {
            if (configuration != null && configuration.matches(epoch, stamp)) {
                return configuration;
            }
        }
        return null;
    }

    /** Phase 1, which may stay open so long for others. Answers null when recorded, or why not. */
    public String prepareCandidate(long oldEpoch, long newEpoch, RoutingConfiguration candidate, long openForMs) {
        if (realConfiguration() != null && realConfiguration().matches(newEpoch, candidate.stamp())) {
            return null;
        }
        if (epoch() != oldEpoch) {
            return "behind";
        }
        installed[1 - realSlot] = candidate;
        taggedOldEpoch = oldEpoch;
        taggedNewEpoch = newEpoch;
        isTagging = false;
        isSwapped = false;
        cancelRevertTimer();
        revertTimer = clock.schedule(revertTimeoutMs + openForMs, () -> revert(newEpoch, candidate.stamp()));
        return null;
    }

    /** No TAG PACKET came, or this candidate's commit was aborted: back to the normal state. Another one's tags stay. */
    public void revert(long newEpoch, String stamp) {
        if (isTagging
                || isSwapped
                || newEpoch != taggedNewEpoch
                || shadowConfiguration() == null
                || !shadowConfiguration().matches(newEpoch, stamp)) {
            return;
        }
        log.log(Event.SHADOW_REVERTED, "epoch", taggedNewEpoch);
        taggedOldEpoch = -1;
        taggedNewEpoch = -1;
        cancelRevertTimer();
    }

    /** Phase 2: calls are marked with tags from now on. */
    public boolean startTagging(long newEpoch, String stamp) {
        if (newEpoch != taggedNewEpoch || findVersion(newEpoch, stamp) == null) {
            return realConfiguration() != null && realConfiguration().matches(newEpoch, stamp);
        }
        cancelRevertTimer();
        isTagging = true;
        return true;
    }

    /** Phase 3: the map's entries are exchanged; the tags stay with their versions. */
    public boolean swap(long newEpoch, String stamp) {
        if (epoch() == newEpoch) {
            return realConfiguration().matches(newEpoch, stamp);
        }
        if (newEpoch != taggedNewEpoch
                || shadowConfiguration() == null
                || !shadowConfiguration().matches(newEpoch, stamp)) {
            return false;
        }
        cancelRevertTimer();
        realSlot = 1 - realSlot;
        isTagging = true;
        isSwapped = true;
        log.log(Event.CONFIGURATION_ADOPTED, "epoch", newEpoch, "trigger", "swap");
        changeListener.run();
        return true;
    }

    /** Phase 4: back to the bit. The tags of a commit that has begun since stay. */
    public boolean markShadowBit(long newEpoch, String stamp) {
        if (realConfiguration() == null || !realConfiguration().matches(newEpoch, stamp)) {
            return false;
        }
        if (taggedNewEpoch == newEpoch) {
            isTagging = false;
            isSwapped = false;
            taggedOldEpoch = -1;
            taggedNewEpoch = -1;
        }
        return true;
    }

    /** A decided version taken directly by a weft that missed its commit. Never goes back. */
    public void adopt(RoutingConfiguration decided, boolean isMarked) {
        if (decided.epoch() <= epoch()) {
            return;
        }
        cancelRevertTimer();
        installed[1 - realSlot] = decided;
        realSlot = 1 - realSlot;
        taggedOldEpoch =
                shadowConfiguration() == null ? -1 : shadowConfiguration().epoch();
        taggedNewEpoch = decided.epoch();
        isTagging = true;
        isSwapped = true;
        if (isMarked) {
            markShadowBit(decided.epoch(), decided.stamp());
        }
        log.log(Event.CONFIGURATION_ADOPTED, "epoch", decided.epoch(), "trigger", "adopted");
        changeListener.run();
    }

    private void cancelRevertTimer() {
        if (revertTimer != null) {
            revertTimer.cancel();
            revertTimer = null;
        }
    }
}
