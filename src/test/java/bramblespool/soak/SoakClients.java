package bramblespool.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Clients of one kind, each on a thread of its own and with random numbers of its own, until they are stopped. */
abstract class SoakClients {
    private final List<Thread> threads = new ArrayList<>();
    private final int clients;
    private volatile boolean isOver;

    SoakClients(int clients) {
        this.clients = clients;
    }

    /** What one client does until {@link #isOver}. */
    abstract void run(Random random);

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
