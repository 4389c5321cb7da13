/**
 * Leader election: which controller leads, its fencing token, and until when it may act. While the state service does not
 * answer, promises of all other controllers not to lead take the place of the leader lease.
 *
 * <p>State: the election state, the lease, the token, the promises given and received, and how much of the other controllers'
 * cancellation logs is known. All of it is confined to the event loop. The package may depend on {@code store}, {@code peer}
 * and the cancellation log of {@code jobs}.
 */
package org.landingridge.controller.election;
