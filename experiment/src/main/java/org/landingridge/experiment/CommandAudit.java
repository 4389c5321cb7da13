package org.landingridge.experiment;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.landingridge.emulator.GroundTruth.CommandObserver;
import org.landingridge.emulator.GroundTruth.Order;

/**
 * Counts the controllers' orders where they arrive, and which of them nobody needed. Needless are: a command repeated, a
 * start that is stopped within 30 s although its job goes on, a rent that is given back without ever having been given a
 * task, and a live machine given back of which another of its kind is rented within 120 s.
 */
final class CommandAudit implements CommandObserver {
    private static final long STOPPED_MS = 30_000;
    private static final long RENTED_MS = 120_000;

    /** Of one kind of order: all, the most in a second and which second that was, needless ones. */
    record Count(Order order, int sum, int busiest, int busiestAtS, int needless) {}

    private static final class Line {
        private int sum;
        private int busiest;
        private int busiestAt;
        private int needless;
        private long second = -1;
        private int now;

        void add(long at, boolean repeated) {
            sum++;
            needless += repeated ? 1 : 0;
            if (at / 1_000 != second) {
                second = at / 1_000;
                now = 0;
            }
            if (++now > busiest) {
                busiest = now;
                busiestAt = (int) second;
            }
        }
    }

    private final LongSupplier clock;
    /** True for a machine that answers. */
    private final Predicate<String> alive;
    /** True for a job that its user has cancelled. */
    private final Predicate<String> cancelled;

    private final Map<Order, Line> lines = new EnumMap<>(Order.class);
    private final Map<String, Long> started = new HashMap<>();
    private final Set<String> unused = new HashSet<>();
    /** Live machines given back, by pool. */
    private final Map<String, Deque<Long>> back = new HashMap<>();

    CommandAudit(LongSupplier clock, Predicate<String> alive, Predicate<String> cancelled) {
        this.clock = clock;
        this.alive = alive;
        this.cancelled = cancelled;
        for (Order o : Order.values()) {
            lines.put(o, new Line());
        }
    }

    @Override
    public void ordered(Order order, String machine, String attempt, String pool, boolean repeated) {
        long now = clock.getAsLong();
        lines.get(order).add(now, repeated);
        if (repeated) {
            return;
        }
        switch (order) {
            case START -> {
                started.put(attempt, now);
                unused.remove(machine);
            }
            case STOP -> {
                Long at = started.remove(attempt);
                if (at != null
                        && now - at < STOPPED_MS
                        && !cancelled.test(attempt.substring(0, attempt.indexOf('/')))) {
                    lines.get(Order.START).needless++;
                }
            }
            case RENT -> {
                unused.add(machine);
                Deque<Long> lately = back.computeIfAbsent(pool, p -> new ArrayDeque<>());
                while (!lately.isEmpty() && now - lately.peekFirst() > RENTED_MS) {
                    lately.removeFirst();
                }
                if (lately.pollLast() != null) {
                    lines.get(Order.GIVE_BACK).needless++;
                }
            }
            case GIVE_BACK -> {
                if (unused.remove(machine)) {
                    lines.get(Order.RENT).needless++;
                }
                if (alive.test(machine)) {
                    back.computeIfAbsent(pool, p -> new ArrayDeque<>()).addLast(now);
                }
            }
            default -> {}
        }
    }

    Map<Order, Count> counts() {
        Map<Order, Count> counts = new EnumMap<>(Order.class);
        lines.forEach((o, l) -> counts.put(o, new Count(o, l.sum, l.busiest, l.busiestAt, l.needless)));
        return counts;
    }
}
