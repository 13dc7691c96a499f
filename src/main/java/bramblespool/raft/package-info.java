/**
 * Consensus: a log that a group of members agrees on, after Diego Ongaro's dissertation "Consensus: Bridging Theory and
 * Practice" (2014), whose sections the comments name. What the entries mean is the state machine's business.
 *
 * <p>{@link bramblespool.raft.RaftNode} wires these parts, all confined to the event loop:
 *
 * <ul>
 *   <li>State: {@code QuorumState} has term, vote and role ({@code FollowerState}, {@code CandidateState} or
 *       {@code LeaderState}), {@code RaftLog} the entries, the snapshot, commit index and durable index.
 *       {@code LogApplier} applies entries, {@code StateDigests} compares the members' states.
 *   <li>Elections: {@code ElectionTimer}, {@code Election}, {@code VoteHandler}, {@code LeadershipTransfer}; what
 *       every change of role entails is in {@code RoleTransitions}.
 *   <li>Replication: {@code LogReplicator} and {@code LeaderRequests} on the leader, with a {@code FollowerProgress}
 *       for each member; {@code LeaderRequestHandler}, {@code AppendHandler}, {@code ChunkHandler} and
 *       {@code FollowerWriter} on a follower. {@code ReadIndex} and {@code VoterLeases} go by the same requests.
 *   <li>Membership: {@code MembershipChange} on the leader, {@code LocalMembership} on who joins or leaves.
 *   <li>Messages: {@code RaftRequest}, {@code RaftResponse} and {@code RaftMessageCodec}; {@code RaftTransport} sends
 *       and {@code RequestDispatcher} receives.
 * </ul>
 */
package bramblespool.raft;
