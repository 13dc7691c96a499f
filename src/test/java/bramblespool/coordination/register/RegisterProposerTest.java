package bramblespool.coordination.register;

import static bramblespool.coordination.register.RegisterTestContext.SECOND;
import static bramblespool.coordination.register.RegisterTestContext.SELF;
import static bramblespool.coordination.register.RegisterTestContext.reply;
import static bramblespool.coordination.register.RegisterTestContext.requests;
import static org.junit.jupiter.api.Assertions.assertEquals;

import bramblespool.coordination.register.RegisterMessages.Accept;
import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.coordination.register.RegisterMessages.AcceptorRequest;
import bramblespool.coordination.register.RegisterMessages.BatchRequest;
import bramblespool.coordination.register.RegisterMessages.Prepare;
import bramblespool.coordination.register.RegisterResult.Chosen;
import bramblespool.coordination.register.RegisterResult.Conflict;
import bramblespool.testing.FakeTransport.Call;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RegisterProposerTest {
    private static final AcceptorReply GRANTED = new AcceptorReply(true, 0, ProposalNumber.NONE, null);
    private static final ProposalNumber OTHERS_NUMBER = new ProposalNumber(3, 1, SECOND, ProposalNumber.NO_TIME);

    private long startedMs;
    private final RegisterTestContext context = new RegisterTestContext();
    private final RegisterService service = context.service(SELF);
    private final RegisterProposer proposer = service.proposer();
    private final List<RegisterResult> results = new ArrayList<>();
    private final String preferredId = context.registerId(true);
    private final String otherId = context.registerId(false);

    /** The number of an attempt of the last proposal. */
    private ProposalNumber number(long round, long votersEpoch) {
        return new ProposalNumber(round, votersEpoch, SELF, startedMs);
    }

    /** The proposer, for a proposal that begins now. */
    private RegisterProposer proposer() {
        startedMs = context.clock.wallTimeMs();
        return proposer;
    }

    /** Lets requests be written and sent, and checks that the same ones went to both other voters. */
    private List<Call> expectCalls(AcceptorRequest... requests) {
        context.clock.advance(10);
        List<Call> calls = context.transport.take();
        assertEquals(2, calls.size());
        calls.forEach(call -> assertEquals(List.of(requests), requests(call)));
        return calls;
    }

    private void expectNoCalls() {
        context.clock.advance(10);
        assertEquals(List.of(), context.transport.take());
    }

    @Test
    void preferredProposerSkipsPrepareOnceItsOwnWriteIsDurable() {
        context.store.isSlow = true;
        proposer().compareAndSet(preferredId, "v", null, 1000, results::add);
        expectNoCalls();
        context.store.completeWrites();
        List<Call> calls = expectCalls(new Accept(preferredId, number(0, 1), "v"));
        reply(calls.get(0), GRANTED);
        assertEquals(List.of(new Chosen("v")), results);
        proposer().compareAndSet(preferredId, "v", null, 1000, results::add);
        proposer().compareAndSet(preferredId, "w", null, 1000, results::add);
        assertEquals(List.of(new Chosen("v"), new Chosen("v"), new Conflict("v")), results);
        expectNoCalls();
        assertEquals(3, proposer.proposalRounds());
    }

    @Test
    void anotherProposerPreparesFirst() {
        proposer().compareAndSet(otherId, "v", null, 1000, results::add);
        reply(expectCalls(new Prepare(otherId, number(1, 1))).get(0), GRANTED);
        reply(expectCalls(new Accept(otherId, number(1, 1), "v")).get(1), GRANTED);
        assertEquals(List.of(new Chosen("v")), results);
    }

    @Test
    void compareAndSetReplacesOnlyTheExpectedValue() {
        AcceptorReply accepted =
                new AcceptorReply(true, 1, ProposalNumber.unprepared(1, SECOND, ProposalNumber.NO_TIME), "old");
        proposer().compareAndSet(otherId, "v", "unexpected", 1000, results::add);
        reply(expectCalls(new Prepare(otherId, number(1, 1))).get(0), accepted);
        assertEquals(List.of(new Conflict("old")), results);
        proposer().compareAndSet(otherId, "v", "old", 1000, results::add);
        // Its number is above the one that the own acceptor has promised to the proposal before, as it began later.
        reply(expectCalls(new Prepare(otherId, number(1, 1))).get(0), accepted);
        expectCalls(new Accept(otherId, number(1, 1), "v"));
    }

    private static AcceptorReply holding(long round, String proposer, long issuedAtMs, String value) {
        return new AcceptorReply(true, round, new ProposalNumber(round, 1, proposer, issuedAtMs), value);
    }

    private String newestOf(AcceptorReply first, AcceptorReply second) {
        PhaseReplies replies =
                new PhaseReplies(context.voters(), number(9, 1), RegisterTestContext.TIMINGS.formerUseMs());
        replies.add(SELF, first);
        replies.add(SECOND, second);
        return replies.newestValue();
    }

    /**
     * Guards against a key that runs twice (TWICE): a voter that was restarted still holds a register's former use,
     * under a higher round than that of the value that the others have chosen since.
     */
    @Test
    void valueOfAFormerUseIsPassedOverWhateverItsRound() {
        long formerMs = context.clock.wallTimeMs();
        long presentMs = formerMs + RegisterTestContext.TIMINGS.formerUseMs();
        AcceptorReply former = holding(5, SELF, formerMs, "former");
        AcceptorReply present = holding(0, SECOND, presentMs, "present");
        assertEquals("present", newestOf(former, present));
        assertEquals("present", newestOf(present, former));
        assertEquals("untimed", newestOf(holding(4, SELF, ProposalNumber.NO_TIME, "untimed"), present));
        assertEquals("former", newestOf(former, holding(0, SECOND, presentMs - 1, "later")), "of one use");
    }

    @Test
    void setIfAbsentAndReadKeepTheNewestAcceptedValue() {
        proposer().setIfAbsent(otherId, "v", 1000, results::add);
        reply(
                expectCalls(new Prepare(otherId, number(1, 1))).get(0),
                new AcceptorReply(true, 1, ProposalNumber.unprepared(1, SECOND, ProposalNumber.NO_TIME), "theirs"));
        reply(expectCalls(new Accept(otherId, number(1, 1), "theirs")).get(0), GRANTED);
        String emptyId = otherId + "2";
        proposer().read(emptyId, 1000, results::add);
        reply(expectCalls(new Prepare(emptyId, number(1, 1))).get(0), GRANTED);
        assertEquals(List.of(new Chosen("theirs"), RegisterResult.EMPTY), results);
        expectNoCalls();
    }

    @Test
    void refusedProposalBeginsAgainAboveTheReportedRound() {
        proposer().compareAndSet(otherId, "v", null, 1000, results::add);
        for (Call call : expectCalls(new Prepare(otherId, number(1, 1)))) {
            reply(call, new AcceptorReply(false, 3, OTHERS_NUMBER, "theirs"));
        }
        context.clock.advance(RegisterTestContext.TIMINGS.batchDelayMs() * 4);
        expectCalls(new Prepare(otherId, number(4, 1)));
        assertEquals(List.of(), results);
    }

    @Test
    void silenceOfTheOthersEndsAsUnknown() {
        proposer().compareAndSet(preferredId, "v", null, 50, results::add);
        Call late = expectCalls(new Accept(preferredId, number(0, 1), "v")).get(0);
        context.clock.advance(100);
        assertEquals(List.of(RegisterResult.UNKNOWN), results);
        reply(late, GRANTED);
        assertEquals(1, results.size());
        assertEquals(1, proposer.unknownOutcomes());
    }

    @Test
    void changeOfVotersBetweenThePhasesBeginsAgainInTheNewEpoch() {
        proposer().compareAndSet(otherId, "v", null, 1000, results::add);
        Call call = expectCalls(new Prepare(otherId, number(1, 1))).get(0);
        context.setVoters(8, SELF, SECOND);
        reply(call, GRANTED);
        context.clock.advance(RegisterTestContext.TIMINGS.batchDelayMs() * 4);
        List<Call> calls = context.transport.take();
        assertEquals(1, calls.size());
        assertEquals(List.of(new Prepare(otherId, number(2, 8))), requests(calls.get(0)));
    }

    @Test
    void twoValuesUnderOneNumberEndAsUnknown() {
        BatchRequest accept = new BatchRequest(SELF, 1, List.of(new Accept(otherId, OTHERS_NUMBER, "a")));
        service.handleRequest("register", RegisterCodec.encode(accept), ignored -> {});
        proposer().read(otherId, 1000, results::add);
        expectCalls(new Prepare(otherId, number(1, 1)))
                .forEach(call -> reply(call, new AcceptorReply(false, 3, OTHERS_NUMBER, "b")));
        context.clock.advance(RegisterTestContext.TIMINGS.batchDelayMs() * 4);
        reply(expectCalls(new Prepare(otherId, number(4, 1))).get(0), new AcceptorReply(true, 4, OTHERS_NUMBER, "b"));
        assertEquals(List.of(RegisterResult.UNKNOWN), results);
    }

    /**
     * Guards against a key that runs twice (TWICE): a value that was proposed without a prepare phase under former
     * voters is held for a retention time, and could not be told from another such one.
     */
    @Test
    void preferredProposerPreparesUntilNothingOfFormerVotersIsHeld() {
        context.setVoters(8, SELF, SECOND, RegisterTestContext.THIRD);
        String id = context.registerId(true);
        proposer().compareAndSet(id, "v", null, 1000, results::add);
        expectCalls(new Prepare(id, number(1, 8)));
        context.clock.advance(RegisterTestContext.TIMINGS.retentionMs() + 1);
        context.transport.take();
        proposer().compareAndSet(id, "w", null, 1000, results::add);
        expectCalls(new Accept(id, number(0, 8), "w"));
    }
}
