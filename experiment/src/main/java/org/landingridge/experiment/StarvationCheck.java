package org.landingridge.experiment;

import java.util.HashMap;
import java.util.Map;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.InvariantChecker;
import org.landingridge.wire.JobSpec;

/**
 * Once all troubles are over no job may be left waiting while a machine that fits has room and its team is under its limit:
 * looks at the truth once a second.
 */
final class StarvationCheck {
    private static final int MOST_S = 90;
    private final SimulatedCluster world;
    /** For how many seconds on end there has been room for a waiting task, by job. */
    private final Map<String, Integer> seconds = new HashMap<>();

    StarvationCheck(SimulatedCluster world) {
        this.world = world;
    }

    void look() {
        InvariantChecker rules = world.checker;
        rules.lastStatusByJob.forEach((id, told) -> {
            JobSpec spec = rules.specs.get(id);
            boolean waits = told.equals("accepted")
                    && !rules.cancelAsked.contains(id)
                    && !rules.mistaken.contains(id)
                    && waits(rules, spec)
                    && rules.allows(spec.team(), spec.cpus())
                    && world.workers.stream().anyMatch(w -> fits(rules, spec, w));
            if (seconds.merge(id, waits ? 1 : -MOST_S, (before, now) -> Math.max(0, before + now)) == MOST_S) {
                rules.broke("waits", id + " has waited for " + MOST_S + " s beside room for it");
            }
        });
    }

    private static boolean waits(InvariantChecker rules, JobSpec spec) {
        for (int i = 0; i < spec.tasks(); i++) {
            String task = spec.id() + "/" + i;
            if (!rules.locationByTask.containsKey(task) && !rules.completed.contains(task)) {
                return true;
            }
        }
        return false;
    }

    private static boolean fits(InvariantChecker rules, JobSpec spec, EmulatedWorker w) {
        String zone = w.box().zone;
        Map<String, String> there = rules.placesOf(spec.id());
        long here = there.values().stream().filter(p -> p.endsWith("@" + zone)).count();
        return !w.hangs()
                && w.free() >= spec.cpus()
                && (spec.spot() || !w.box().spot)
                && (spec.types() == null || spec.types().contains(ClusterSetup.TYPE))
                && (spec.zone() == null || spec.zone().equals(zone))
                && (!spec.oneZone() || there.isEmpty() || here > 0)
                && (!spec.spread() || here < (spec.tasks() + 1) / 2);
    }
}
