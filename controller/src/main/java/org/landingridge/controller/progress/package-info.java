/**
 * The job progress that the leader stores: finished tasks, the completion of a job whose tasks have all finished, and
 * cancellations that follow from the cancellation of an awaited job.
 *
 * <p>State: the bits of finished tasks in {@link org.landingridge.controller.progress.CompletionStore}, by chunk, for one leader
 * term. The event loop owns it. Depends on packages {@code jobs}, {@code fleet} and {@code store}.
 */
package org.landingridge.controller.progress;
