/**
 * Consensus: a log that a group of members agrees on, after Diego Ongaro's dissertation "Consensus: Bridging Theory and
 * Practice" (2014), whose sections the comments name. What the entries mean is the {@link
 * bramblespool.raft.StateMachine}'s business.
 *
 * <p>{@link bramblespool.raft.RaftNode} wires these parts, all confined to the event loop:
 *
 * <ul>
 *   <li>state: {@code QuorumState} (term, vote and role: {@code FollowerState}, {@code CandidateState} or {@code
 *       LeaderState}), {@code RaftLog} (entries, snapshot, commit index, durable index), {@code LogApplier} (what is
 *       applied), {@code StateDigests} (whether the members' states are the same);
 *   <li>elections: {@code ElectionTimer}, {@code Election}, {@code VoteHandler}; {@code RoleTransitions} for what every
 *       change of role entails; {@code LeadershipTransfer};
 *   <li>replication: {@code LogReplicator} and {@code LeaderRequests} on the leader, with a {@code FollowerProgress} for
 *       each member; {@code LeaderRequestHandler}, {@code AppendHandler}, {@code ChunkHandler} and {@code
 *       FollowerWriter} on a follower; {@code ReadIndex} and {@code VoterLeases} ride on it;
 *   <li>membership: {@code MembershipChange} on the leader, {@code LocalMembership} on the member that joins or leaves;
 *   <li>messages: {@code RaftRequest}, {@code RaftResponse} and {@code RaftMessageCodec}; {@code RaftTransport} sends,
 *       {@code RequestDispatcher} receives.
 * </ul>
 */
package bramblespool.raft;
