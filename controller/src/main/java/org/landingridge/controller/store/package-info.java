/**
 * Access to the state service: the client, a cache that a watch keeps current, and a writer that stores the leader's documents
 * in batches within the service's limits.
 *
 * <p>State: the versions of all keys, the revision up to which changes are applied, and the documents with pending writes. The
 * event loop owns all of it. The package may depend on {@code settings} and {@code observability}, and on modules net and
 * wire.
 */
package org.landingridge.controller.store;
