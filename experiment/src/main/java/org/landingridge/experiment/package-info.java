/**
 * Real controllers in simulated time: {@link org.landingridge.experiment.SimulatedCluster} puts them among the stand-ins of
 * module {@code emulator}, {@link org.landingridge.experiment.ExperimentCommand} plays a file's workload and faults for each
 * seed, checks every invariant and writes a report. The tests of whole histories use the same cluster.
 *
 * <p>A run of one seed repeats to the last command: all chance comes from the seed, all time from the simulation.
 */
package org.landingridge.experiment;
