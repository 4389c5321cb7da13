/**
 * What a process is given at its start: the platform's file ({@link org.landingridge.controller.settings.Settings}, TOML)
 * and the operators' ({@link org.landingridge.controller.settings.Policy}, JSON). What changes while controllers run is
 * package {@code liveconfig}.
 *
 * <p>Immutable records, read once before the event loop starts; no state. May depend on module {@code wire} only.
 */
package org.landingridge.controller.settings;
