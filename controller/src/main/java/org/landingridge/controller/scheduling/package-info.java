/**
 * Computes the plan of one scheduling cycle: which tasks are placed on which machines, which are preempted, and which
 * machines are rented and returned.
 *
 * <p>The package keeps no state between cycles, apart from {@link
 * org.landingridge.controller.scheduling.WindowedMaximum}, whose instances the callers hold. Package {@code leader} fills {@link
 * org.landingridge.controller.scheduling.Scheduler.Input} from the fleet, the job table and the teams' configuration, and
 * carries out the {@link org.landingridge.controller.scheduling.SchedulingPlan}. All code runs on the event loop. The same
 * input gives the same plan: no decision depends on a clock, a random number or hash order.
 *
 * <p>Depends on module {@code wire} for {@code JobSpec} and {@code MachineType} only.
 */
package org.landingridge.controller.scheduling;
