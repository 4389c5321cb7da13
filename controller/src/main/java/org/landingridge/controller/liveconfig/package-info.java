/**
 * The configuration of teams, which operators can change while the service runs. {@link
 * org.landingridge.controller.liveconfig.ConfigurationService} validates a change and writes it in one transaction; {@link
 * org.landingridge.controller.liveconfig.ConfigurationView} puts it into force at this controller once it has been received
 * completely.
 *
 * <p>Owns the stored documents under {@code lr/config/}. Runs on the event loop's thread; depends on {@code store}, {@code
 * settings}, {@code wire} and {@code net}.
 */
package org.landingridge.controller.liveconfig;
