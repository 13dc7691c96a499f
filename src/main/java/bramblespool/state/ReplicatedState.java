package bramblespool.state;

import bramblespool.state.ReplicatedEntry.CandidateStored;
import bramblespool.state.ReplicatedEntry.CommitAborted;
import bramblespool.state.ReplicatedEntry.CommitDecided;
import bramblespool.state.ReplicatedEntry.EvacuationChanged;
import bramblespool.state.ReplicatedEntry.PhaseReached;
import bramblespool.state.ReplicatedEntry.SingletonRoleAssigned;
import bramblespool.state.ReplicatedEntry.VotersChanged;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the controllers have agreed on: the configurations and how far the commit of the newest has come, evacuated
 * zones, owners of singleton roles, voters. The same entries lead every controller to the same state, whatever it is
 * made of: nothing here depends on time, on chance or on the machine. Confined to the event loop.
 */
public final class ReplicatedState {
    /**
     * Digests of committed requests that are kept, so that a repeated one is known: more than the changes of a long
     * day.
     */
    private static final int MAX_COMMITTED_DIGESTS = 4096;

    /** So many characters of a digest are enough to distinguish it. */
    private static final int SHORT_DIGEST_CHARS = 32;

    /**
     * How far the commit of the current version has come, as the phases of "Shadow Configuration as a Network
     * Management Primitive" are replicated: a new leader goes on from here. The names are stored.
     */
    public enum Phase {
        /** Nothing was ever committed. */
        NONE,
        /** The version is decided: the proxies may begin to tag packets. */
        DECIDED,
        /** The proxies in touch have swapped. */
        SWAPPED,
        /** The proxies in touch have set the shadow bit anew: the commit is complete. */
        MARKED
    }

    /**
     * A version of the configuration.
     *
     * @param epoch the operator's number for it, 0 for none
     * @param compressedDocument see {@link CompressedDocument}; null for none
     * @param digest identifies the operator's request
     */
    public record Version(long epoch, String compressedDocument, String digest) {
        static final Version NONE = new Version(0, null, "");
    }

    /** Whether a zone is evacuated; the index of the entry orders a zone's changes. */
    public record Evacuation(boolean isEvacuated, long index) {}

    /**
     * The owner of a singleton role.
     *
     * @param fencingToken index of the entry that assigned the role: it only ever rises
     * @param isFirstOwner whether nobody owned the role before
     */
    public record SingletonRole(String owner, long fencingToken, boolean isFirstOwner) {}

    private Version current = Version.NONE;
    private Version previous = Version.NONE;
    private Version candidate;
    private long candidateBaseEpoch;
    private Phase phase = Phase.NONE;
    /** The oldest first, with their epochs. */
    private final Map<String, Long> committedDigests = new LinkedHashMap<>();

    private final Map<String, Evacuation> evacuations = new LinkedHashMap<>();
    private final Map<String, SingletonRole> singletonRoles = new LinkedHashMap<>();

    private VoterSet voterSet = VoterSet.decode(List.of());
    private final Map<String, Long> voterSinceIndexes = new LinkedHashMap<>();
    private long votersChangedIndex;

    private final Map<String, Evacuation> evacuationsView = Collections.unmodifiableMap(evacuations);
    private final Map<String, SingletonRole> singletonRolesView = Collections.unmodifiableMap(singletonRoles);
    private final Map<String, Long> voterSinceIndexesView = Collections.unmodifiableMap(voterSinceIndexes);

    /** The committed voters, or the committed change under way from some to others. */
    public VoterSet voterSet() {
        return voterSet;
    }

    /** The voters, each with the index of the entry since which it has been one without a break. */
    public Map<String, Long> voterSinceIndexes() {
        return voterSinceIndexesView;
    }

    /** The index of the entry that made them the voters. */
    public long votersChangedIndex() {
        return votersChangedIndex;
    }

    /** The singleton roles that were ever assigned, by their keys. */
    public Map<String, SingletonRole> singletonRoles() {
        return singletonRolesView;
    }

    /** The zones that were ever evacuated, by their names. */
    public Map<String, Evacuation> evacuations() {
        return evacuationsView;
    }

    /** The version decided last. */
    public Version current() {
        return current;
    }

    /** The version before the current one. */
    public Version previous() {
        return previous;
    }

    /** The version whose commit has begun and is neither decided nor aborted, or null. */
    public Version candidate() {
        return candidate;
    }

    /** How far the commit of the current version has come. */
    public Phase phase() {
        return phase;
    }

    /** Whether the operator's request with this digest was committed. */
    public boolean isCommitted(String digest) {
        return committedDigests.containsKey(shortDigest(digest));
    }

