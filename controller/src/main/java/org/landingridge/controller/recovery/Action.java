package org.landingridge.controller.recovery;

/** What is to be done about a machine, a heartbeat, an entry of one, or a task. The names are shown in the status. */
public enum Action {
    /** It is what the stored state says, or fits into it: it is taken as it is. */
    ADOPT,
    /** Nothing is done until something more is known; the reason says what. */
    WAIT,
    /** The task, or all that could run on the machine, certainly runs nowhere and may be started. */
    PLACE,
    /** It runs and may not: it is stopped. */
    STOP,
    /** It is over and nobody needs it any more: the worker may forget it. */
    CLEAR,
    /** The worker has not seen this leader's fencing token yet: it is sent the token before anything else. */
    FENCE,
    /** The machine is returned to the cloud, whose answer proves that nothing runs on it any more. */
    GIVE_BACK,
    /** Whoever knows is asked: the machine itself, or the state service. */
    ASK,
    /** What it says is older than what is known. */
    IGNORE
}
