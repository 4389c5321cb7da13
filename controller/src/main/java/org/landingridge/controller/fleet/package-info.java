/**
 * The machines of the cluster and the attempts that are or may be on them, for one leader term.
 *
 * <p>{@link org.landingridge.controller.fleet.Fleet} is the entry point. The other classes by responsibility:
 *
 * <ul>
 *   <li>{@code MachineTable}: the known machines; {@code MachineRegistry} with {@code MachineRow}: their stored rows;
 *   <li>{@code HeartbeatEndpoint}: answers or refuses heartbeats; {@code HeartbeatHandler}: applies their content;
 *   <li>{@code CommandComposer}, {@code CommandDispatcher}, {@code MachineProbe}: commands and probes sent to machines;
 *   <li>{@code AttemptTracker}, {@code FailureAttribution}, {@code PlaceableTasks}: the states of attempts and tasks;
 *   <li>{@code HealthMonitor}, {@code LeaseExpiry}, {@code TokenRaiser}, {@code FleetCycle}: periodic checks and timeouts;
 *   <li>{@code UnverifiedMachines}: reconciliation after a failover.
 * </ul>
 *
 * <p>All state is kept in the leader's memory and accessed only on the event loop's thread; only the registry's pages are
 * stored. The package depends on {@code recovery} for every decision, on {@code election} for the right to act and the fencing
 * token, on {@code store} for the registry, and on {@code jobs}, {@code settings} and {@code observability}; it does not depend
 * on scheduling or the cloud.
 */
package org.landingridge.controller.fleet;
