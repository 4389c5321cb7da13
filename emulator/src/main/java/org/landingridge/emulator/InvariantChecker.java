package org.landingridge.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.JobSpec;

/** The checker: sees the truth of the simulated world and notes every broken rule. */
public final class InvariantChecker implements GroundTruth {
    public final List<String> violations = new ArrayList<>();
    public final Map<String, JobSpec> specs = new HashMap<>();
    /** What users were told last: accepted, done or cancelled. */
    public final Map<String, String> lastStatusByJob = new HashMap<>();

    private final Map<String, Long> firstStarts = new HashMap<>();
    private final Map<String, Long> answeredAt = new HashMap<>();
    /** When a user was first told that the job is done or cancelled. */
    private final Map<String, Long> overAt = new HashMap<>();

    public final Map<String, Long> cancelledAt = new HashMap<>();
    private final Map<String, Long> acceptedAt = new HashMap<>();
    public final Set<String> cancelAsked = new HashSet<>();
    /** Where each task is, by task name. */
    public final Map<String, String> locationByTask = new HashMap<>();
    /** The same by job, and what each team uses: looked up at each start. */
    private final Map<String, Map<String, String>> placesOf = new HashMap<>();

    private final Map<String, Double> used = new HashMap<>();
    /** Jobs that were submitted with a mistake. */
    public final Set<String> mistaken = new HashSet<>();

    private final Map<String, Double> saved = new HashMap<>();
    public final Set<String> completed = new HashSet<>();
    private final Map<String, Integer> completedOf = new HashMap<>();
    public final Map<String, Double> limits = new HashMap<>();
    /** Told of every order that arrives; null where nobody counts them. */
    public CommandObserver orders;

    private final EventLoop loop;
    private final long cancelMs;
    /** Told of each job, by id, at the moment at which the last of its tasks completes. */
    public Consumer<String> allCompleted = id -> {};
    /** Jobs that no controller may accept, with the status that each has to get; their ids are nobody else's. */
    public final Map<String, Integer> unacceptable = new HashMap<>();

    public int starts;
    /** Starts of tasks that had completed before: no rule forbids them, but they are work done twice. */
    public int repeats;

    public InvariantChecker(EventLoop loop, long cancelMs) {
        this.loop = loop;
        this.cancelMs = cancelMs;
    }

    @Override
    public JobSpec spec(String jobId) {
        return specs.get(jobId);
    }

    @Override
    public boolean mistaken(String jobId) {
        return mistaken.contains(jobId);
    }

    @Override
    public double saved(String task) {
        return saved.getOrDefault(task, 0.0);
    }

    @Override
    public void saves(String task, double seconds) {
        saved.put(task, seconds);
    }

    @Override
    public boolean completed(String task) {
        return completed.contains(task);
    }

    @Override
    public void ordered(Order order, String machine, String attempt, String pool, boolean repeated) {
        if (orders != null) {
            orders.ordered(order, machine, attempt, pool, repeated);
        }
    }

    @Override
    public void misused(String what) {
        broke("misused", what);
    }

    @Override
    public void oversized(String message, int bytes) {
        broke("message_size", message + " has " + bytes + " bytes");
    }

    @Override
    public void starts(String task, String machine, String type, String zone, boolean spot) {
        String id = task.substring(0, task.lastIndexOf('/'));
        JobSpec spec = specs.get(id);
        starts++;
        firstStarts.putIfAbsent(id, loop.now());
        repeats += completed.contains(task) ? 1 : 0;
        if (locationByTask.containsKey(task)) {
            broke("ran_twice", task + " starts on " + machine + " while on " + locationByTask.get(task));
        }
        if (spec.zone() != null && !spec.zone().equals(zone)
                || spot && !spec.spot()
                || spec.types() != null && !spec.types().contains(type)) {
            broke("wrong_place", task + " on " + machine);
        }
        int here = 0;
        for (Map.Entry<String, String> e : placesOf.getOrDefault(id, Map.of()).entrySet()) {
            boolean same = e.getValue().endsWith("@" + zone);
            if (spec.oneZone() && !same) {
                broke("wrong_place", task + " in another zone than " + e.getKey());
            }
            here += same ? 1 : 0;
        }
        if (spec.spread() && here + 1 > (spec.tasks() + 1) / 2) {
            broke("wrong_place", task + " makes too many of its job in " + zone);
        }
        for (String needed : spec.awaits()) {
            if (!allDone(needed)) {
                broke("too_early", task + " starts before " + needed + " is done");
            }
        }
        String before = locationByTask.put(task, machine + "@" + zone);
        placesOf.computeIfAbsent(id, i -> new HashMap<>()).put(task, machine + "@" + zone);
        late(task);
        double uses = used.merge(spec.team(), before == null ? spec.cpus() : 0, Double::sum);
        double limit = limits.getOrDefault(spec.team(), 0.0);
        if (limit > 0 && uses > limit + 1e-6) {
            broke("quota", spec.team() + " uses " + uses + " of " + limit);
        }
    }

    @Override
    public void ends(String task, boolean done) {
        String id = task.substring(0, task.lastIndexOf('/'));
        if (locationByTask.remove(task) != null) {
            used.merge(specs.get(id).team(), -specs.get(id).cpus(), Double::sum);
            placesOf.get(id).remove(task);
        }
        if (done
                && completed.add(task)
                && completedOf.merge(id, 1, Integer::sum) == specs.get(id).tasks()) {
            allCompleted.accept(id);
        }
    }

