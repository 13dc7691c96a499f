package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Majorities of voters, also while they change. */
class VoterSetTest {
    private static final VoterSet THREE = VoterSet.decode(List.of("a", "b", "c"));
    private static final VoterSet JOINT = THREE.transitionTo(List.of("a", "d", "e"));

    @Test
    void changeHoldsBothGroups() {
        assertEquals(List.of("a", "-b", "-c", "+d", "+e"), JOINT.encoded());
        assertEquals(JOINT, VoterSet.decode(JOINT.encoded()));
        assertEquals(List.of("a", "b", "c"), JOINT.oldVoters());
        assertEquals(List.of("a", "d", "e"), JOINT.newVoters());
        assertTrue(JOINT.isJoint());
        assertFalse(THREE.isJoint());
    }

    @Test
    void changeNeedsMajorityOfEachGroup() {
        assertTrue(THREE.hasMajority(Set.of("a", "b")::contains));
        assertFalse(JOINT.hasMajority(Set.of("a", "b", "c")::contains));
        assertFalse(JOINT.hasMajority(Set.of("a", "d", "e")::contains));
        assertTrue(JOINT.hasMajority(Set.of("a", "b", "d")::contains));
    }

    @Test
    void quorumHasRequiredReplicasAsFarAsThereAreVoters() {
        assertFalse(THREE.hasQuorum(Set.of("a", "b")::contains, 3));
        assertTrue(THREE.hasQuorum(Set.of("a", "b", "c")::contains, 4));
        Map<String, Long> values = Map.of("a", 9L, "b", 7L, "c", 5L, "d", 3L, "e", 1L);
        assertEquals(7, THREE.quorumValue(values::get, 0));
        assertEquals(5, THREE.quorumValue(values::get, 3));
        assertEquals(3, JOINT.quorumValue(values::get, 0), "the lower one of both groups");
    }
}
