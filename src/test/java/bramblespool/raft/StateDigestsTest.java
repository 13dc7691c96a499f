package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.raft.StateDigests.Comparison;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** A leader {@code a:1#0} of three voters with a digest at index 32. */
class StateDigestsTest {
    private static final OptionalLong INDEX = OptionalLong.of(32);

    private final RaftTestContext test = new RaftTestContext("a:1#0", "b:1#0", "c:1#0");
    private final StateDigests digests = new StateDigests(test.context, test.raftLog);
    private final LeaderState leader = test.becomeLeader();
    private final FollowerProgress followerB = leader.getOrAddFollower("b:1#0", 2, test.clock.nowMs());
    private final FollowerProgress followerC = leader.getOrAddFollower("c:1#0", 2, test.clock.nowMs());

    StateDigestsTest() {
        digests.add(32, "same");
    }

    private Comparison report(FollowerProgress follower, String digest) {
        return digests.onResponse(leader, follower, INDEX, Optional.of(digest));
    }

    @Test
    void memberIsAskedUntilItHasReported() {
        assertEquals(INDEX, digests.queryFor(followerB));
        followerB.nextSequence();
        report(followerB, "same");
        assertEquals(OptionalLong.empty(), digests.queryFor(followerB));
        assertEquals(INDEX, digests.queryFor(followerC));
        digests.add(64, "next");
        assertEquals(OptionalLong.of(64), digests.queryFor(followerB));
    }

    @Test
    void followerAgainstAMajorityIsMarked() {
        report(followerB, "other");
        assertFalse(followerB.hasDivergedState(), "one against one");
        assertEquals(Comparison.LOCAL_STATE_HOLDS, report(followerC, "same"));
        assertTrue(followerB.hasDivergedState());
        assertFalse(followerC.hasDivergedState());
    }

    @Test
    void leaderAgainstAMajorityHasDiverged() {
        report(followerB, "other");
        assertEquals(Comparison.LOCAL_STATE_DIVERGED, report(followerC, "other"));
        assertFalse(followerB.hasDivergedState());
    }

    @Test
    void reportForAnotherIndexIsIgnored() {
        digests.onResponse(leader, followerB, OptionalLong.of(31), Optional.of("other"));
        assertEquals(Comparison.LOCAL_STATE_HOLDS, report(followerC, "other"));
    }

    @Test
    void digestsBehindAReplacedStateAreForgotten() {
        digests.add(64, "next");
        digests.add(40, "replaced");
        assertEquals(Optional.of("same"), digests.digestAt(32));
        assertEquals(Optional.empty(), digests.digestAt(64));
    }
}
