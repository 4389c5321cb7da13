/**
 * Makes the calls to the cloud: machine rents and returns of one leader term, each with a stored record, and machine lists.
 *
 * <p>The package owns the operations, their records (key prefix {@code op/}) and the rate limit of the calls. All code runs on
 * the event loop. The package depends on package {@code store}, on module {@code net} and on the cloud messages in module
 * {@code wire}. It reports results through {@link org.landingridge.controller.cloud.Operations.Events}.
 */
package org.landingridge.controller.cloud;
