/**
 * Handles the users' requests to submit, poll and cancel jobs. Every controller serves them; conditional writes to the state
 * service decide the outcome.
 *
 * <p>State: the limits on submissions ({@link org.landingridge.controller.api.FairQueue},
 * {@link org.landingridge.controller.api.AdmissionControl}) and the pending lookups
 * ({@link org.landingridge.controller.api.JobLookup}). All state is confined to the event loop. The package depends on
 * packages {@code jobs}, {@code history}, {@code liveconfig}, {@code settings}, {@code store} and {@code observability}.
 */
package org.landingridge.controller.api;
