package org.landingridge.net;

import java.util.function.Consumer;

/** A task that an event loop runs at an interval until it is stopped. A run that fails does not end the series. */
public final class PeriodicTask {
    private final EventLoop loop;
    private final long intervalMs;
    private final GuardedTask task;
    private boolean stopped;

    /**
     * A task that does not run yet.
     *
     * @param name      what the task is, for the log
     * @param onFailing given a reason when the task fails again and again, see {@link GuardedTask}
     */
    public PeriodicTask(EventLoop loop, String name, long intervalMs, Runnable task, Consumer<String> onFailing) {
        this.loop = loop;
        this.intervalMs = intervalMs;
        this.task = new GuardedTask(name, task, onFailing);
    }

    /** Runs the task now, and then again at the interval from the end of each run. */
    public void start() {
        run();
    }

    /** Lets no further run begin. */
    public void stop() {
        stopped = true;
    }

    private void run() {
        if (stopped) {
            return;
        }
        try {
            task.run();
        } finally {
            loop.after(intervalMs, this::run);
        }
    }
}
