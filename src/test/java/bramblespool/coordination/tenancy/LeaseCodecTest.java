package bramblespool.coordination.tenancy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.tenancy.LeaseRequest.Addressed;
import bramblespool.coordination.tenancy.LeaseRequest.Kind;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** The JSON is what version 0.4.0 writes, and must not change. */
class LeaseCodecTest {
    @Test
    void requests() {
        Addressed renew = new Addressed("b:1#0", 7, new LeaseRequest(Kind.RENEW, "a:1"));
        assertEquals("lease/renew", LeaseCodec.kindOf(renew.request()));
        assertEquals(
                "{\"holder\":\"a:1\",\"to\":\"b:1#0\",\"epoch\":7}",
                LeaseCodec.encode(renew).toString());
        assertEquals(renew, LeaseCodec.decode("lease/renew", LeaseCodec.encode(renew)));
        Addressed bar = new Addressed("b:1#0", 7, new LeaseRequest(Kind.BAR, "a:1"));
        assertEquals("lease/bar", LeaseCodec.kindOf(bar.request()));
        assertEquals(bar, LeaseCodec.decode("lease/bar", LeaseCodec.encode(bar)));
        assertTrue(LeaseCodec.isLeaseKind("lease/bar"));
        assertFalse(LeaseCodec.isLeaseKind("token"));
    }

    @Test
    void replies() {
        LeaseReply granted = new LeaseReply(true, 0);
        LeaseReply barred = new LeaseReply(true, 812);
        assertEquals("{\"ok\":true}", LeaseCodec.encodeReply(granted).toString());
        assertEquals(
                "{\"ok\":true,\"silent\":812}", LeaseCodec.encodeReply(barred).toString());
        assertEquals(granted, LeaseCodec.decodeReply(LeaseCodec.encodeReply(granted)));
        assertEquals(barred, LeaseCodec.decodeReply(LeaseCodec.encodeReply(barred)));
        assertEquals(LeaseReply.REFUSED, LeaseCodec.decodeReply(LeaseCodec.encodeReply(LeaseReply.REFUSED)));
    }

    @Test
    void owners() {
        ShardOwner owner = new ShardOwner("a:1", "5f.2", 17);
        assertEquals("a:1 5f.2 17", LeaseCodec.encodeOwner(owner));
        assertEquals(Optional.of(owner), LeaseCodec.decodeOwner("a:1 5f.2 17"));
        assertEquals(Optional.empty(), LeaseCodec.decodeOwner("something else"));
        assertEquals(Optional.empty(), LeaseCodec.decodeOwner(""));
    }
}
