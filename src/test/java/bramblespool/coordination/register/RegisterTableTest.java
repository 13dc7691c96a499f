package bramblespool.coordination.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.register.RegisterMessages.AcceptedRegister;
import bramblespool.coordination.register.RegisterMessages.Page;
import bramblespool.state.DurableStore.StoredRegister;
import java.util.List;
import org.junit.jupiter.api.Test;

class RegisterTableTest {
    private static final ProposalNumber LOW = new ProposalNumber(1, 1, "p");
    private static final ProposalNumber HIGH = new ProposalNumber(2, 1, "p");
    private final RegisterTestContext context = new RegisterTestContext();
    private final RegisterTable registers = new RegisterTable(
            context.clock,
            100,
            List.of(new StoredRegister("1/a", "2 1 p", "1 1 p", "v"), new StoredRegister("", null, null, "7")));

    @Test
    void loadsStoredRegistersWithoutTheSyncMarker() {
        assertEquals(1, registers.size());
        assertEquals(HIGH, registers.get("1/a").promisedNumber());
        assertEquals(LOW, registers.get("1/a").acceptedNumber());
        assertEquals("v", registers.get("1/a").acceptedValue());
    }

    @Test
    void expiresARetentionTimeAfterTheLastChange() {
        context.clock.advance(60);
        registers.promise("1/b", LOW);
        registers.accept("1/a", HIGH, "w");
        context.clock.advance(60);
        registers.promise("1/b", HIGH);
        registers.expire();
        assertTrue(registers.get("1/a").isKnown(), "changed since");
        context.clock.advance(41);
        registers.expire();
        assertFalse(registers.get("1/a").isKnown());
        assertTrue(registers.get("1/b").isKnown());
        context.clock.advance(60);
        registers.expire();
        assertEquals(0, registers.size());
    }

    @Test
    void copiesOnlyNewerValues() {
        assertFalse(registers.copyAccepted(new AcceptedRegister("1/a", LOW, "other")));
        assertTrue(registers.copyAccepted(new AcceptedRegister("1/a", HIGH, "w")));
        assertEquals("w", registers.get("1/a").acceptedValue());
        assertFalse(registers.copyAccepted(new AcceptedRegister("1/b", ProposalNumber.NONE, null)));
    }

    @Test
    void valueIsKnownToBeChosenUntilTheNextPromiseOrAcceptance() {
        registers.markChosen("1/a", HIGH);
        assertFalse(registers.get("1/a").isChosen(), "another proposal");
        registers.markChosen("1/a", LOW);
        assertTrue(registers.get("1/a").isChosen());
        registers.promise("1/a", HIGH);
        assertFalse(registers.get("1/a").isChosen());
    }

    @Test
    void pagesAreInTheOrderOfIds() {
        registers.accept("1/c", LOW, "x");
        registers.promise("1/b", LOW);
        assertEquals(
                new Page(
                        List.of(
                                new AcceptedRegister("1/a", LOW, "v"),
                                new AcceptedRegister("1/b", ProposalNumber.NONE, null)),
                        true),
                registers.pageAfter("", 2));
        assertEquals(new Page(List.of(new AcceptedRegister("1/c", LOW, "x")), false), registers.pageAfter("1/b", 2));
    }
}
