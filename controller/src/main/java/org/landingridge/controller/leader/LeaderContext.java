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
 * The dependencies of a leader term: components that every controller runs and that outlive the term.
 *
 * @param leadership        the state of this controller in the leader election, and its fencing token
 * @param capabilities      the features that all controllers of the cluster support
 * @param liveConfiguration the live configuration of the teams
 */
public record LeaderContext(
        Environment environment,
        StartupConfiguration startupConfiguration,
        StateServiceAccess store,
        Leadership leadership,
        CloudAccess cloudAccess,
        Jobs jobs,
        Capabilities capabilities,
        ConfigurationView liveConfiguration,
        Observability observability) {
    /** The process environment: event loop with its clocks, HTTP connections, and random number generator. */
    public record Environment(EventLoop loop, Http http, RandomGenerator random) {}

    /** The configuration that was read when the process started. */
    public record StartupConfiguration(Settings settings, Policy policy) {}

    /** Access to the state service. */
    public record StateServiceAccess(StateClient stateClient, WatchCache watchCache, BatchWriter writer) {}

    /**
     * Access to the cloud.
     *
     * @param machineTypes live view of the machine types that the cloud offers, by name
     */
    public record CloudAccess(CloudClient cloudClient, Map<String, MachineType> machineTypes) {}

    /** Access to jobs: the table of known jobs, the history of ended jobs, and the lookup of awaited jobs. */
    public record Jobs(JobTable jobTable, History history, JobLookup jobLookup) {}

    /** Metrics, incidents and structured events that the term reports to. */
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
        return startupConfiguration.settings();
    }

    Policy policy() {
        return startupConfiguration.policy();
    }

    StateClient stateClient() {
        return store.stateClient();
    }

    WatchCache watchCache() {
        return store.watchCache();
    }

    BatchWriter writer() {
        return store.writer();
    }

    CloudClient cloudClient() {
        return cloudAccess.cloudClient();
    }

    Map<String, MachineType> machineTypes() {
        return cloudAccess.machineTypes();
    }

    JobTable jobTable() {
        return jobs.jobTable();
    }

    History history() {
        return jobs.history();
    }

    JobLookup jobLookup() {
        return jobs.jobLookup();
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
