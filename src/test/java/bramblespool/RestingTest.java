package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bramblespool.proxy.IdleConnections;
import bramblespool.sim.SimWorld;
import java.nio.channels.Channel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How long clients' connections may rest, on a simulated clock. */
class RestingTest {
    private final class Connection implements Channel {
        private final String name;

        Connection(String name) {
            this.name = name;
        }

        @Override
        public boolean isOpen() {
            return !closed.contains(name);
        }

        @Override
        public void close() {
            closed.add(name);
        }
    }

    private final SimWorld world = new SimWorld(1);
    private final List<String> closed = new ArrayList<>();
    private IdleConnections<Connection> resting;

    @BeforeEach
    void boot() {
        SimWorld.Machine machine = world.machine("10.0.1.1:7000");
        machine.boot();
        resting = new IdleConnections<>(machine, 1000);
    }

    private Connection rest(String name) {
        Connection c = new Connection(name);
        resting.onRequestEnded(c);
        return c;
    }

    private List<String> after(long ms) {
        world.run(ms);
        resting.closeExpired();
        return closed;
    }

    @Test
    void oneIsClosedOnceItHasRestedForTheBoundAndNotWhileItIsAtWork() {
        Connection busy = rest("busy");
        rest("idle");
        assertEquals(List.of(), after(900));
        resting.onRequestStarted(busy);
        assertEquals(List.of("idle"), after(100));
        assertEquals(List.of("idle"), after(5000));
        resting.onRequestEnded(busy);
        assertEquals(List.of("idle", "busy"), after(1000));
    }

    @Test
    void aBoundThatRisesHoldsAtOnceAndOneThatFallsForRestsToCome() {
        rest("first");
        world.run(500);
        resting.setIdleLimit(3000);
        assertEquals(List.of(), after(2400));
        assertEquals(List.of("first"), after(100));
        rest("second");
        resting.setIdleLimit(200);
        rest("third");
        assertEquals(List.of("first", "third"), after(200));
        assertEquals(List.of("first", "third"), after(2700));
        assertEquals(List.of("first", "third", "second"), after(100));
    }

    @Test
    void atTheEndAllThatRestAreClosed() {
        resting.onRequestStarted(rest("busy"));
        rest("idle");
        resting.closeIdle();
        assertEquals(List.of("idle"), closed);
    }
}
