package bramblespool.coordination.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.register.RegisterMessages.AcceptedRegister;
import bramblespool.coordination.register.RegisterMessages.Page;
import bramblespool.state.DurableStore.StoredRegister;
import java.util.List;
import org.junit.jupiter.api.Test;

class RegisterTableTest {
    private static final ProposalNumber LOW = new ProposalNumber(1, 1, "p", ProposalNumber.NO_TIME);
    private static final ProposalNumber HIGH = new ProposalNumber(2, 1, "p", ProposalNumber.NO_TIME);
    private final RegisterTestContext context = new RegisterTestContext();
    private final RegisterTable registers = new RegisterTable(
            context.clock,
            context.clusterClock,
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
    void promiseDoesNotProlongAValue() {
        registers.accept("1/b", LOW, "v");
        context.clock.advance(60);
        registers.promise("1/b", HIGH);
        context.clock.advance(41);
        assertEquals(ProposalNumber.NONE, registers.get("1/b").acceptedNumber());
        assertNull(registers.get("1/b").acceptedValue());
        assertEquals(HIGH, registers.get("1/b").promisedNumber());
    }

    @Test
    void nothingIsThereOnceExpiredThoughNotYetRemoved() {
        registers.accept("1/b", LOW, "v");
        context.clock.advance(101);
        assertFalse(registers.get("1/b").isKnown());
        assertEquals(new Page(List.of(), false), registers.pageAfter("", 5));
        registers.promise("1/b", HIGH);
        assertEquals(ProposalNumber.NONE, registers.get("1/b").acceptedNumber());
        assertEquals(HIGH, registers.get("1/b").promisedNumber());
    }

    private RegisterTable loaded(StoredRegister... stored) {
        return new RegisterTable(context.clock, context.clusterClock, 100, List.of(stored));
    }

    private static StoredRegister storedAt(String id, long timeMs) {
        String number = RegisterCodec.encodeNumber(RegisterTestContext.numberAt(timeMs, 1));
        return new StoredRegister(id, number, number, "v");
    }

    /** Guards against a key that runs twice (TWICE): a restart does not prolong what was accepted before it. */
    @Test
    void whatWasLoadedExpiresByItsNumberOnceTheTimeIsAgreed() {
        long nowMs = context.clock.nowMs();
        RegisterTable restarted = loaded(storedAt("1/old", nowMs - 150), storedAt("1/new", nowMs - 30));
        assertTrue(restarted.get("1/old").isKnown(), "nobody knows yet how long this process was away");
        context.agreeOnTime();
        restarted.onTimeAgreed();
        assertFalse(restarted.get("1/old").isKnown());
        context.clock.advance(70);
        assertTrue(restarted.get("1/new").isKnown());
        context.clock.advance(1);
        assertFalse(restarted.get("1/new").isKnown());
    }

    @Test
    void whatWasLoadedIsHeldNoLongerThanIfItWereNew() {
        RegisterTable restarted = loaded(
                storedAt("1/ahead", context.clock.nowMs() + 5000), new StoredRegister("1/untimed", null, "3 1 p", "v"));
        context.agreeOnTime();
        restarted.onTimeAgreed();
        context.clock.advance(100);
        assertTrue(restarted.get("1/ahead").isKnown());
        assertTrue(restarted.get("1/untimed").isKnown(), "of a version that wrote no time");
        context.clock.advance(1);
        assertFalse(restarted.get("1/ahead").isKnown());
        assertFalse(restarted.get("1/untimed").isKnown());
    }

    @Test
    void whatWasAcceptedSinceTheRestartKeepsItsOwnTime() {
        RegisterTable restarted = loaded(storedAt("1/a", context.clock.nowMs() - 150));
        restarted.accept("1/a", RegisterTestContext.numberAt(context.clock.nowMs() - 90, 1), "w");
        context.agreeOnTime();
        restarted.onTimeAgreed();
        context.clock.advance(100);
        assertEquals("w", restarted.get("1/a").acceptedValue());
    }

    @Test
    void copiesAreAsOldAsTheirNumber() {
        context.agreeOnTime();
        ProposalNumber old = RegisterTestContext.numberAt(context.clock.nowMs() - 150, 1);
        ProposalNumber recent = RegisterTestContext.numberAt(context.clock.nowMs() - 60, 1);
        assertFalse(registers.copyAccepted(new AcceptedRegister("1/o", old, "v")));
        assertTrue(registers.copyAccepted(new AcceptedRegister("1/r", recent, "v")));
        context.clock.advance(41);
        assertFalse(registers.get("1/r").isKnown());
    }

    @Test
    void copiesOnlyNewerValues() {
        assertFalse(registers.copyAccepted(new AcceptedRegister("1/a", LOW, "other")));
        registers.markChosen("1/a", LOW);
        assertTrue(registers.copyAccepted(new AcceptedRegister("1/a", HIGH, "w")));
        assertEquals("w", registers.get("1/a").acceptedValue());
        assertFalse(registers.get("1/a").isChosen(), "the former value was");
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
