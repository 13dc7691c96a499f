package bramblespool.model;

import static bramblespool.model.ScheduleGenerator.Theme.AWAY;
import static bramblespool.model.ScheduleGenerator.Theme.BEYOND;
import static bramblespool.model.ScheduleGenerator.Theme.CLOSING;
import static bramblespool.model.ScheduleGenerator.Theme.CUT_OFF;
import static bramblespool.model.ScheduleGenerator.Theme.KEYED;
import static bramblespool.model.ScheduleGenerator.Theme.LEADS_AGAIN;
import static bramblespool.model.ScheduleGenerator.Theme.MIX;
import static bramblespool.model.ScheduleGenerator.Theme.RIVALS;
import static bramblespool.model.ScheduleGenerator.Theme.STORM;
import static bramblespool.model.ScheduleGenerator.Theme.TURNS;

import java.util.List;

/**
 * The faults that the model must see. {@link MutantsTest} holds the texts to the sources; {@link MutantSearch} runs the
 * mutants. The names are those of docs/control.md.
 */
final class Mutants {
    private static final String QUORUM_STATE = "raft/QuorumState.java";
    private static final String ROLE_TRANSITIONS = "raft/RoleTransitions.java";
    private static final String VOTE_HANDLER = "raft/VoteHandler.java";
    private static final String LEADER_STATE = "raft/LeaderState.java";
    private static final String LOG_REPLICATOR = "raft/LogReplicator.java";
    private static final String APPEND_HANDLER = "raft/AppendHandler.java";
    private static final String CHUNK_HANDLER = "raft/ChunkHandler.java";
    private static final String FOLLOWER_WRITER = "raft/FollowerWriter.java";
    private static final String RAFT_LOG = "raft/RaftLog.java";
    private static final String RAFT_MESSAGE_CODEC = "raft/RaftMessageCodec.java";
    private static final String MEMBERSHIP_CHANGE = "raft/MembershipChange.java";
    private static final String VOTER_SET = "state/VoterSet.java";
    private static final String REPLICATED_STATE = "state/ReplicatedState.java";
    private static final String COORDINATOR = "coordination/configuration/ShadowCommitCoordinator.java";
    private static final String CANDIDATE_FACTORY = "coordination/configuration/CandidateFactory.java";
    private static final String RECOVERY_ACTION = "coordination/configuration/RecoveryAction.java";
    private static final String PARTICIPANT = "coordination/configuration/ShadowCommitParticipant.java";
    private static final String PHASE_REPLIES = "coordination/register/PhaseReplies.java";
    private static final String PROPOSAL = "coordination/register/Proposal.java";
    private static final String REGISTER_STATE = "coordination/register/RegisterState.java";
    private static final String REGISTER_TABLE = "coordination/register/RegisterTable.java";
    private static final String IDEMPOTENCY_TABLE = "coordination/tenancy/IdempotencyTable.java";
    private static final String REQUEST_ADMISSION = "coordination/tenancy/RequestAdmission.java";
    private static final String ANSWER_REPLICA = "coordination/answer/AnswerReplica.java";
    private static final String DATA_PLANE_NODE = "coordination/dataplane/DataPlaneNode.java";
    private static final String PROXY_TENANCY = "coordination/dataplane/ProxyTenancy.java";

    private static final List<Mutant> ELECTION = List.of(
            Mutant.of("votes twice in a term", MIX)
                    .replacing(
                            QUORUM_STATE,
                            "if (votedFor != null && !votedFor.equals(candidateId)) {",
                            "if (votedFor == null && candidateId == null) {"),
            Mutant.of("votes before its disk has the vote", MIX)
                    .replacing(
                            VOTE_HANDLER,
                            "storage.saveTermAndVote(() -> callback.respond(response));",
                            "storage.saveTermAndVote(() -> { }); callback.respond(response);"),
            Mutant.of("wins with half of the votes", MIX)
                    .replacing(VOTER_SET, "Math.max(voterCount / 2 + 1,", "Math.max(Math.max(1, voterCount / 2),"),
            Mutant.of("votes for whoever lacks entries", CLOSING)
                    .replacing(VOTE_HANDLER, "if (!isUpToDate(request) || !quorum.grantVote", "if (!quorum.grantVote")
                    .replacing(
                            VOTE_HANDLER,
                            "request.term() > quorum.currentTerm() && isUpToDate(request)",
                            "request.term() > quorum.currentTerm()"),
            Mutant.of("its term goes back", CUT_OFF)
                    .replacing(
                            ROLE_TRANSITIONS, "if (header.term() < quorum.currentTerm()) {", "if (header.term() < 0) {")
                    .replacing(
                            QUORUM_STATE,
                            "boolean isNewerTerm = term > currentTerm;",
                            "boolean isNewerTerm = term != currentTerm;")
                    .replacing(
                            ROLE_TRANSITIONS,
                            "if (header.term() > quorum.currentTerm() ||",
                            "if (header.term() != quorum.currentTerm() ||"));

