/**
 * One time in office of a leader: takes over what earlier leaders stored, schedules, reconciles the fleet with the cloud's
 * lists, and reports how far a failover has come.
 *
 * <p>{@link org.landingridge.controller.leader.LeaderTerm} owns the state of the term and its parts; it is made at an election
 * and dropped as a whole when the leadership ends. Everything runs on the event loop. The package wires the others together
 * and may depend on all of them; only the controller's top level depends on it.
 */
package org.landingridge.controller.leader;
