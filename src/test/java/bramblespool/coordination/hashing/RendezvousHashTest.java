package bramblespool.coordination.hashing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
    private static final List<String> CANDIDATES = List.of("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000");

    /** Computed by version 0.4.0, with which a group's members have to agree. */
    @Test
    void weightsDoNotChangeBetweenVersions() {
        assertEquals(-4658895278290722092L, RendezvousHash.mix(1));
        assertEquals(1926702645634505033L, RendezvousHash.weight("tenants/3", "10.0.0.1:7000"));
        assertEquals(3502818656766144965L, RendezvousHash.weight("list/z1", "10.0.0.3:7000"));
        assertEquals("10.0.0.3:7000", RendezvousHash.highestWeighted("tenants/0", CANDIDATES));
        assertEquals("10.0.0.1:7000", RendezvousHash.highestWeighted("tenants/1", CANDIDATES));
        assertEquals("10.0.0.2:7000", RendezvousHash.highestWeighted("tenants/3", CANDIDATES));
    }

    @Test
    void heaviestFirstBeginsWithTheHighestWeighted() {
        List<String> ordered = new ArrayList<>(CANDIDATES);
        ordered.sort(RendezvousHash.heaviestFirst("tenants/0"));
        assertEquals("10.0.0.3:7000", ordered.remove(0));
        assertEquals(RendezvousHash.highestWeighted("tenants/0", ordered), ordered.get(0));
    }

    @Test
    void onlyKeysOfTheCandidateThatGoesMove() {
        List<String> remaining = new ArrayList<>(CANDIDATES);
        remaining.remove("10.0.0.2:7000");
        for (int shard = 0; shard < 16; shard++) {
            String before = RendezvousHash.highestWeighted("tenants/" + shard, CANDIDATES);
            String after = RendezvousHash.highestWeighted("tenants/" + shard, remaining);
            assertEquals(before.equals("10.0.0.2:7000") ? after : before, after);
        }
        assertNull(RendezvousHash.highestWeighted("tenants/1", List.of()));
    }
}
