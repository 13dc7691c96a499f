package bramblespool.state;

import bramblespool.state.DurableStore.PersistentState;
import bramblespool.state.DurableStore.StoredRegister;
import java.util.List;

/** What a store gives when it is opened. */
record StoreContents(PersistentState saved, List<StoredRegister> registers, boolean isQuarantined) {
    static StoreContents of(SqliteDurableStore store) {
        return new StoreContents(
                store.isEmpty() ? null : store.load(), store.loadRegisters(), store.hasQuarantinedDatabase());
    }
}
