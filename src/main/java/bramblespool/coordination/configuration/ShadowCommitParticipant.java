package bramblespool.coordination.configuration;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;

/**
 * A proxy's part in the shadow commit: two installed versions, a two-entry map that says which of them is real and
 * which is shadow, the tags of the commit under way, and how calls are marked.
 *
 * <p>Source: "Shadow Configuration as a Network Management Primitive", section 7.2 (the translation table),
 * sections 6.2 and 6.3 (phases, and the return to the normal state where no TAG PACKET comes). The marks on calls
 * are those of docs/design.md: the bit {@code 0} or {@code 1}, or during a commit a {@link VersionTag}.
 *
 * <p>The real version's number never goes down while the process runs. Confined to the event loop.
 */
public final class ShadowCommitParticipant {
    /**
     * The version that a call's mark names.
     *
     * @param configuration the version, or null in {@link #UNKNOWN}
     * @param isShadow whether the call is a marked test call, which must not reach an application server
     */
    public record ResolvedVersion(RoutingConfiguration configuration, boolean isShadow) {
        /** The mark names no version that is installed here. */
        static final ResolvedVersion UNKNOWN = new ResolvedVersion(null, false);

        private static ResolvedVersion of(RoutingConfiguration configuration, boolean isShadow) {
            return configuration == null ? UNKNOWN : new ResolvedVersion(configuration, isShadow);
        }

        /** Whether the mark names a version that is installed here. */
        public boolean isKnown() {
            return configuration != null;
        }
    }

    /** What became of a candidate in TAG DISTRIBUTION. */
    enum CandidateOutcome {
        /** Candidate and tags are recorded. */
        RECORDED,
        /** This document is the real version already. */
        ALREADY_REAL,
        /** The candidate builds on a version that is not the real one here. */
        BEHIND
    }

    /** The versions that the two tags of the commit under way name. */
    private record CommitTags(long oldEpoch, long newEpoch) {
        private static final long NO_EPOCH = -1;
        private static final CommitTags NONE = new CommitTags(NO_EPOCH, NO_EPOCH);

        private boolean contains(long epoch) {
            return epoch == oldEpoch || epoch == newEpoch;
        }
    }

    private static final String REAL_MARK = "0";
    private static final String SHADOW_MARK = "1";

    private final Clock clock;
    private final EventLog log;
    private final long revertTimeoutMs;
    private final RoutingConfiguration[] installed = new RoutingConfiguration[2];
    /** The map: this entry of {@link #installed} is real, the other one shadow. */
    private int realSlot;

    private ParticipantState state = ParticipantState.NORMAL;
    private CommitTags tags = CommitTags.NONE;
    private Clock.Timer revertTimer;
    private Runnable changeListener = () -> {};

    /**
     * @param revertTimeoutMs how long a recorded candidate waits for TAG PACKET before it is dropped, besides the time
     *     for which TAG DISTRIBUTION may stay open
     */
    public ShadowCommitParticipant(Clock clock, long revertTimeoutMs, EventLog log) {
        this.clock = clock;
        this.revertTimeoutMs = revertTimeoutMs;
        this.log = log;
    }

    /** Sets the listener that runs after each change of the real version. */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** The version in force; null before the first. */
    public RoutingConfiguration realConfiguration() {
        return installed[realSlot];
    }

    /** The other installed version: a candidate, or the version before the real one; null where there is none. */
    public RoutingConfiguration shadowConfiguration() {
        return installed[1 - realSlot];
    }

    /** The number of the version in force; 0 before the first. */
    public long epoch() {
        return realConfiguration() == null ? 0 : realConfiguration().epoch();
    }

    /** Whether calls are marked with tags instead of the shadow bit. */
    public boolean isTagging() {
        return state.usesTags();
    }

    /** The mark for a call that starts here under the real version, of which there must be one. */
    public String currentMark() {
        return isTagging() ? realConfiguration().tag() : REAL_MARK;
    }

    /** Whether the mark is a tag that names a version before the real one. */
    public boolean isTagOfOlderVersion(String mark) {
        return VersionTag.parse(mark).filter(tag -> tag.epoch() < epoch()).isPresent();
    }

    /**
     * Finds the version that a received mark names. A tag also counts as TAG PACKET (section 6.2: "indirect
     * triggering").
     *
     * @param mark the mark, or null where the call bears none
     */
    public ResolvedVersion resolve(String mark) {
        if (mark == null) {
            return ResolvedVersion.UNKNOWN;
        }
        if (mark.equals(REAL_MARK)) {
            return ResolvedVersion.of(versionOfRealMark(), false);
        }
        if (mark.equals(SHADOW_MARK)) {
            return ResolvedVersion.of(shadowConfiguration(), true);
        }
        VersionTag tag = VersionTag.parse(mark).orElse(null);
        if (tag == null) {
            return ResolvedVersion.UNKNOWN;
        }
        RoutingConfiguration configuration = findVersion(tag.epoch(), tag.stamp());
        if (configuration != null && !isTagging() && tags.contains(tag.epoch())) {
            startTagging(tags.newEpoch(), VersionTag.ANY_STAMP);
        }
        return ResolvedVersion.of(configuration, false);
    }

