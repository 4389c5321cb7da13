/**
 * Tracks the features that each controller's version supports, so that no controller writes data that another would misread.
 *
 * <p>State: the announcements, as the watch delivers them. The event loop owns it. The package may depend on {@code store}.
 */
package org.landingridge.controller.upgrade;
