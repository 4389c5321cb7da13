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

/** The loop on an XNIO I/O thread. */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);
    private final XnioIoThread thread;

    public XnioEventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    /** A worker with one I/O thread: the thread that owns everything. */
    public static XnioWorker worker() throws IOException {
        // XNIO registers its workers as MBeans, which nothing here reads. Setting up the platform's bean server costs a
        // tenth of a second of processor time at each start; with this XNIO finds none and goes on without.
        System.setProperty("javax.management.builder.initial", "none");
        return Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, 512 * 1024L)
                        .set(Options.WORKER_NAME, "core")
                        .getMap());
    }

    @Override
    public long now() {
        return System.nanoTime() / 1_000_000;
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
        Runnable guarded = () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                // One failed task must not end the loop: every later timer hangs on it.
                LOG.error("a timer's task failed", e);
            }
        };
        if (millis <= 0) {
            thread.execute(guarded);
            return () -> {};
        }
        XnioExecutor.Key key = thread.executeAfter(guarded, millis, TimeUnit.MILLISECONDS);
        return key::remove;
    }
}