    private static final List<Mutant> REPLICATION = List.of(
            Mutant.of("a follower answers before its disk", MIX)
                    .replacing(
                            FOLLOWER_WRITER,
                            "PendingResponse pending = new PendingResponse(responses.accepted(), callback);",
                            "callback.accept(responses.accepted());"
                                    + "PendingResponse pending = new PendingResponse(responses.accepted(), r -> { });"),
            Mutant.of("a leader counts itself before its disk", MIX)
                    .replacing(
                            LOG_REPLICATOR,
                            "storage.append(List.of(entry), () -> {",
                            "raftLog.markDurable(entry.index(), entry.term()); advanceCommitIndex(leader);"
                                    + " storage.append(List.of(entry), () -> {"),
            Mutant.of("one copy is enough", MIX)
                    .replacing(
                            VOTER_SET,
                            "return Math.max(voterCount / 2 + 1, Math.min(requiredReplicas, voterCount));",
                            "return requiredReplicas == 0 ? voterCount / 2 + 1 : 1;"),
            Mutant.of("agrees on an older term's entry by counting", STORM)
                    .replacing(LOG_REPLICATOR, "&& raftLog.termAt(replicatedIndex) == leader.term()", "")
                    // Otherwise the first entry of the new term goes in the same message as the old one.
                    .replacing(LOG_REPLICATOR, "MAX_ENTRIES_PER_REQUEST = 64", "MAX_ENTRIES_PER_REQUEST = 1"),
            Mutant.of("does not look at the entry before", CUT_OFF)
                    .replacing(APPEND_HANDLER, "raftLog.termAt(previousIndex) == segment.previousTerm()", "true"),
            Mutant.of("keeps what differs from its leader", CUT_OFF)
                    .replacing(
                            APPEND_HANDLER,
                            "if (index <= raftLog.lastIndex() && raftLog.termAt(index) != entry.term()) {",
                            "if (index <= raftLog.lastIndex() && entry.term() < 0) {"),
            Mutant.of("stores entries altered", MIX)
                    .replacing(
                            RAFT_MESSAGE_CODEC,
                            "++index, entry.path(TERM).asLong(), entry.path(DATA).asText())",
                            "++index, entry.path(TERM).asLong(), entry.path(DATA).asText() + \" \")"),
            Mutant.of("forgets evacuations with the next version", MIX)
                    .replacing(
                            REPLICATED_STATE,
                            "        candidate = null;\n        phase = Phase.DECIDED;",
                            "        candidate = null;\n        evacuations.clear();\n        phase = Phase.DECIDED;"));

    private static final List<Mutant> SNAPSHOTS = List.of(
            Mutant.of("takes any snapshot", AWAY)
                    .replacing(
                            CHUNK_HANDLER,
                            "if (request.lastIndex() <= raftLog.commitIndex() && applier.isStateConsistent()) {",
                            "if (request.lastIndex() < 0) {")
                    .replacing(CHUNK_HANDLER, "|| index < raftLog.snapshotIndex()", "")
                    // Otherwise the entries behind it stay, and all that was applied is applied again at once.
                    .replacing(
                            RAFT_LOG,
                            "boolean hasMatchingEntry = termAt(newSnapshot.index()) == newSnapshot.term();",
                            "boolean hasMatchingEntry = false;"),
            Mutant.of("says yes to a snapshot that its disk lacks", AWAY)
                    .replacing(
                            CHUNK_HANDLER,
                            "writer.respondWhenDurable(callback);",
                            "callback.accept(responses.accepted());"),
            Mutant.of("a snapshot forgets what was taken", AWAY)
                    .replacing(
                            REPLICATED_STATE,
                            "configurations.committedDigests().forEach((digest, epoch) ->"
                                    + " committedDigests.put(shortDigest(digest), epoch));",
                            ""),
            Mutant.of("a snapshot forgets the voters", AWAY)
                    .replacing(RAFT_LOG, "votersAtIndex = LogEntryCodec.decodeVoters(get(i).data());", ""));

