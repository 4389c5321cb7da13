/**
 * The archive of terminated jobs: segments of 512 job ids each in the state service, read by need, and the compactor that moves
 * jobs from keys of their own into them.
 *
 * <p>State: the segments cached by {@link org.landingridge.controller.history.History} in every controller, and the state
 * machine of {@link org.landingridge.controller.history.Compactor} during a leader term. All of it belongs to the event loop.
 * Depends on packages {@code jobs}, {@code store}, {@code settings}, {@code upgrade} and {@code observability}.
 */
package org.landingridge.controller.history;
