package bramblespool.transport;

import bramblespool.state.EventLog;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The process's one event loop: a single XNIO I/O thread. */
public class Loop implements Clock {
    /** XNIO's own threads keep small stacks; the deepest use is JSON of bounded depth. */
    private static final long STACK_BYTES = 512 << 10;

    static {
        // Nobody reads the libraries' management beans here, and the platform's server for them costs a fifth of a
        // start.
        // Whoever wants them sets these properties; what is set stands.
        unlessSet("javax.management.builder.initial", NoBeans.class.getName());
        unlessSet("jboss.threads.eqe.disable-mbean", "true");
    }

    private static void unlessSet(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }

    /** Makes no server for management beans; the libraries go on without. */
    public static final class NoBeans extends javax.management.MBeanServerBuilder {
        @Override
        public javax.management.MBeanServerDelegate newMBeanServerDelegate() {
            throw new UnsupportedOperationException("no management beans");
        }
    }

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final SplittableRandom chance = new SplittableRandom();
    private final EventLog log;

    public Loop(EventLog log) throws IOException {
        this.log = log;
        worker = Xnio.getInstance(Loop.class.getClassLoader())
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, STACK_BYTES)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap());
        thread = worker.getIoThread(0);
    }

    XnioWorker worker() {
        return worker;
    }

    XnioIoThread thread() {
        return thread;
    }

    @Override
    public long now() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long wall() {
        return System.currentTimeMillis();
    }

    @Override
    public double chance() {
        return chance.nextDouble();
    }

    @Override
    public Timer after(long ms, Runnable task) {
        if (ms <= 0) {
            thread.execute(() -> guarded(task));
            return () -> {};
        }
        XnioExecutor.Key key = thread.executeAfter(() -> guarded(task), ms, TimeUnit.MILLISECONDS);
        return key::remove;
    }

    /** From any thread. */
    public void post(Runnable task) {
        thread.execute(() -> guarded(task));
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.logUnexpected(e);
        }
    }
}
