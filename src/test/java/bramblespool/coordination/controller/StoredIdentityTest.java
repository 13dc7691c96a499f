package bramblespool.coordination.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.DurableStore;
import bramblespool.state.Settings;
import bramblespool.testing.Simulator;
import org.junit.jupiter.api.Test;

class StoredIdentityTest {
    private final Settings settings = ControllerTestContext.settings();
    private final DurableStore store = newStore();

    private static DurableStore newStore() {
        Simulator.Machine machine = new Simulator(1).machine(ControllerTestContext.ADDRESS);
        machine.boot();
        return machine.disk;
    }

    @Test
    void aFounderBeginsWithTheFoundersEntryAndAFreshStore() {
        StoredIdentity identity = StoredIdentity.load(settings, store, "i7");

        assertEquals(ControllerTestContext.ADDRESS + "#0", identity.memberId());
        assertTrue(identity.hasFreshStore());
        assertEquals(1, identity.state().entries().size());
    }

    @Test
    void aRestartedFounderHasNoFreshStore() {
        StoredIdentity.load(settings, store, "i7");

        StoredIdentity restarted = StoredIdentity.load(settings, store, "i8");

        assertEquals(ControllerTestContext.ADDRESS + "#0", restarted.memberId());
        assertFalse(restarted.hasFreshStore());
    }
}
