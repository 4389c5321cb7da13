package org.landingridge.controller.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.liveconfig.Configuration;
import org.landingridge.controller.liveconfig.ConfiguredTeam;
import org.landingridge.controller.scheduling.TeamQuota;
import org.landingridge.controller.settings.Settings;

/**
 * The teams of the live configuration, by index, for the scheduler. All teams of a cycle come from the same revision of the
 * configuration.
 */
final class ConfiguredTeams {
    /**
     * Age of the leader's view beyond which it starts nothing, in milliseconds. A configuration change must take effect within
     * 7 s, whichever controller accepted it; 1 s of that is left for sending a command.
     */
    private static final long MAX_VIEW_AGE_MS = 6_000;
    /** Age of the leader's view beyond which it asks the state service for changes, in milliseconds. */
    private static final long REFRESH_VIEW_AGE_MS = 2_500;

    private final LeaderContext context;
    private final Map<String, Integer> indexByName = new HashMap<>();
    private Configuration configuration;
    private boolean isBarrierPending;

    ConfiguredTeams(LeaderContext context) {
        this.context = context;
    }

    /** Returns the currently configured teams, without usage. A cycle reads the configuration only through this method. */
    @SuppressWarnings("ReferenceEquality") // each change creates a new immutable configuration
    List<TeamQuota> refresh() {
        Configuration current = context.liveConfiguration().current();
        if (current != configuration) {
            configuration = current;
            indexByName.clear();
            current.teams().keySet().forEach(name -> indexByName.put(name, indexByName.size()));
        }
        List<TeamQuota> teams = new ArrayList<>();
        for (ConfiguredTeam team : current.teams().values()) {
            Settings.Team limits = team.limits();
            teams.add(new TeamQuota(limits.cpus(), limits.cpusMax(), limits.gpus(), limits.gpusMax()));
        }
        return teams;
    }

    /** Returns the index of a team as of the last {@link #refresh}, or the given default if there is no such team. */
    int indexOf(String name, int defaultIndex) {
        return indexByName.getOrDefault(name, defaultIndex);
    }

    /** Returns true if the teams were ever changed by a live configuration change, in this or an earlier term. */
    boolean wasEverChanged() {
        return configuration.number() != 0;
    }

    /**
     * Returns true while another controller may have committed a configuration change that this leader has not seen yet. The
     * leader then starts nothing, since the change may forbid it. During an outage of the state service no change can be
     * committed, and the promises of all other controllers confirm that. Returns false, without asking the state service, if the
     * configuration was never changed.
     */
    boolean mayBeOutdated(long now) {
        if (!wasEverChanged()) {
            return false;
        }
        long viewAgeMs = now - context.leadership().cancellationsKnownBefore();
        if (viewAgeMs > REFRESH_VIEW_AGE_MS && !isBarrierPending) {
            isBarrierPending = true;
            context.watchCache().readBarrier(() -> isBarrierPending = false, () -> isBarrierPending = false);
        }
        return viewAgeMs > MAX_VIEW_AGE_MS;
    }
}
