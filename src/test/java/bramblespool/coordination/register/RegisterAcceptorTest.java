package bramblespool.coordination.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.register.RegisterMessages.Accept;
import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.coordination.register.RegisterMessages.AcceptorRequest;
import bramblespool.coordination.register.RegisterMessages.Prepare;
import bramblespool.state.DurableStore.StoredRegister;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RegisterAcceptorTest {
    private static final String ID = "3/k";
    private static final long EPOCH = 1;
    private final RegisterTestContext context = new RegisterTestContext();
    private final RegisterTable registers = new RegisterTable(context.clock, context.clusterClock, 1000, List.of());
    private final RegisterAcceptor acceptor = new RegisterAcceptor(
            context.voters(), registers, new RegisterWriteBatcher(context.store, context.clock, 2));

    private static ProposalNumber number(long round) {
        return new ProposalNumber(round, EPOCH, "p", ProposalNumber.NO_TIME);
    }

    private AcceptorReply decide(AcceptorRequest request) {
        List<AcceptorReply> replies = new ArrayList<>();
        acceptor.handle(request, replies::add);
        context.clock.advance(2);
        assertEquals(1, replies.size());
        return replies.get(0);
    }

    @Test
    void promiseForbidsLowerAndEqualNumbers() {
        assertEquals(new AcceptorReply(true, 5, ProposalNumber.NONE, null), decide(new Prepare(ID, number(5))));
        assertEquals(new AcceptorReply(false, 5, ProposalNumber.NONE, null), decide(new Prepare(ID, number(5))));
        assertFalse(decide(new Accept(ID, number(4), "v")).isGranted());
        assertTrue(decide(new Prepare("3/other", number(1))).isGranted(), "registers are independent");
    }

    @Test
    void acceptsAtItsPromiseAndReportsTheValueToLaterPrepares() {
        decide(new Prepare(ID, number(5)));
        assertTrue(decide(new Accept(ID, number(5), "v")).isGranted());
        assertEquals(new AcceptorReply(true, 6, number(5), "v"), decide(new Prepare(ID, number(6))));
        assertFalse(decide(new Prepare(ID, number(5))).isGranted());
    }

    @Test
    void acceptsUnpreparedProposalsOnlyIntoUnknownRegisters() {
        Accept unprepared = new Accept(ID, number(0), "v");
        assertTrue(decide(unprepared).isGranted());
        assertTrue(decide(unprepared).isGranted(), "the same message twice");
        assertFalse(decide(new Accept(ID, unprepared.number(), "w")).isGranted());
        assertFalse(decide(new Accept(ID, new ProposalNumber(0, EPOCH, "q", ProposalNumber.NO_TIME), "v"))
                .isGranted());
        decide(new Prepare("3/promised", number(1)));
        assertFalse(decide(new Accept("3/promised", unprepared.number(), "v")).isGranted());
    }

    @Test
    void refusesUnpreparedProposalsOfAnotherEpoch() {
        Accept unprepared = new Accept(ID, new ProposalNumber(0, EPOCH + 1, "p", ProposalNumber.NO_TIME), "v");
        assertEquals(AcceptorReply.NO_ANSWER, decide(unprepared));
        assertFalse(registers.get(ID).isKnown());
        context.setVoters(EPOCH + 1, RegisterTestContext.SELF);
        assertTrue(decide(unprepared).isGranted());
    }

    @Test
    void repliesOnlyOnceDurable() {
        context.store.isSlow = true;
        List<AcceptorReply> replies = new ArrayList<>();
        acceptor.handleAll(List.of(new Prepare(ID, number(1)), new Accept(ID, number(1), "v")), replies::addAll);
        context.clock.advance(1000);
        assertEquals(List.of(), replies);
        assertEquals(
                List.of(List.of(new StoredRegister(ID, "1 1 p", "1 1 p", "v"))),
                context.store.writes,
                "one write of the newest state");
        context.store.completeWrites();
        assertEquals(
                List.of(true, true),
                replies.stream().map(AcceptorReply::isGranted).toList());
    }

    @Test
    void refusalAlsoWaitsForTheWriteOfWhatItReports() {
        context.store.isSlow = true;
        List<AcceptorReply> replies = new ArrayList<>();
        acceptor.handle(new Accept(ID, number(2), "v"), ignored -> {});
        acceptor.handle(new Prepare(ID, number(1)), replies::add);
        context.clock.advance(1000);
        assertEquals(List.of(), replies);
        context.store.completeWrites();
        assertEquals(List.of(new AcceptorReply(false, 2, number(2), "v")), replies);
    }

    /** Guards against a chosen value being replaced (TWICE): a value is over at all voters at the same time. */
    @Test
    void expiredValueIsNotReportedThoughPromisesCameSince() {
        decide(new Accept(ID, number(0), "old"));
        context.clock.advance(900);
        assertEquals(new AcceptorReply(true, 1, number(0), "old"), decide(new Prepare(ID, number(1))));
        context.clock.advance(200);
        assertEquals(new AcceptorReply(true, 2, ProposalNumber.NONE, null), decide(new Prepare(ID, number(2))));
        assertFalse(decide(new Prepare(ID, number(1))).isGranted(), "the promise is kept");
    }
}
