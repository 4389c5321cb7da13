/**
 * Access to the state service: its calls, a copy of what is stored that a watch keeps current, and the writing of the leader's
 * documents in batches within the service's limits.
 *
 * <p>State: the versions of all keys, the changes that have been taken over, and the documents that wait to be written. The
 * event loop owns all of it. The package may depend on {@code settings} and {@code observability}, and on modules net and
 * wire.
 */
package org.landingridge.controller.store;
