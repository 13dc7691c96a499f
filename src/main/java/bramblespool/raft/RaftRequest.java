package bramblespool.raft;

import bramblespool.state.DurableStore;
import java.util.List;
import java.util.OptionalLong;

/**
 * The requests that members of the group send to each other. {@link RaftMessageCodec} knows their form on the wire. A
 * member is named by its id, {@code address#incarnation}.
 */
sealed interface RaftRequest {
    /** A request meant for one incarnation of a member; any other at the same address drops it. */
    sealed interface Addressed extends RaftRequest {
        String recipientId();
    }

    /** A request that only the leader of a term sends. */
    sealed interface FromLeader extends Addressed {
        LeaderHeader header();

        @Override
        default String recipientId() {
            return header().recipientId();
        }
    }

    /**
     * What each request of a leader carries.
     *
     * @param controlAddress where the leader serves operators
     * @param sequence numbers the leader's requests to this recipient, from 1
     * @param answeredSequence the highest sequence that this recipient is known to have answered, 0 for none
     * @param grantsLease whether the recipient's lease counts anew from that answer
     * @param digestIndex the index for which the leader asks the digest of the recipient's state
     * @param isStateDiverged whether the recipient's state is known to differ from the group's
     */
    record LeaderHeader(
            Identity identity,
            String controlAddress,
            long sequence,
            long answeredSequence,
            boolean grantsLease,
            OptionalLong digestIndex,
            boolean isStateDiverged) {
        String recipientId() {
            return identity.recipientId();
        }

        String leaderId() {
            return identity.leaderId();
        }

        long term() {
            return identity.term();
        }
    }

    /** Who sends a leader's request to whom, and in which term. */
    record Identity(String recipientId, String leaderId, long term) {}

    /**
     * RequestVote (Raft dissertation, figure 3.1), or the pre-vote that precedes it (section 9.6).
     *
     * @param term the term for which the candidate asks, which in a pre-vote it has not entered yet
     * @param isLeadershipTransfer whether the last leader asked for this election, so that it need not be silent first
     */
    record Vote(
            String recipientId,
            String candidateId,
            long term,
            boolean isPreVote,
            boolean isLeadershipTransfer,
            long lastIndex,
            long lastTerm)
            implements Addressed {}

    /**
     * Consecutive entries and where they belong.
     *
     * @param previousTerm the term of the entry at {@code previousIndex}, or {@link RaftLog#UNKNOWN_TERM}
     * @param commitIndex the leader's commit index
     */
    record LogSegment(long previousIndex, long previousTerm, long commitIndex, List<DurableStore.LogEntry> entries) {}

    /** AppendEntries (figure 3.1). */
    record Append(LeaderHeader header, LogSegment segment) implements FromLeader {}

    /** A sign of life beside a request that takes long; it says nothing of the log. */
    record Heartbeat(LeaderHeader header) implements FromLeader {}

    /**
     * A part of something too large for one request.
     *
     * @param transferId the same for the same data, whoever sends it
     * @param totalChars the length of the whole
     */
    record Chunk(String transferId, int totalChars, int offset, String data) {}

    /** InstallSnapshot (figure 5.3): a part of the snapshot that ends with the entry of that index and term. */
    record SnapshotChunk(LeaderHeader header, Chunk chunk, long lastIndex, long lastTerm, List<String> voters)
            implements FromLeader {}

    /** A part of one entry; the other values are those of an {@link Append} of this entry alone. */
    record EntryChunk(
            LeaderHeader header,
            Chunk chunk,
            long index,
            long entryTerm,
            long previousIndex,
            long previousTerm,
            long commitIndex)
            implements FromLeader {
        /** The append request that this part completes. */
        LogSegment toSegment(DurableStore.LogEntry entry) {
            return new LogSegment(previousIndex, previousTerm, commitIndex, List.of(entry));
        }
    }

    /** TimeoutNow (section 3.10): the leader of this term hands over to the recipient, with the learners it knows. */
    record TransferLeadership(String recipientId, String leaderId, long term, List<String> learners)
            implements Addressed {}

    /** A voter asks the leader to be removed from the group. */
    record Leave(String recipientId, String memberId) implements Addressed {}

    /** A member asks whoever leads to be taken into the group as a learner. */
    record Join(String memberId) implements RaftRequest {}
}