    /** While tags are in use an untagged call comes from a proxy that has not had TAG PACKET: it means C_old. */
    private RoutingConfiguration versionOfRealMark() {
        return isTagging() && tags.oldEpoch() > 0
                ? findVersion(tags.oldEpoch(), VersionTag.ANY_STAMP)
                : realConfiguration();
    }

    private RoutingConfiguration findVersion(long epoch, String stamp) {
        for (RoutingConfiguration configuration : installed) {
            if (configuration != null && configuration.matches(epoch, stamp)) {
                return configuration;
            }
        }
        return null;
    }

    /**
     * Phase 1, TAG DISTRIBUTION: records the candidate and its tags. Without TAG PACKET they are dropped after a time
     * limit (section 6.3: "soft state").
     *
     * @param openForMs how long the phase may stay open for other proxies; added to the time limit
     */
    CandidateOutcome recordCandidate(long oldEpoch, long newEpoch, RoutingConfiguration candidate, long openForMs) {
        if (isReal(newEpoch, candidate.stamp())) {
            return CandidateOutcome.ALREADY_REAL;
        }
        if (epoch() != oldEpoch) {
            return CandidateOutcome.BEHIND;
        }
        installed[1 - realSlot] = candidate;
        tags = new CommitTags(oldEpoch, newEpoch);
        state = state.after(CommitPhase.TAG_DISTRIBUTION);
        cancelRevertTimer();
        revertTimer = clock.schedule(revertTimeoutMs + openForMs, () -> revert(newEpoch, candidate.stamp()));
        return CandidateOutcome.RECORDED;
    }

    /**
     * Drops this candidate and returns to the normal state, where no TAG PACKET came or the commit was aborted (section
     * 6.3). Another candidate's tags stay, and after TAG PACKET nothing is dropped any more.
     */
    void revert(long newEpoch, String stamp) {
        if (state != ParticipantState.TAGS_RECORDED || newEpoch != tags.newEpoch() || !isShadow(newEpoch, stamp)) {
            return;
        }
        log.log(Event.SHADOW_REVERTED, "epoch", newEpoch);
        state = state.after(CommitPhase.ABORT);
        tags = CommitTags.NONE;
        cancelRevertTimer();
    }

    /**
     * Phase 2, TAG PACKET: calls are marked with tags from now on.
     *
     * @return whether that holds for this document, or it is real already
     */
    boolean startTagging(long newEpoch, String stamp) {
        if (newEpoch != tags.newEpoch() || findVersion(newEpoch, stamp) == null) {
            return isReal(newEpoch, stamp);
        }
        cancelRevertTimer();
        state = state.after(CommitPhase.TAG_PACKET);
        return true;
    }

    /**
     * Phase 3, SWAP: the entries of the map are exchanged. The tags stay with their versions (section 6.2).
     *
     * @return whether this document is real now
     */
    boolean swap(long newEpoch, String stamp) {
        if (epoch() == newEpoch) {
            return isReal(newEpoch, stamp);
        }
        if (newEpoch != tags.newEpoch() || !isShadow(newEpoch, stamp)) {
            return false;
        }
        cancelRevertTimer();
        exchangeEntries();
        log.log(Event.CONFIGURATION_ADOPTED, "epoch", newEpoch, "trigger", "swap");
        changeListener.run();
        return true;
    }

    /**
     * Phase 4, MARK SHADOW BIT: calls are marked with the bit again, and the tags are forgotten (section 6.1). The tags
     * of a commit that has begun since stay.
     *
     * @return whether this document is real
     */
    public boolean markShadowBit(long newEpoch, String stamp) {
        if (!isReal(newEpoch, stamp)) {
            return false;
        }
        if (tags.newEpoch() == newEpoch) {
            state = state.after(CommitPhase.MARK_SHADOW_BIT);
            tags = CommitTags.NONE;
        }
        return true;
    }

    /**
     * Makes a decided version real without the phases, for a proxy that missed its commit. A version that is not above
     * the real one is ignored.
     *
     * @param isMarked whether the version's commit is over, so that no tags are needed
     */
    public void adopt(RoutingConfiguration decided, boolean isMarked) {
        if (decided.epoch() <= epoch()) {
            return;
        }
        cancelRevertTimer();
        installed[1 - realSlot] = decided;
        exchangeEntries();
        long oldEpoch = shadowConfiguration() == null
                ? CommitTags.NO_EPOCH
                : shadowConfiguration().epoch();
        tags = new CommitTags(oldEpoch, decided.epoch());
        if (isMarked) {
            markShadowBit(decided.epoch(), decided.stamp());
        }
        log.log(Event.CONFIGURATION_ADOPTED, "epoch", decided.epoch(), "trigger", "adopted");
        changeListener.run();
    }

    private void exchangeEntries() {
        realSlot = 1 - realSlot;
        state = state.after(CommitPhase.SWAP);
    }

    private boolean isReal(long epoch, String stamp) {
        return realConfiguration() != null && realConfiguration().matches(epoch, stamp);
    }

    private boolean isShadow(long epoch, String stamp) {
        return shadowConfiguration() != null && shadowConfiguration().matches(epoch, stamp);
    }

    private void cancelRevertTimer() {
        if (revertTimer != null) {
            revertTimer.cancel();
            revertTimer = null;
        }
    }
}
