package bramblespool.coordination.register;

import static bramblespool.coordination.register.RegisterTestContext.SECOND;
import static bramblespool.coordination.register.RegisterTestContext.SELF;
import static bramblespool.coordination.register.RegisterTestContext.THIRD;
import static bramblespool.coordination.register.RegisterTestContext.reply;
import static bramblespool.coordination.register.RegisterTestContext.requests;
import static org.junit.jupiter.api.Assertions.assertEquals;

import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.coordination.register.RegisterMessages.Prepare;
import bramblespool.testing.FakeTransport.Call;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AcceptorRequestBatcherTest {
    private final RegisterTestContext context = new RegisterTestContext();
    private final AcceptorRequestBatcher batcher =
            new AcceptorRequestBatcher(context.voters(), context.transport, context.clock, RegisterTestContext.TIMINGS);
    private final List<String> replies = new ArrayList<>();

    private void send(String voter, String registerId, long votersEpoch) {
        batcher.send(
                voter,
                new Prepare(registerId, new ProposalNumber(1, votersEpoch, SELF, ProposalNumber.NO_TIME)),
                reply -> replies.add(registerId + " " + reply.isGranted()));
    }

    @Test
    void gathersRequestsToOneVoterInOneMessage() {
        send(SECOND, "1/a", 1);
        send(THIRD, "1/a", 1);
        context.clock.advance(3);
        send(SECOND, "1/b", 1);
        assertEquals(List.of(), context.transport.take());
        context.clock.advance(1);
        List<Call> calls = context.transport.take();
        assertEquals(2, calls.size());
        assertEquals("10.0.0.2:1", calls.get(0).address());
        assertEquals(2, requests(calls.get(0)).size());
        reply(calls.get(0), new AcceptorReply(true, 1, ProposalNumber.NONE, null), AcceptorReply.NO_ANSWER);
        assertEquals(List.of("1/a true", "1/b false"), replies);
        send(SECOND, "1/c", 1);
        context.clock.advance(4);
        assertEquals(1, context.transport.take().size(), "a new batch");
    }

    @Test
    void silenceAndRefusalAnswerEveryRequest() {
        send(SECOND, "1/a", 1);
        send(THIRD, "1/b", 1);
        context.clock.advance(4);
        List<Call> calls = context.transport.take();
        calls.get(0).callback().accept(null);
        calls.get(1).callback().accept(RegisterCodec.refusal());
        assertEquals(List.of("1/a false", "1/b false"), replies);
    }

    @Test
    void requestsOfFormerVotersAreNotSent() {
        send(SECOND, "1/a", 1);
        context.setVoters(9, SELF, SECOND);
        send(SECOND, "1/b", 9);
        context.clock.advance(4);
        assertEquals(List.of("1/a false"), replies);
        assertEquals(1, requests(context.transport.take().get(0)).size());
    }
}
