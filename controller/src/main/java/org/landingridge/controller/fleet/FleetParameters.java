package org.landingridge.controller.fleet;

import java.util.function.Function;
import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.observability.IncidentReport;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;

/**
 * What a {@link Fleet} is made of.
 *
 * @param types          a machine type by its name, null where there is none
 * @param endedSpecs     what the tasks of a job take that may have ended, null where that is not known any more
 * @param maxConnections open connections that the controller may have
 */
public record FleetParameters(
        EventLoop loop,
        Http http,
        Leadership leadership,
        Settings.Workers workers,
        Function<String, MachineType> types,
        Function<String, JobSpec> endedSpecs,
        Policy policy,
        int maxConnections,
        Metrics metrics,
        IncidentReport incidents,
        EventLog eventLog) {}
