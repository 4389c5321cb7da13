package org.landingridge.controller.recovery;

/** What is to be done about a machine, an entry of a report or a task. */
public enum Action {
    /** It is what the stored state says, or fits into it: it is taken as it is. */
    ADOPT,
    /** Nothing is done until something more is known; the judgement says what, and at most until when. */
    WAIT,
    /** The task, or all that the machine held, is certainly nowhere and may be started. */
    PLACE,
    /** It runs and may not: it is told to stop. */
    STOP,
    /** It is over and nobody needs it any more: the worker may forget it. */
    CLEAR,
    /** It does not know this leader yet: it is shown the token before anything else. */
    FENCE,
    /** The machine goes back to the cloud, whose answer settles all that was on it. */
    GIVE_BACK,
    /** Whoever knows is asked: the machine itself, or the state service. */
    ASK,
    /** What it says is older than what is known. */
    IGNORE
}
