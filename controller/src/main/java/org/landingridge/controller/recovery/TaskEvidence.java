package org.landingridge.controller.recovery;

/**
 * The evidence about a task that is on no machine according to the reports so far.
 *
 * @param acceptedThisTerm  its job was accepted in this leader term, so no earlier leader has started it
 * @param accounted         this leader has seen it on a fenced machine; an earlier leader had it on one machine at most
 * @param unverifiedMachine its kind, type and zone allow it to run on a machine that is not yet accounted for
 */
public record TaskEvidence(boolean acceptedThisTerm, boolean accounted, boolean unverifiedMachine) {}
