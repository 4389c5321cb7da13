package org.landingridge.controller.fleet;

import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.observability.IncidentReport;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;

/**
 * What every part of the fleet stands on.
 *
 * @param token    the token under which this leader term began
 * @param leaseMs  after so long without an answer a worker has killed its tasks for certain, drift and margin included
 * @param reportMs how often workers report
 */
record FleetContext(
        EventLoop loop,
        Http http,
        Leadership lead,
        long token,
        Metrics metrics,
        IncidentReport incidents,
        EventLog eventLog,
        Fleet.Events events,
        long leaseMs,
        long reportMs) {}
