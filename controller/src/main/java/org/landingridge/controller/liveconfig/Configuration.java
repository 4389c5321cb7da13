package org.landingridge.controller.liveconfig;

import java.util.Map;

/**
 * An immutable and consistent configuration. A scheduling cycle or a request reads it once and uses it to the end.
 *
 * @param number number of the last change; 0 while only the settings file applies
 * @param teams  teams by name, in a stable order
 */
public record Configuration(long number, Map<String, ConfiguredTeam> teams) {}