    private static final List<Mutant> MEMBERSHIP = List.of(
            Mutant.of("changes voters while a change is open", BEYOND)
                    .replacing(MEMBERSHIP_CHANGE, "|| raftLog.hasVotersEntryAfter(raftLog.commitIndex())", ""),
            Mutant.of("never replaces who is absent", TURNS)
                    .replacing(MEMBERSHIP_CHANGE, "} else if (silentMs > absentMs &&", "} else if (silentMs < 0 &&"),
            Mutant.of("swaps a voter in one step", BEYOND)
                    .replacing(
                            MEMBERSHIP_CHANGE,
                            "Optional.of(voterSet.transitionTo(nextVoters))",
                            "Optional.of(VoterSet.decode(nextVoters))"));

    private static final List<Mutant> READS_AND_LEADERSHIP = List.of(
            Mutant.of("reads without asking", CUT_OFF)
                    .replacing(
                            LOG_REPLICATOR,
                            "leader.readIndex().add(context.nowMs(), callback);",
                            "if (leader.isReady()) { callback.accept(LeadershipConfirmation.CONFIRMED); return; }"),
            Mutant.of("refuses without a majority", CUT_OFF)
                    .replacing(
                            COORDINATOR,
                            "raft.confirmLeadership(confirmation -> {",
                            "Optional.of(LeadershipConfirmation.CONFIRMED).ifPresent(confirmation -> {"),
            Mutant.of("leads before it has applied all", CLOSING)
                    .replacing(LEADER_STATE, "private boolean isReady;", "private boolean isReady = true;"));

    private static final List<Mutant> COORDINATION = List.of(
            Mutant.of("does not know a repeat", RIVALS)
                    .replacing(COORDINATOR, "if (replicatedState.isCommitted(change.digest())) {", "if (false) {")
                    .replacing(
                            CANDIDATE_FACTORY, "if (replicatedState.isCommitted(change.digest())) {", "if (false) {"),
            Mutant.of("does not look at the base", RIVALS)
                    .replacing(CANDIDATE_FACTORY, "change.baseVersion() == currentEpoch", "true")
                    .replacing(REPLICATED_STATE, "candidateBaseEpoch != current.epoch ||", ""),
            Mutant.of("refuses where it cannot know", RIVALS)
                    .replacing(
                            COORDINATOR,
                            "|| !replicatedState.isCommitted(pending.change().digest())) {\n"
                                    + "                pending.complete(new ChangeOutcome.LeadershipLost());",
                            "|| !replicatedState.isCommitted(pending.change().digest())) {\n"
                                    + "                pending.complete(new ChangeOutcome.VersionConflict(0));"),
            Mutant.of("refuses a number that is free", MIX)
                    .replacing(
                            CANDIDATE_FACTORY,
                            "if (candidate.epoch() <= currentEpoch) {",
                            "if (candidate.epoch() <= currentEpoch + 3 && candidate.epoch() > 5) {"),
            Mutant.of("leaves what the last leader left", RIVALS)
                    .replacing(RECOVERY_ACTION, "if (replicatedState.candidate() != null) {", "if (false) {"),
            Mutant.of("works on two changes at once", RIVALS)
                    .replacing(
                            COORDINATOR,
                            "        isBusy = true;\n        BooleanSupplier isStillLeading",
                            "        BooleanSupplier isStillLeading"),
            Mutant.of("takes a document for another one of its number", LEADS_AGAIN)
                    .replacing(
                            CANDIDATE_FACTORY,
                            "!lastCompiled.compressedDocument().equals(version.compressedDocument())",
                            "lastCompiled.epoch() != version.epoch()")
                    .replacing(
                            COORDINATOR,
                            "        candidates.dropCandidate();\n        isBusy = false;",
                            "        isBusy = false;"),
            Mutant.of("records a change under another's digest", MIX)
                    .replacing(
                            REPLICATED_STATE,
                            "committedDigests.put(shortDigest(current.digest), current.epoch);",
                            "committedDigests.put(shortDigest(current.digest), current.epoch);"
                                    + " committedDigests.put(shortDigest(current.digest) + \"x\", current.epoch);"),
            Mutant.of("forgets an evacuation", MIX)
                    .replacing(
                            REPLICATED_STATE,
                            "evacuations.put(entry.zone(), new Evacuation(entry.isEvacuated(), index));",
                            ""));

