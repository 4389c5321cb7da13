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
 * The dependencies and settings of a {@link Fleet}.
 *
 * @param types          returns the machine type with a name, or null
 * @param endedSpecs     returns the specification of a job that may have ended, or null if it is no longer known
 * @param maxConnections limit of the controller's open connections
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
