package bramblespool.coordination.register;

import static bramblespool.coordination.register.RegisterTestContext.SECOND;
import static bramblespool.coordination.register.RegisterTestContext.SELF;
import static bramblespool.coordination.register.RegisterTestContext.THIRD;
import static bramblespool.coordination.register.RegisterTestContext.json;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.DurableStore.StoredRegister;
import bramblespool.testing.FakeTransport.Call;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RegisterSynchronizerTest {
    /** Takes the place of the founder at its address. */
    private static final String SUCCESSOR = "10.0.0.1:1#5f";

    private final RegisterTestContext context = new RegisterTestContext();
    private RegisterService service;

    @BeforeEach
    void replaceFounder() {
        service = context.service(SUCCESSOR);
        context.setVoters(20, SUCCESSOR, SECOND, THIRD);
    }

    @Test
    void foundingVoterNeedsNoSync() {
        context.setVoters(30, SELF, SECOND, THIRD);
        assertFalse(context.service(SELF).isSynced(), "a voter since entry 30");
        assertTrue(context.service(SECOND).isSynced());
        assertFalse(context.service("10.0.0.9:1#0").isSynced(), "no voter");
    }

    @Test
    void newVoterRefusesUntilItHasReadAllPagesOfAMajorityOfTheOthers() {
        List<JsonNode> answers = new ArrayList<>();
        JsonNode prepare = json("{'to':'" + SUCCESSOR + "','epoch':20,'items':[[1,'3/a','5 20 p']]}");
        service.handleRequest("register", prepare, answers::add);
        assertEquals("{}", answers.get(0).toString());

        service.sync();
        service.sync();
        List<Call> calls = context.transport.take();
        assertEquals(2, calls.size(), "once, to each of the others");
        assertEquals(
                json("{'to':'" + SECOND + "','epoch':20,'after':''}").toString(),
                calls.get(0).body().toString());
        calls.get(0).callback().accept(json("{'items':[['3/a','1 1 p','v']],'more':false}"));
        calls.get(1).callback().accept(json("{'items':[['3/a','2 1 p','w']],'more':true}"));
        assertFalse(service.isSynced());
        Call secondPage = context.transport.take().get(0);
        assertEquals("3/a", secondPage.body().path("after").asText());
        secondPage.callback().accept(json("{'items':[],'more':false}"));

        assertTrue(service.isSynced());
        assertEquals(
                List.of(new StoredRegister("3/a", null, "2 1 p", "w"), new StoredRegister("", null, null, "20")),
                context.store.writes.get(0));
        assertTrue(context.service(SUCCESSOR).isSynced(), "after a restart too");
        service.handleRequest("register", prepare, answers::add);
        context.clock.advance(10);
        assertEquals(
                json("{'items':[[1,5,'2 1 p','w']]}").toString(), answers.get(1).toString());
    }

    @Test
    void beginsAnewWhereNoMajorityAnswersOrTheVotersChange() {
        service.sync();
        List<Call> calls = context.transport.take();
        calls.get(0).callback().accept(json("{'items':[],'more':false}"));
        calls.get(1).callback().accept(null);
        assertFalse(service.isSynced());
        service.sync();
        List<Call> repeated = context.transport.take();
        assertEquals(2, repeated.size());
        context.setVoters(25, SUCCESSOR, SECOND);
        repeated.forEach(call -> call.callback().accept(json("{'items':[],'more':false}")));
        assertFalse(service.isSynced(), "answers under former voters do not count");
        service.sync();
        assertEquals(1, context.transport.take().size());
    }
}
