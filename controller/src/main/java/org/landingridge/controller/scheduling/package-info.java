/**
 * Decides what one scheduling cycle does: which tasks are placed where, which are preempted, and which machines are
 * rented and returned.
 *
 * <p>The package keeps no state between cycles, apart from {@link
 * org.landingridge.controller.scheduling.WindowedMaximum}, which its owner keeps. Package {@code leader} fills {@link
 * org.landingridge.controller.scheduling.Scheduler.Input} from the fleet, the job table and the teams' configuration, and
 * carries the {@link org.landingridge.controller.scheduling.SchedulingPlan} out. All of it runs on the event loop. The same
 * input gives the same plan: there is no clock, no random number and no hash order in a decision.
 *
 * <p>Depends on module {@code wire} for {@code JobSpec} and {@code MachineType} only.
 */
package org.landingridge.controller.scheduling;
