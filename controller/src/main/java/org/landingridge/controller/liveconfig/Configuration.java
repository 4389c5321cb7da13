package org.landingridge.controller.liveconfig;

import java.util.Map;

/**
 * What is in force at one moment, whole at one number: a pass or an answer takes it once and works by it throughout.
 *
 * @param number of the last change, 0 while only the platform's file counts
 * @param teams  by name, in a stable order
 */
public record Configuration(long number, Map<String, ConfiguredTeam> teams) {}
