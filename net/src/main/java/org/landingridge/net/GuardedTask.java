package org.landingridge.net;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A task whose failures are logged and counted: after several in a row its owner is told, who can no longer rely on it. */
public final class GuardedTask implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(GuardedTask.class);
    /** Number of failures in a row after which the owner is told. */
    private static final int FAILURES_LIMIT = 5;

    private final String name;
    private final Runnable task;
    private final Consumer<String> onFailing;
    private int failuresInRow;

    /**
     * A task that has not failed yet.
     *
     * @param name      what the task is, for the log
     * @param onFailing given a reason after five failures in a row, and again after each further five
     */
    public GuardedTask(String name, Runnable task, Consumer<String> onFailing) {
        this.name = name;
        this.task = task;
        this.onFailing = onFailing;
    }

    @Override
    public void run() {
        try {
            task.run();
            failuresInRow = 0;
        } catch (RuntimeException e) {
            failuresInRow++;
            LOG.error("task failed, task={} failuresInRow={}", name, failuresInRow, e);
            if (failuresInRow >= FAILURES_LIMIT) {
                failuresInRow = 0;
                onFailing.accept("the " + name + " failed " + FAILURES_LIMIT + " times in a row: " + e);
            }
        }
    }
}
