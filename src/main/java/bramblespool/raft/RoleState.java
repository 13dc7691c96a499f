package bramblespool.raft;

/** What a member keeps for the role it has now; it is gone with the role. */
sealed interface RoleState permits FollowerState, CandidateState, LeaderState {}
