package bramblespool.coordination.tenancy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import bramblespool.coordination.answer.StoredResponse;
import bramblespool.coordination.tenancy.IdempotencyTable.Operation;
import bramblespool.testing.FakeClock;
import java.util.List;
import org.junit.jupiter.api.Test;

class IdempotencyTableTest {
    private static final long RETENTION_MS = 75_000;
    private static final int BODY_BYTES = 100;
    private static final String CLAIM_ELSEWHERE = "b:1 1";

    private final IdempotencyTable table = new IdempotencyTable(new FakeClock(), "a:1", RETENTION_MS, 2 * BODY_BYTES);

    private static StoredResponse response() {
        return new StoredResponse(200, List.of(), new byte[BODY_BYTES]);
    }

    private Operation recordCopy(String id, int times) {
        Operation operation = table.startClaim(id, 1);
        for (int i = 0; i < times; i++) {
            table.recordCopy(operation, CLAIM_ELSEWHERE, response(), RETENTION_MS / 2);
        }
        return operation;
    }

    /** Guards against bytes that are counted for ever: two lookups that overlap find the same response. */
    @Test
    void responseThatArrivesTwiceCountsOnce() {
        recordCopy("1/k", 2);
        assertEquals(BODY_BYTES, table.storedBytes());
    }

    @Test
    void oldestResponsesAreDroppedAtTheLimitAndTheirOperationsKept() {
        Operation first = recordCopy("1/k", 2);
        Operation second = recordCopy("1/l", 2);
        Operation third = recordCopy("1/m", 2);
        assertNull(first.response());
        assertEquals(BODY_BYTES, second.response().body().length);
        assertEquals(BODY_BYTES, third.response().body().length);
        assertEquals(2 * BODY_BYTES, table.storedBytes());
        assertSame(first, table.get("1/k"));
    }
}
