package org.landingridge.controller.leader;

import java.util.Map;
import java.util.random.RandomGenerator;
import org.landingridge.controller.api.JobLookup;
import org.landingridge.controller.cloud.CloudClient;
import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.history.History;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.liveconfig.ConfigurationView;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.observability.IncidentReport;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.controller.upgrade.Capabilities;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.MachineType;

/**
 * What a leader term works with: the parts that every controller runs, and that outlive the term.
 *
 * @param lead          whether this controller leads, and its fencing token
 * @param capabilities  what all controllers understand
 * @param configuration the teams as they are in force
 */
public record LeaderContext(
        Environment environment,
        Configured configured,
        Store store,
        Leadership lead,
        Cloud cloudAccess,
        Jobs jobs,
        Capabilities capabilities,
        ConfigurationView configuration,
        Observability observability) {
    /** The process: its event loop and clocks, its connections, its source of random numbers. */
    public record Environment(EventLoop loop, Http http, RandomGenerator random) {}

    /** What was configured at the start of the process. */
    public record Configured(Settings settings, Policy policy) {}

    /** Access to the state service. */
    public record Store(StateClient client, WatchCache watchCache, BatchWriter writer) {}

    /**
     * Access to the cloud.
     *
     * @param types the machine types on offer, by name; a view that follows the cloud
     */
    public record Cloud(CloudClient client, Map<String, MachineType> types) {}

    /** The jobs: known ones, ended ones, and the lookup of those that others await. */
    public record Jobs(JobTable table, History history, JobLookup lookup) {}

    /** Where the term reports what happens. */
    public record Observability(Metrics metrics, IncidentReport incidents, EventLog eventLog) {}

    EventLoop loop() {
        return environment.loop();
    }

    Http http() {
        return environment.http();
    }

    RandomGenerator random() {
        return environment.random();
    }

    Settings settings() {
        return configured.settings();
    }

    Policy policy() {
        return configured.policy();
    }

    StateClient client() {
        return store.client();
    }

    WatchCache watchCache() {
        return store.watchCache();
    }

    BatchWriter writer() {
        return store.writer();
    }

    CloudClient cloud() {
        return cloudAccess.client();
    }

    Map<String, MachineType> types() {
        return cloudAccess.types();
    }

    JobTable table() {
        return jobs.table();
    }

    History history() {
        return jobs.history();
    }

    JobLookup lookup() {
        return jobs.lookup();
    }

    Metrics metrics() {
        return observability.metrics();
    }

    IncidentReport incidents() {
        return observability.incidents();
    }

    EventLog eventLog() {
        return observability.eventLog();
    }
}
