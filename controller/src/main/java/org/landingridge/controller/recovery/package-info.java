/**
 * Reconciliation: from evidence about machines, heartbeats and tasks to decisions, each an action and its reason.
 *
 * <p>The functions have no state; {@link org.landingridge.controller.recovery.ObservationWindow} owns how much a new leader
 * has observed, and is used on the event loop alone. The package depends on nothing else of the controller. Package
 * {@code fleet} gathers the evidence and acts, and {@code docs/recovery.md} has the tables.
 */
package org.landingridge.controller.recovery;
