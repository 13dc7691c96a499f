package bramblespool.coordination.register;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bramblespool.state.DurableStore.StoredRegister;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RegisterWriteBatcherTest {
    private final RegisterTestContext context = new RegisterTestContext();
    private final RegisterWriteBatcher batcher = new RegisterWriteBatcher(context.store, context.clock, 2);
    private final List<String> durable = new ArrayList<>();

    private static StoredRegister register(String id, String value) {
        return new StoredRegister(id, null, "1 1 p", value);
    }

    @Test
    void writesWhatComesWithinTheDelayAtOnceAndEachRegisterOnce() {
        context.store.isSlow = true;
        batcher.save(register("1/a", "old"));
        batcher.whenDurable(() -> durable.add("first"));
        batcher.save(register("1/b", "v"));
        batcher.save(register("1/a", "new"));
        batcher.whenDurable(() -> durable.add("second"));
        context.clock.advance(1);
        assertEquals(List.of(), context.store.writes);
        context.clock.advance(1);
        assertEquals(List.of(List.of(register("1/a", "new"), register("1/b", "v"))), context.store.writes);
        assertEquals(List.of(), durable);
        context.store.completeWrites();
        assertEquals(List.of("first", "second"), durable);
    }

    @Test
    void laterChangesWaitForTheirOwnWrite() {
        context.store.isSlow = true;
        batcher.save(register("1/a", "v"));
        context.clock.advance(2);
        batcher.whenDurable(() -> durable.add("later"));
        context.store.completeWrites();
        assertEquals(List.of(), durable);
        context.clock.advance(2);
        context.store.completeWrites();
        assertEquals(List.of("later"), durable);
    }
}
