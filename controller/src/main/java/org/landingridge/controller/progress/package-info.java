/**
 * What the leader writes of jobs as they proceed: finished tasks, the end of a job whose tasks have all finished, and
 * cancellations that follow from other jobs.
 *
 * <p>State: the bits of finished tasks in {@link org.landingridge.controller.progress.CompletionStore}, by chunk of a job, for
 * one leader term. All of it belongs to the event loop. Depends on packages {@code jobs}, {@code fleet} and {@code store}.
 */
package org.landingridge.controller.progress;
