package org.landingridge.experiment;

import java.util.LinkedHashMap;
import java.util.Map;
import org.landingridge.controller.settings.Settings;

/**
 * What a simulated cluster is made of.
 *
 * @param machines of spot and of ordinary machines each, how many the cloud has; 4 processors a machine
 * @param bootMs   until a machine that was rented is up
 * @param teams    by name
 * @param cancelMs within which the tasks of a job are gone whose user was told that it is cancelled
 * @param state    the state service's limits, as the controllers are told; see {@link SimulatedCluster#enforceLimits}
 */
record ClusterSetup(
        long seed,
        int controllers,
        int machines,
        long bootMs,
        long reportMs,
        long leaseMs,
        long cancelMs,
        Map<String, Settings.Team> teams,
        Settings.State state) {
    /** The one machine type that the cloud offers. */
    static final String TYPE = "t4";
    /** By how much the cloud's lists lag. */
    static final long LIST_LAG_MS = 4_000;

    static final long REPORT_MS = 1_000;
    static final long LEASE_MS = 8_000;
    static final long CANCEL_MS = 15_000;

    ClusterSetup(
            long seed,
            int controllers,
            int machines,
            long bootMs,
            long reportMs,
            long leaseMs,
            Map<String, Settings.Team> teams,
            Settings.State state) {
        this(seed, controllers, machines, bootMs, reportMs, leaseMs, CANCEL_MS, teams, state);
    }

    /** A small one, with two teams; the first has a limit. */
    static ClusterSetup small(long seed, double teamLimit, int controllers) {
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        teams.put("red", new Settings.Team("red", 8, teamLimit, 0, 0));
        teams.put("blue", new Settings.Team("blue", 8, 0, 0, 0));
        return new ClusterSetup(
                seed, controllers, 20, 3_000, REPORT_MS, LEASE_MS, teams, new Settings.State(200, 20, 4, 8));
    }
}