    private static String shortDigest(String digest) {
        return digest.substring(0, Math.min(SHORT_DIGEST_CHARS, digest.length()));
    }

    /**
     * Applies a committed entry. An entry that doesn't fit the state, such as the decision of a candidate given up
     * before, changes nothing.
     *
     * @param index the entry's index in the log, one above that of the entry before
     */
    public void apply(long index, ReplicatedEntry entry) {
        if (entry instanceof CandidateStored candidateStored) {
            applyCandidate(candidateStored);
        } else if (entry instanceof CommitAborted abort) {
            applyAbort(abort);
        } else if (entry instanceof CommitDecided decision) {
            applyDecision(decision);
        } else if (entry instanceof PhaseReached phaseReached) {
            applyPhase(phaseReached);
        } else if (entry instanceof VotersChanged voters) {
            applyVoters(index, voters);
        } else if (entry instanceof EvacuationChanged evacuation) {
            applyEvacuation(index, evacuation);
        } else if (entry instanceof SingletonRoleAssigned role) {
            applySingletonRole(index, role);
        }
    }

    private void applyCandidate(CandidateStored entry) {
        if (candidate == null) {
            candidate = new Version(entry.epoch(), entry.compressedDocument(), entry.digest());
            candidateBaseEpoch = entry.baseEpoch();
        }
    }

    private void applyAbort(CommitAborted entry) {
        if (candidate != null && candidate.epoch == entry.epoch()) {
            candidate = null;
        }
    }

    private void applyDecision(CommitDecided entry) {
        boolean isCandidate = candidate != null && candidate.epoch == entry.epoch();
        if (!isCandidate || candidateBaseEpoch != current.epoch || candidate.epoch <= current.epoch) {
            return;
        }
        previous = current;
        current = candidate;
        candidate = null;
        phase = Phase.DECIDED;
        committedDigests.put(shortDigest(current.digest), current.epoch);
        if (committedDigests.size() > MAX_COMMITTED_DIGESTS) {
            committedDigests.remove(committedDigests.keySet().iterator().next());
        }
    }

    private void applyPhase(PhaseReached entry) {
        if (current.epoch == entry.epoch()) {
            phase = entry.phase();
        }
    }

    private void applyVoters(long index, VotersChanged entry) {
        Map<String, Long> previousVoters = new LinkedHashMap<>(voterSinceIndexes);
        voterSinceIndexes.clear();
        voterSet = entry.voterSet();
        for (String voter : voterSet.all()) {
            voterSinceIndexes.put(voter, previousVoters.getOrDefault(voter, index));
        }
        votersChangedIndex = index;
    }

    private void applyEvacuation(long index, EvacuationChanged entry) {
        evacuations.put(entry.zone(), new Evacuation(entry.isEvacuated(), index));
    }

    private void applySingletonRole(long index, SingletonRoleAssigned entry) {
        boolean isFirstOwner = !singletonRoles.containsKey(entry.key());
        singletonRoles.put(entry.key(), new SingletonRole(entry.owner(), index, isFirstOwner));
    }

    /** The whole state; see {@link ReplicatedStateSnapshot} for how long it holds. */
    public ReplicatedStateSnapshot snapshot() {
        return new ReplicatedStateSnapshot(
                new ReplicatedStateSnapshot.Configurations(
                        current,
                        previous,
                        candidate,
                        candidateBaseEpoch,
                        phase,
                        Collections.unmodifiableMap(committedDigests)),
                new ReplicatedStateSnapshot.Voters(voterSet, voterSinceIndexesView, votersChangedIndex),
                evacuationsView,
                singletonRolesView);
    }

    /** Replaces the whole state. */
    public void restore(ReplicatedStateSnapshot snapshot) {
        ReplicatedStateSnapshot.Configurations configurations = snapshot.configurations();
        current = configurations.current();
        previous = configurations.previous();
        candidate = configurations.candidate();
        candidateBaseEpoch = configurations.candidateBaseEpoch();
        phase = configurations.phase();
        committedDigests.clear();
        // Early versions stored whole digests.
        configurations.committedDigests().forEach((digest, epoch) -> committedDigests.put(shortDigest(digest), epoch));
        evacuations.clear();
        evacuations.putAll(snapshot.evacuations());
        voterSet = snapshot.voters().voterSet();
        voterSinceIndexes.clear();
        voterSinceIndexes.putAll(snapshot.voters().sinceIndexes());
        votersChangedIndex = snapshot.voters().changedIndex();
        singletonRoles.clear();
        singletonRoles.putAll(snapshot.singletonRoles());
    }
}