    /** True once all tasks of the job have completed. */
    public boolean allDone(String id) {
        return specs.containsKey(id)
                && completedOf.getOrDefault(id, 0) == specs.get(id).tasks();
    }

    /** All jobs that this one needs, directly or through others. */
    public Set<String> neededBy(String id) {
        Set<String> all = new LinkedHashSet<>();
        Deque<String> due = new ArrayDeque<>(List.of(id));
        while (!due.isEmpty()) {
            JobSpec spec = specs.get(due.poll());
            if (spec != null) {
                spec.awaits().stream().filter(all::add).forEach(due::add);
            }
        }
        return all;
    }

    /** When a user was first told of a cancellation that ends this job; never, if none does. */
    private long endedWithAnother(String id) {
        long first = Long.MAX_VALUE;
        for (String needed : neededBy(id)) {
            first = Math.min(first, cancelledAt.getOrDefault(needed, Long.MAX_VALUE));
        }
        return first == Long.MAX_VALUE ? first : Math.max(first, acceptedAt.getOrDefault(id, 0L));
    }

    private boolean mayBeCancelled(String id) {
        return cancelAsked.contains(id) || neededBy(id).stream().anyMatch(cancelAsked::contains);
    }

    /** True if the team may use so much more. */
    public boolean allows(String team, double cpus) {
        double limit = limits.getOrDefault(team, 0.0);
        return limit <= 0 || used.getOrDefault(team, 0.0) + cpus <= limit + 1e-6;
    }

    /** Where tasks of the job are, by task. */
    public Map<String, String> placesOf(String id) {
        return placesOf.getOrDefault(id, Map.of());
    }

    /** A rule that only who sees more than this can judge. */
    public void broke(String rule, String what) {
        violations.add(loop.now() + " " + rule + ": " + what);
    }

    private void late(String task) {
        String id = task.substring(0, task.lastIndexOf('/'));
        Long at = cancelledAt.get(id);
        if (at != null && loop.now() > at + cancelMs) {
            broke("ran_cancelled", task);
        }
        if (!specs.get(id).awaits().isEmpty() && loop.now() - cancelMs > endedWithAnother(id)) {
            broke("orphaned", task + " is on a machine");
        }
    }

    /** When the first task of the job began to run; never, if it did not. */
    public long firstStart(String id) {
        return firstStarts.getOrDefault(id, Long.MAX_VALUE);
    }

    /** Of these jobs every known one about which no user has had an answer since is forgotten. */
    public void unanswered(long since, Collection<String> ids) {
        ids.stream()
                .filter(id -> lastStatusByJob.containsKey(id) && answeredAt.getOrDefault(id, 0L) < since)
                .limit(20)
                .forEach(id -> broke(
                        "forgotten", id + " is " + lastStatusByJob.get(id) + " and gets no answer since " + since));
    }

    public void everySecond() {
        locationByTask.keySet().forEach(this::late);
    }

    /**
     * An answer to a user about a job. One to a question that was asked before the job was called over may have been given
     * before, too: then it is not an older answer after a newer one, only a slower one.
     *
     * @param askedAt when the question was sent
     */
    public void answered(String id, String asked, long askedAt, int status, String state) {
        String before = lastStatusByJob.get(id);
        Integer due = unacceptable.get(id);
        if (due != null && asked.equals("submit") && status < 500 && status != due && status != 429) {
            broke("accepted", id + " can never run, or is malformed, and gets " + status + " instead of " + due);
        }
        if (askedAt < overAt.getOrDefault(id, 0L)
                && status < 400
                && !state.equals("done")
                && !state.equals("cancelled")) {
            return;
        }
        if (status == 404 && before != null) {
            broke("forgotten", id + " was " + before + " and gets 404");
        }
        if ((status == 400 || status == 422) && before != null && asked.equals("submit")) {
            broke("forgotten", id + " is known and gets " + status);
        }
        if (status != 200 && status != 201) {
            return;
        }
        if (!specs.containsKey(id)) {
            broke("invented", id);
            return;
        }
        boolean over = "done".equals(before) || "cancelled".equals(before);
        if (over && !before.equals(state)) {
            broke("went_back", id + " from " + before + " to " + state);
        }
        if (state.equals("cancelled") && !mayBeCancelled(id)) {
            broke("went_back", id + " is called cancelled, which nobody asked for");
        }
        if (state.equals("done")) {
            for (int i = 0; i < specs.get(id).tasks(); i++) {
                if (!completed.contains(id + "/" + i)) {
                    broke("not_done", id + "/" + i);
                }
            }
        }
        acceptedAt.putIfAbsent(id, loop.now());
        if (state.equals("cancelled")) {
            cancelledAt.putIfAbsent(id, loop.now());
        } else if (!state.equals("done") && askedAt - cancelMs > endedWithAnother(id)) {
            broke("orphaned", id + " is called " + state);
        }
        answeredAt.put(id, loop.now());
        if (state.equals("done") || state.equals("cancelled")) {
            overAt.putIfAbsent(id, loop.now());
        }
        lastStatusByJob.put(id, state.equals("done") || state.equals("cancelled") ? state : "accepted");
    }
}
