/**
 * Which controller leads, under which fencing token, and until when it may act: the leader lease, the election, and promises
 * of the other controllers in place of the lease while the state service does not answer.
 *
 * <p>State: the state in the election, the lease, the token, the promises given and received, and how far the others'
 * cancellations are known. The event loop owns all of it. The package may depend on {@code store}, {@code peer} and the
 * cancellation log of {@code jobs}.
 */
package org.landingridge.controller.election;
