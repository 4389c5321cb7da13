/**
 * Calls to the cloud: the rents and returns of one leader term, each with a stored record, and the machine list.
 *
 * <p>The package owns the operations and their records (key prefix {@code op/}), and the pace of the calls. Everything runs
 * on the event loop. It depends on the store, on module {@code net} and on the cloud's records in module {@code wire}, and
 * reports by {@link org.landingridge.controller.cloud.Operations.Events}.
 */
package org.landingridge.controller.cloud;
