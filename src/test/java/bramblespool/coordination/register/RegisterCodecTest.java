package bramblespool.coordination.register;

import static bramblespool.coordination.register.RegisterTestContext.json;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.register.RegisterMessages.Accept;
import bramblespool.coordination.register.RegisterMessages.AcceptedRegister;
import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.coordination.register.RegisterMessages.BatchRequest;
import bramblespool.coordination.register.RegisterMessages.Page;
import bramblespool.coordination.register.RegisterMessages.PageRequest;
import bramblespool.coordination.register.RegisterMessages.Prepare;
import bramblespool.state.DurableStore.StoredRegister;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** The JSON is what version 0.4.0 writes, and must not change. */
class RegisterCodecTest {
    private static final ProposalNumber NUMBER = new ProposalNumber(2, 7, "a:1#0", ProposalNumber.NO_TIME);

    @Test
    void batchOfRequests() {
        BatchRequest batch = new BatchRequest(
                "b:1#0",
                7,
                List.of(
                        new Prepare("3/k", NUMBER),
                        new Accept("3/l", ProposalNumber.unprepared(7, "a:1#0", ProposalNumber.NO_TIME), "v w")));
        String text = "{'to':'b:1#0','epoch':7,'items':[[1,'3/k','2 7 a:1#0'],[0,'3/l','0 7 a:1#0','v w']]}";
        assertEquals(text.replace('\'', '"'), RegisterCodec.encode(batch).toString());
        assertEquals(batch, RegisterCodec.decodeBatch(json(text)));
        assertThrows(
                IllegalArgumentException.class,
                () -> RegisterCodec.decodeBatch(json("{'to':'b:1#0','epoch':7,'items':[[1,'3/k']]}")));
    }

    @Test
    void repliesLeaveOutWhatTheProposerDoesNotNeed() {
        Prepare prepare = new Prepare("3/k", NUMBER);
        Accept accept = new Accept("3/k", NUMBER, "v");
        List<AcceptorReply> replies = List.of(
                new AcceptorReply(true, 2, NUMBER, "w"),
                new AcceptorReply(true, 2, ProposalNumber.NONE, null),
                new AcceptorReply(true, 2, NUMBER, "v"),
                new AcceptorReply(false, 3, NUMBER, "w"));
        String text = "{'items':[[1,2,'2 7 a:1#0','w'],[1,2,''],[1],[0,3,'2 7 a:1#0','w']]}";
        assertEquals(
                text.replace('\'', '"'),
                RegisterCodec.encodeReplies(List.of(prepare, prepare, accept, accept), replies)
                        .toString());
        List<AcceptorReply> decoded = RegisterCodec.decodeReplies(json(text));
        assertEquals(new AcceptorReply(true, 0, ProposalNumber.NONE, null), decoded.get(2));
        assertEquals(replies.get(0), decoded.get(0));
        assertEquals(replies.get(1), decoded.get(1));
        assertEquals(replies.get(3), decoded.get(3));
    }

    @Test
    void pages() {
        PageRequest request = new PageRequest("b:1#0", 7, "3/k");
        String requestText = "{'to':'b:1#0','epoch':7,'after':'3/k'}";
        assertEquals(
                requestText.replace('\'', '"'), RegisterCodec.encode(request).toString());
        assertEquals(request, RegisterCodec.decodePageRequest(json(requestText)));
        Page page = new Page(
                List.of(
                        new AcceptedRegister("3/l", NUMBER, "v"),
                        new AcceptedRegister("3/m", ProposalNumber.NONE, null)),
                true);
        String pageText = "{'items':[['3/l','2 7 a:1#0','v'],['3/m','']],'more':true}";
        assertEquals(pageText.replace('\'', '"'), RegisterCodec.encode(page).toString());
        assertEquals(Optional.of(page), RegisterCodec.decodePage(json(pageText)));
    }

    @Test
    void refusalIsAnEmptyObject() {
        assertEquals("{}", RegisterCodec.refusal().toString());
        assertEquals(List.of(), RegisterCodec.decodeReplies(RegisterCodec.refusal()));
        assertEquals(Optional.empty(), RegisterCodec.decodePage(RegisterCodec.refusal()));
    }

    @Test
    void storedRegister() {
        RegisterState state = new RegisterState();
        state.promise(NUMBER, 0);
        StoredRegister promised = RegisterCodec.toStored("3/k", state);
        assertEquals(new StoredRegister("3/k", "2 7 a:1#0", null, null), promised);
        assertEquals(NUMBER, RegisterCodec.promisedNumber(promised));
        assertEquals(ProposalNumber.NONE, RegisterCodec.acceptedNumber(promised));
        assertFalse(RegisterCodec.isSyncMarker(promised));
    }

    @Test
    void syncMarker() {
        StoredRegister marker = new StoredRegister("", null, null, "41");
        assertEquals(marker, RegisterCodec.syncMarker(41));
        assertTrue(RegisterCodec.isSyncMarker(marker));
        assertEquals(41, RegisterCodec.syncedSince(marker));
    }

    @Test
    void numberEndsWithItsTime() {
        ProposalNumber timed = new ProposalNumber(2, 7, "a:1#0", 1_800_000_000_123L);
        assertEquals("2 7 a:1#0 1800000000123", RegisterCodec.encodeNumber(timed));
        assertEquals(timed, RegisterCodec.decodeNumber("2 7 a:1#0 1800000000123"));
        assertEquals(NUMBER, RegisterCodec.decodeNumber("2 7 a:1#0"), "of a version that wrote no time");
    }
}
