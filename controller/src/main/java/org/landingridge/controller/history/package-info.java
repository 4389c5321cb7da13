/**
 * The archive of terminated jobs: segments of 512 job ids each in the state service, which are read on demand, and the
 * compactor, which moves jobs from their own keys into segments.
 *
 * <p>State: the segments cached by {@link org.landingridge.controller.history.History} in every controller, and the state
 * machine of {@link org.landingridge.controller.history.Compactor} during a leader term. Both are used on the event loop only.
 * Depends on packages {@code jobs}, {@code store}, {@code settings}, {@code upgrade} and {@code observability}.
 */
package org.landingridge.controller.history;
