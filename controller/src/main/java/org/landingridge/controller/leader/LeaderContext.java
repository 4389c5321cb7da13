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

/** What a leader term works with: the parts that every controller runs. */
public record LeaderContext(
        EventLoop loop,
        Http http,
        RandomGenerator random,
        Settings settings,
        Policy policy,
        StateClient client,
        WatchCache watchCache,
        Leadership lead,
        BatchWriter writer,
        CloudClient cloud,
        JobTable table,
        History history,
        JobLookup lookup,
        Capabilities capabilities,
        ConfigurationView configuration,
        Map<String, MachineType> types,
        Metrics metrics,
        IncidentReport incidents,
        EventLog eventLog) {}
