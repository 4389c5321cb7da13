/**
 * What goes over the wire, and the only place that knows its field names.
 *
 * <ul>
 *   <li>The worker protocol: {@link org.landingridge.wire.Heartbeat} both ways; {@link org.landingridge.wire.Commands} writes
 *       what a leader has a worker do, {@link org.landingridge.wire.CommandBatch} reads it as
 *       {@link org.landingridge.wire.WorkerCommand}s; {@link org.landingridge.wire.LeaderRedirect} is the answer of a controller
 *       that does not lead.
 *   <li>What users send: {@link org.landingridge.wire.JobSpec}.
 *   <li>What the cloud lists: {@link org.landingridge.wire.CloudMachine}, {@link org.landingridge.wire.MachineType}.
 * </ul>
 *
 * <p>A message that breaks its format is an {@link org.landingridge.wire.InvalidMessageException}. The package holds no state
 * and may be used on any thread; it depends on Jackson's parser, generator and tree alone.
 */
package org.landingridge.wire;
