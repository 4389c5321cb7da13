package org.landingridge.controller.fleet;

import org.landingridge.controller.lead.Leadership;
import org.landingridge.controller.obs.Chronicle;
import org.landingridge.controller.obs.IncidentReport;
import org.landingridge.controller.obs.Metrics;
import org.landingridge.net.Http;
import org.landingridge.net.Loop;

/**
 * What every part of the fleet stands on.
 *
 * @param token    the token under which this reign began
 * @param leaseMs  after so long without an answer a worker has killed its tasks for certain, drift and margin included
 * @param reportMs how often workers report
 */
record Ground(
        Loop loop,
        Http http,
        Leadership lead,
        long token,
        Metrics metrics,
        IncidentReport incidents,
        Chronicle chronicle,
        Fleet.Events events,
        long leaseMs,
        long reportMs) {}
