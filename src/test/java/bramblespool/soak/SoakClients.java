package bramblespool.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one kind, each on a thread of its own and with random numbers of its own, until they are stopped.
 *
 * @param <R> a request as its client saw it
 */
abstract class SoakClients<R> {
    static final int DEADLINE_MS = 4500;
    /** How long a client that doesn't leave waits for an answer. */
    static final int PATIENCE_MS = 9000;

    final SoakMesh mesh;
    private final Queue<R> requests = new ConcurrentLinkedQueue<>();
    private final AtomicInteger requestCount = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private final int clients;
    private volatile boolean isOver;

    SoakClients(SoakMesh mesh, int clients) {
        this.mesh = mesh;
        this.clients = clients;
    }

    /** What one client does until {@link #isOver}. */
    abstract void run(Random random);

    /** All requests that have ended. */
    final Queue<R> requests() {
        return requests;
    }

    /** The number of the next request. */
    final int nextId() {
        return requestCount.incrementAndGet();
    }

    final boolean isOver() {
        return isOver;
    }

    final void start(long seed) {
        for (int i = 0; i < clients; i++) {
            Random random = new Random(seed * clients + i);
            Thread thread = new Thread(() -> run(random));
            threads.add(thread);
            thread.start();
        }
    }

    final void stop() throws InterruptedException {
        isOver = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
