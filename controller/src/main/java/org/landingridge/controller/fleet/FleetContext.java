package org.landingridge.controller.fleet;

import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.observability.IncidentReport;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;

/**
 * What every part of the fleet uses.
 *
 * @param token    the fencing token under which this leader term began
 * @param leaseMs  after so long without an answer a worker has killed its tasks for certain, drift and margin included
 * @param reportMs how often workers send heartbeats
 */
record FleetContext(
        EventLoop loop,
        Http http,
        Leadership leadership,
        long token,
        Metrics metrics,
        IncidentReport incidents,
        EventLog eventLog,
        Fleet.Events events,
        long leaseMs,
        long reportMs) {
    /** Clocks differ by 0.05 % at most. */
    private static final double DRIFT = 1.002;
    /** Our 200 was written after the heartbeat was sent: to count a little longer errs on the safe side. */
    private static final long MARGIN_MS = 250;

    static FleetContext of(FleetParameters parameters, Fleet.Events events) {
        return new FleetContext(
                parameters.loop(),
                parameters.http(),
                parameters.leadership(),
                parameters.leadership().token(),
                parameters.metrics(),
                parameters.incidents(),
                parameters.eventLog(),
                events,
                (long) (parameters.workers().leaseS() * 1000 * DRIFT) + MARGIN_MS,
                Math.round(parameters.workers().reportS() * 1000));
    }

    long now() {
        return loop.now();
    }
}
