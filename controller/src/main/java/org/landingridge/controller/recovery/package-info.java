/**
 * Reconciliation: derives decisions, each an action and its reason, from evidence about machines, heartbeats and tasks.
 *
 * <p>The functions have no state. {@link org.landingridge.controller.recovery.ObservationWindow} tracks how much a new leader
 * has observed, and is used only on the event loop. The package depends on no other package of the controller. Package
 * {@code fleet} gathers the evidence and carries out the decisions; {@code docs/recovery.md} has the tables.
 */
package org.landingridge.controller.recovery;
