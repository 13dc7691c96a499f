package bramblespool.coordination.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ProposalNumberTest {
    @Test
    void ordersByRoundThenEpochThenProposerThenTime() {
        List<ProposalNumber> ascending = List.of(
                ProposalNumber.NONE,
                ProposalNumber.unprepared(9, "z", 7),
                new ProposalNumber(1, 2, "b", 5),
                new ProposalNumber(1, 3, "a", 5),
                new ProposalNumber(1, 3, "b", 5),
                new ProposalNumber(2, 1, "a", 5),
                new ProposalNumber(2, 1, "a", 6));
        assertEquals(
                ascending, ascending.stream().sorted((a, b) -> -b.compareTo(a)).toList());
        assertEquals(0, new ProposalNumber(1, 3, "a", 5).compareTo(new ProposalNumber(1, 3, "a", 5)));
    }

    @Test
    void onlyRoundZeroIsUnprepared() {
        assertTrue(ProposalNumber.unprepared(1, "a", 7).isUnprepared());
        assertFalse(new ProposalNumber(1, 1, "a", 5).isUnprepared());
        assertFalse(ProposalNumber.NONE.isUnprepared());
        assertTrue(ProposalNumber.NONE.isNone());
        assertFalse(ProposalNumber.unprepared(1, "a", 7).isNone());
    }
}
