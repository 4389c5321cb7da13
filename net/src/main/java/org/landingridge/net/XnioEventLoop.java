package org.landingridge.net;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The event loop on an XNIO I/O thread. */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long STACK_BYTES = 512 * 1024;
    private final XnioIoThread thread;

    /** A loop on the thread of {@link #worker}. */
    public XnioEventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    /**
     * Starts a worker with one I/O thread: the thread that owns everything.
     *
     * @throws IOException if the thread's selector cannot be opened
     */
    public static XnioWorker worker() throws IOException {
        // XNIO registers its workers as MBeans, which nothing here reads. Setting up the platform's bean server costs a
        // tenth of a second of processor time at each start; with this XNIO finds none and goes on without.
        System.setProperty("javax.management.builder.initial", "none");
        return Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, STACK_BYTES)
                        .set(Options.WORKER_NAME, "core")
                        .getMap());
    }

    @Override
    public long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public long timeOfDay() {
        return System.currentTimeMillis();
    }

    @Override
    public Timer after(long millis, Runnable task) {
        Runnable guarded = guarded(task);
        if (millis <= 0) {
            thread.execute(guarded);
            return () -> {};
        }
        XnioExecutor.Key key = thread.executeAfter(guarded, millis, TimeUnit.MILLISECONDS);
        return key::remove;
    }

    /** One failed task must not end the loop: every later timer hangs on it. */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("a timer's task failed", e);
            } catch (Error e) {
                FatalErrors.end("a timer's task", e);
            }
        };
    }
}
