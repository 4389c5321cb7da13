package org.landingridge.controller.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.liveconfig.Configuration;
import org.landingridge.controller.liveconfig.ConfiguredTeam;
import org.landingridge.controller.scheduling.Team;
import org.landingridge.controller.settings.Settings;

/** The teams of the live configuration as the scheduler sees them: by index, all by the same change. */
final class ConfiguredTeams {
    /** A change is in force within 7 s wherever it was made: beyond that less what a command takes, nothing is started. */
    private static final long IN_FORCE_MS = 6_000;
    /** After so long without news of the state service it is asked whether there are any. */
    private static final long ASK_AGAIN_MS = 2_500;

    private final LeaderContext context;
    private final Map<String, Integer> indexByName = new HashMap<>();
    private Configuration configuration;
    private boolean asking;

    ConfiguredTeams(LeaderContext context) {
        this.context = context;
    }

    /** The teams as they are configured now, without usage; a cycle reads the configuration here only. */
    @SuppressWarnings("ReferenceEquality") // each change makes a new immutable configuration
    List<Team> refresh() {
        Configuration current = context.configuration().current();
        if (current != configuration) {
            configuration = current;
            indexByName.clear();
            current.teams().keySet().forEach(name -> indexByName.put(name, indexByName.size()));
        }
        List<Team> teams = new ArrayList<>();
        for (ConfiguredTeam team : current.teams().values()) {
            Settings.Team limits = team.limits();
            teams.add(new Team(limits.cpus(), limits.cpusMax(), limits.gpus(), limits.gpusMax()));
        }
        return teams;
    }

    /** The index of a team as of the last {@link #refresh}, or the given one where there is no such team. */
    int index(String name, int otherwise) {
        return indexByName.getOrDefault(name, otherwise);
    }

    /** True once the teams were ever changed while the cluster ran. */
    boolean everChanged() {
        return configuration.number() != 0;
    }

    /**
     * True while this leader may lack a change that others could have made: it starts nothing that may be forbidden by now.
     * In an outage nobody can make one, and the promises of all others say so. Where nothing was ever configured, nothing is asked.
     */
    boolean mayBeOutdated(long now) {
        if (!everChanged()) {
            return false;
        }
        long age = now - context.lead().cancellationsKnownAt();
        if (age > ASK_AGAIN_MS && !asking) {
            asking = true;
            context.watchCache().barrier(() -> asking = false, () -> asking = false);
        }
        return age > IN_FORCE_MS;
    }
}
