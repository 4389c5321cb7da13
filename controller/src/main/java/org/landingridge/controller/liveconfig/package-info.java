/**
 * The configuration of teams that changes while the service runs. {@link
 * org.landingridge.controller.liveconfig.ConfigurationService} checks a change and writes it in one transaction; {@link
 * org.landingridge.controller.liveconfig.ConfigurationView} has it in force at this controller once all of it is here.
 *
 * <p>Owns the stored documents under {@code lr/config/}. Runs on the event loop's thread; depends on {@code store}, {@code
 * settings}, {@code wire} and {@code net}.
 */
package org.landingridge.controller.liveconfig;
