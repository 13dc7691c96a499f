package bramblespool.coordination.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ProposalNumberTest {
    @Test
    void ordersByRoundThenEpochThenProposer() {
        List<ProposalNumber> ascending = List.of(
                ProposalNumber.NONE,
                ProposalNumber.unprepared(9, "z"),
                new ProposalNumber(1, 2, "b"),
                new ProposalNumber(1, 3, "a"),
                new ProposalNumber(1, 3, "b"),
                new ProposalNumber(2, 1, "a"));
        assertEquals(
                ascending, ascending.stream().sorted((a, b) -> -b.compareTo(a)).toList());
        assertEquals(0, new ProposalNumber(1, 3, "a").compareTo(new ProposalNumber(1, 3, "a")));
    }

    @Test
    void onlyRoundZeroIsUnprepared() {
        assertTrue(ProposalNumber.unprepared(1, "a").isUnprepared());
        assertFalse(new ProposalNumber(1, 1, "a").isUnprepared());
        assertFalse(ProposalNumber.NONE.isUnprepared());
        assertTrue(ProposalNumber.NONE.isNone());
        assertFalse(ProposalNumber.unprepared(1, "a").isNone());
    }
}
