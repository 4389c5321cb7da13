/**
 * A leader term: loads the documents that earlier leaders stored, schedules tasks, reconciles the fleet with the cloud's
 * machine lists, and reports the progress of a failover.
 *
 * <p>{@link org.landingridge.controller.leader.LeaderTerm} owns the state and the components of one term. It is created when
 * this controller is elected and discarded when its leadership ends. Everything runs on the event loop. This package connects
 * the other packages and may depend on all of them; only the top-level package of the controller depends on it.
 */
package org.landingridge.controller.leader;
