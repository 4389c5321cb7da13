package org.landingridge.controller.recovery;

/**
 * What is known of a task that is on no machine as far as anybody has reported.
 *
 * @param acceptedThisTerm   its job was accepted in this leader term, so no earlier leader has started it
 * @param accounted          this leader has seen it on a fenced machine: an earlier leader had it in one place at most
 * @param unverifiedMachine  a machine that is not accounted for could run it, by kind, type and zone
 */
public record TaskEvidence(boolean acceptedThisTerm, boolean accounted, boolean unverifiedMachine) {}
