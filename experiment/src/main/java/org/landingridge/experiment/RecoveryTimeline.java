package org.landingridge.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.landingridge.emulator.InvariantChecker;
import org.landingridge.wire.JobSpec;

/**
 * The history after a loss of the leader, or of all controllers, as the simulated world shows it: until somebody leads,
 * until the machines are known, until what was lost meanwhile runs again. Times in seconds after the loss; negative while
 * it has not come to that.
 */
final class RecoveryTimeline {
    /** Tasks that ran when the leader was lost and ran no more when the next one was there, services or others. */
    private static final class Lost {
        private final Set<String> open = new HashSet<>();
        private int all;
        private double mostS = -1;
        private double allS = -1;

        void look(InvariantChecker rules, double sinceS) {
            open.removeIf(t -> rules.locationByTask.containsKey(t)
                    || rules.completed.contains(t)
                    || rules.cancelAsked.contains(t.substring(0, t.lastIndexOf('/'))));
            if (mostS < 0 && open.size() * 20 <= all) {
                mostS = sinceS;
            }
            if (allS < 0 && open.isEmpty()) {
                allS = sinceS;
            }
        }
    }

    /** What came of it; {@code services} and {@code others}: how many tasks were lost. */
    record Result(
            double atS,
            double ledS,
            double mostS,
            double allS,
            int services,
            double servicesMostS,
            double servicesAllS,
            int others,
            double othersMostS,
            double othersAllS) {}

    private final double atS;
    private final List<String> ran;
    private final Lost services = new Lost();
    private final Lost others = new Lost();
    private double ledS = -1;
    private double mostS = -1;
    private double allS = -1;

    RecoveryTimeline(double atS, InvariantChecker rules) {
        this.atS = atS;
        this.ran = new ArrayList<>(rules.locationByTask.keySet());
    }

    /**
     * Another look.
     *
     * @param unknown  machines that the leader has not accounted for; negative while nobody leads
     * @param machines how many there are
     */
    void look(double nowS, int unknown, int machines, InvariantChecker rules) {
        if (unknown < 0 && ledS < 0) {
            return;
        }
        double since = nowS - atS;
        if (ledS < 0) {
            ledS = since;
            for (String task : ran) {
                JobSpec spec = rules.specs.get(task.substring(0, task.lastIndexOf('/')));
                if (!rules.locationByTask.containsKey(task) && !rules.completed.contains(task)) {
                    Lost lost = spec.service() ? services : others;
                    lost.open.add(task);
                    lost.all++;
                }
            }
        }
        if (unknown >= 0 && mostS < 0 && unknown * 20 <= machines) {
            mostS = since;
        }
        if (allS < 0 && unknown == 0) {
            allS = since;
        }
        services.look(rules, since);
        others.look(rules, since);
    }

    boolean over() {
        return allS >= 0 && services.allS >= 0 && others.allS >= 0;
    }

    Result result() {
        return new Result(
                atS,
                ledS,
                mostS,
                allS,
                services.all,
                services.mostS,
                services.allS,
                others.all,
                others.mostS,
                others.allS);
    }
}
