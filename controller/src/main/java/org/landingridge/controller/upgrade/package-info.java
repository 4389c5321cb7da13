/**
 * Which features the versions of all controllers know, so that none writes what another would misread.
 *
 * <p>State: the announcements, as the watch brings them. The event loop owns it. The package may depend on {@code store}.
 */
package org.landingridge.controller.upgrade;
