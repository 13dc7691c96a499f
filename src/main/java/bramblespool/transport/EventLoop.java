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

/**
 * The process's event loop: a single XNIO I/O thread. Exceptions of tasks are logged and do not end it. Only {@link
 * #post} may be called from other threads.
 */
public class EventLoop implements Clock {
    /** Stack of XNIO's threads: small, because the deepest use is JSON of limited depth. */
    private static final long STACK_BYTES = 512 << 10;

    static {
        // The libraries' management beans are not used here, and the JDK's MBean server takes a fifth of a start. Set
        // properties are left alone, so that the beans can be had.
        setPropertyIfAbsent("javax.management.builder.initial", DisabledMBeanServerBuilder.class.getName());
        setPropertyIfAbsent("jboss.threads.eqe.disable-mbean", "true");
        // By default Undertow closes a client connection by waiting up to 10 s for the other side, and once the request
        // is written it sends no FIN meanwhile: a cancelled request would go on at the server. At 0 it closes at once.
        setPropertyIfAbsent("io.undertow.max-drain-time", "0");
    }

    private static void setPropertyIfAbsent(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }

    /** Refuses to create an MBean server, which the libraries do without. Instantiated by the JDK by its name. */
    public static final class DisabledMBeanServerBuilder extends javax.management.MBeanServerBuilder {
        @Override
        public javax.management.MBeanServerDelegate newMBeanServerDelegate() {
            throw new UnsupportedOperationException("no management beans");
        }
    }

    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final SplittableRandom random = new SplittableRandom();
    private final EventLog log;

    /** Starts the thread. Its end is the process's end. */
    public EventLoop(EventLog log) throws IOException {
        this.log = log;
        worker = Xnio.getInstance(EventLoop.class.getClassLoader())
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, STACK_BYTES)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap());
        ioThread = worker.getIoThread(0);
    }

    XnioWorker worker() {
        return worker;
    }

    XnioIoThread ioThread() {
        return ioThread;
    }

    @Override
    public long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long wallTimeMs() {
        return System.currentTimeMillis();
    }

    @Override
    public double random() {
        return random.nextDouble();
    }

    @Override
    public Timer schedule(long delayMs, Runnable task) {
        if (delayMs <= 0) {
            ioThread.execute(() -> runGuarded(task));
            return () -> {};
        }
        XnioExecutor.Key key = ioThread.executeAfter(() -> runGuarded(task), delayMs, TimeUnit.MILLISECONDS);
        return key::remove;
    }

    /** Runs a task on the event loop. May be called from any thread. */
    public void post(Runnable task) {
        ioThread.execute(() -> runGuarded(task));
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.logUnexpected(e);
        }
    }
}
