package org.landingridge.net;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The loop on an XNIO I/O thread. */
public final class XnioLoop implements Loop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioLoop.class);
    private final XnioIoThread thread;

    public XnioLoop(XnioIoThread thread) {
        this.thread = thread;
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
            return () -> { };
        }
        XnioExecutor.Key key = thread.executeAfter(guarded, millis, TimeUnit.MILLISECONDS);
        return key::remove;
    }
}
