package org.landingridge.controller.fleet;

import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.observability.IncidentReport;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;

/**
 * The shared dependencies and times of the parts of a fleet.
 *
 * @param token               the fencing token under which this leader term began
 * @param leaseMs             time without an answer after which a worker has certainly killed its tasks, including clock drift
 *                            and a margin, in milliseconds
 * @param heartbeatIntervalMs heartbeat interval of the workers, in milliseconds
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
        long heartbeatIntervalMs) {
    /** Factor for clock drift between controller and worker; the rates of clocks differ by at most 0.05 %. */
    private static final double CLOCK_DRIFT_FACTOR = 1.002;
    /** Margin on the safe side: the answer that starts the lease here was written after the worker had sent its heartbeat. */
    private static final long LEASE_MARGIN_MS = 250;

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
                (long) (parameters.workers().leaseS() * 1000 * CLOCK_DRIFT_FACTOR) + LEASE_MARGIN_MS,
                Math.round(parameters.workers().reportS() * 1000));
    }

    long now() {
        return loop.now();
    }
}
