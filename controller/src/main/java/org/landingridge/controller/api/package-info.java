/**
 * The users' requests for jobs: submit, poll, cancel. Any controller serves them; the state service decides.
 *
 * <p>State: what limits submissions ({@link org.landingridge.controller.api.FairQueue},
 * {@link org.landingridge.controller.api.AdmissionControl}) and the lookups that are under way
 * ({@link org.landingridge.controller.api.JobLookup}). All of it belongs to the event loop. Depends on packages {@code jobs},
 * {@code history}, {@code liveconfig}, {@code settings}, {@code store} and {@code observability}.
 */
package org.landingridge.controller.api;
