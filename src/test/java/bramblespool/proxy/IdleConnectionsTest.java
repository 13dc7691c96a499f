package bramblespool.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.Simulator;
import java.nio.channels.Channel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How long clients' connections may stay idle, on a simulated clock. */
class IdleConnectionsTest {
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

    private final Simulator simulator = new Simulator(1);
    private final List<String> closed = new ArrayList<>();
    private IdleConnections<Connection> idleConnections;

    @BeforeEach
    void boot() {
        SimulatedMachine machine = simulator.machine("10.0.1.1:7000");
        machine.boot();
        idleConnections = new IdleConnections<>(machine, 1000);
    }

    private Connection newIdleConnection(String name) {
        Connection connection = new Connection(name);
        idleConnections.onRequestEnded(connection);
        return connection;
    }

    private List<String> closedAfter(long durationMs) {
        simulator.run(durationMs);
        idleConnections.closeExpired();
        return closed;
    }

    @Test
    void idleConnectionIsClosedAfterTimeoutButNotWhileBusy() {
        Connection busy = newIdleConnection("busy");
        newIdleConnection("idle");
        assertEquals(List.of(), closedAfter(900));
        idleConnections.onRequestStarted(busy);
        assertEquals(List.of("idle"), closedAfter(100));
        assertEquals(List.of("idle"), closedAfter(5000));
        idleConnections.onRequestEnded(busy);
        assertEquals(List.of("idle", "busy"), closedAfter(1000));
    }

    @Test
    void raisedTimeoutAppliesAtOnceAndLoweredTimeoutToLaterIdlePeriods() {
        newIdleConnection("first");
        simulator.run(500);
        idleConnections.setIdleLimit(3000);
        assertEquals(List.of(), closedAfter(2400));
        assertEquals(List.of("first"), closedAfter(100));
        newIdleConnection("second");
        idleConnections.setIdleLimit(200);
        newIdleConnection("third");
        assertEquals(List.of("first", "third"), closedAfter(200));
        assertEquals(List.of("first", "third"), closedAfter(2700));
        assertEquals(List.of("first", "third", "second"), closedAfter(100));
    }

    @Test
    void closeClosesAllIdleConnections() {
        idleConnections.onRequestStarted(newIdleConnection("busy"));
        newIdleConnection("idle");
        idleConnections.closeIdle();
        assertEquals(List.of("idle"), closed);
    }
}