    private static final List<Mutant> KEYED_OPERATIONS = List.of(
            Mutant.of("uses a reservation however old it is", KEYED)
                    .replacing(
                            IDEMPOTENCY_TABLE,
                            "&& clock.nowMs() - operation.claimedAtMs <= retentionMs / CLAIM_USE_DIVISOR",
                            ""),
            Mutant.of("takes a value of a register's former use for its present one", KEYED)
                    .replacing(
                            PHASE_REPLIES,
                            "!accepted.number.hasTime() || accepted.number.issuedAtMs() > latestMs - formerUseMs",
                            "latestMs >= formerUseMs || !accepted.number.hasTime()")
                    .replacing(REGISTER_TABLE, "return nowMs + retentionMs - ageMs;", "return nowMs + retentionMs;"),
            Mutant.of("a promise prolongs the value beside it", KEYED)
                    .replacing(
                            REGISTER_STATE,
                            "        promiseExpiresAtMs = expiresAtMs;\n",
                            "        promiseExpiresAtMs = expiresAtMs;\n        valueExpiresAtMs = expiresAtMs;\n")
                    .replacing(
                            PHASE_REPLIES,
                            "!accepted.number.hasTime() || accepted.number.issuedAtMs() > latestMs - formerUseMs",
                            "latestMs >= formerUseMs || !accepted.number.hasTime()"),
            Mutant.of("a promise is forgotten at once", KEYED)
                    .replacing(
                            REGISTER_TABLE,
                            "getOrCreate(registerId).promise(number, clock.nowMs() + retentionMs);",
                            "getOrCreate(registerId).promise(number, clock.nowMs());"),
            Mutant.of("skips the prepare phase under new voters", KEYED)
                    .replacing(PROPOSAL, "&& context.epochAge().outlastsFormerEpochs()", ""),
            Mutant.of("a claim is void while it is being made", KEYED)
                    .replacing(
                            IDEMPOTENCY_TABLE,
                            "if (operation.state == State.IDLE) {",
                            "if (operation.state == State.IDLE || operation.state == State.CLAIMING) {"),
            Mutant.of("an answer has no copies", KEYED)
                    .replacing(PROXY_TENANCY, "idempotencyTable.onExecuted(answerReplicator::add);", ""),
            Mutant.of("an answer is acknowledged with one copy", KEYED)
                    .replacing(ANSWER_REPLICA, "missingCopies = furtherCopies + 1;", "missingCopies = 1;")
                    .replacing(ANSWER_REPLICA, "i < furtherCopies", "i < 0"),
            Mutant.of("an answer given for another proxy has no copies", KEYED)
                    .replacing(
                            IDEMPOTENCY_TABLE,
                            "if (validityMs - remainingMs < validityMs / RECENT_DIVISOR) {",
                            "if (false) {"),
            Mutant.of("a copied answer outlives its key", KEYED)
                    .replacing(
                            IDEMPOTENCY_TABLE,
                            "Math.min(operation.expiresAtMs, clock.nowMs() + remainingMs)",
                            "clock.nowMs() + retentionMs + 0 * remainingMs"),
            Mutant.of("refuses who finds another try under way", KEYED)
                    .replacing(
                            REQUEST_ADMISSION,
                            "case CLAIMING -> awaitClaim(request, operation, timeoutMs, handler);",
                            "case CLAIMING -> handler.reject(IN_PROGRESS_STATUS, IN_PROGRESS_RETRY_MS, \"\");"));

    private static final List<Mutant> PARTICIPATION = List.of(
            Mutant.of("a side takes an older version", MIX)
                    .replacing(PARTICIPANT, "if (decided.epoch() <= epoch()) {", "if (decided.epoch() == epoch()) {")
                    .replacing(DATA_PLANE_NODE, "if (epoch < shadowCommit.epoch()) {", "if (epoch < 0) {")
                    .replacing(DATA_PLANE_NODE, "|| shadowCommit.epoch() >= epoch) {", ") {"),
            Mutant.of("a side uses what is only proposed", MIX)
                    .replacing(
                            PARTICIPANT,
                            "        installed[1 - realSlot] = candidate;\n",
                            "        installed[1 - realSlot] = candidate;\n        realSlot = 1 - realSlot;\n"),
            Mutant.of("a side that missed a version stays there", MIX)
                    .replacing(
                            DATA_PLANE_NODE,
                            "if (isFetching) {\n            return;",
                            "if (epoch > 0) {\n            return;"),
            Mutant.of("an index is off by one", CUT_OFF)
                    .replacing(
                            RAFT_LOG,
                            "entries.subList((int) (firstIndex - precedingIndex - 1), entries.size()).clear();",
                            "entries.subList((int) (firstIndex - precedingIndex), entries.size() - 1).clear();"));

    private Mutants() {}

    /** All of them, in the order of docs/control.md. */
    static List<Mutant> all() {
        return List.of(
                        ELECTION,
                        REPLICATION,
                        SNAPSHOTS,
                        MEMBERSHIP,
                        READS_AND_LEADERSHIP,
                        COORDINATION,
                        PARTICIPATION,
                        KEYED_OPERATIONS)
                .stream()
                .flatMap(List::stream)
                .toList();
    }
}
