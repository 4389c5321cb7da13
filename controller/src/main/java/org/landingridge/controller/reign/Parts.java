package org.landingridge.controller.reign;

import java.util.Map;
import java.util.random.RandomGenerator;
import org.landingridge.controller.config.Policy;
import org.landingridge.controller.config.Settings;
import org.landingridge.controller.configuration.ConfigurationView;
import org.landingridge.controller.history.History;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.lead.Leadership;
import org.landingridge.controller.obs.Chronicle;
import org.landingridge.controller.obs.IncidentReport;
import org.landingridge.controller.obs.Metrics;
import org.landingridge.controller.ops.CloudClient;
import org.landingridge.controller.store.GroupWriter;
import org.landingridge.controller.store.Mirror;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.upgrade.Capabilities;
import org.landingridge.controller.users.JobLookup;
import org.landingridge.net.Http;
import org.landingridge.net.Loop;
import org.landingridge.wire.MachineType;

/** What a reign works with: the parts that every controller runs. */
public record Parts(
        Loop loop,
        Http http,
        RandomGenerator random,
        Settings settings,
        Policy policy,
        StateClient client,
        Mirror mirror,
        Leadership lead,
        GroupWriter writer,
        CloudClient cloud,
        JobTable table,
        History history,
        JobLookup lookup,
        Capabilities capabilities,
        ConfigurationView configuration,
        Map<String, MachineType> types,
        Metrics metrics,
        IncidentReport incidents,
        Chronicle chronicle) {}
