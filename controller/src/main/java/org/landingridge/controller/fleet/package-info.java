/**
 * The machines of the cluster and the attempts that are or may be on them, for one leader term.
 *
 * <p>{@link org.landingridge.controller.fleet.Fleet} is the only way in; behind it one class has one job:
 *
 * <ul>
 *   <li>{@code MachineTable}: which machines there are; {@code MachineRegistry} with {@code MachineRow}: what is stored of them;
 *   <li>{@code HeartbeatEndpoint}: whether a heartbeat is answered; {@code HeartbeatHandler}: what is learned from it;
 *   <li>{@code CommandComposer}, {@code CommandDispatcher}, {@code MachineProbe}: what machines are sent;
 *   <li>{@code AttemptTracker}, {@code FailureAttribution}, {@code PlaceableTasks}: what becomes of attempts and tasks;
 *   <li>{@code HealthMonitor}, {@code LeaseExpiry}, {@code TokenRaiser}, {@code FleetCycle}: what time alone changes;
 *   <li>{@code UnverifiedMachines}: reconciliation after a failover.
 * </ul>
 *
 * <p>All state is memory of the leader, owned by the event loop and touched on its thread alone; the registry's pages are the
 * only part that is stored. The package depends on {@code recovery} for every decision, on {@code election} for the right to
 * act and the fencing token, on {@code store} for the registry, and on {@code jobs}, {@code settings} and
 * {@code observability}; it knows nothing of scheduling and the cloud.
 */
package org.landingridge.controller.fleet;
