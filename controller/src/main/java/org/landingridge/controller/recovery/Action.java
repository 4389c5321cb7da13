package org.landingridge.controller.recovery;

/** The action to take on a machine, a heartbeat, a heartbeat entry or a task. The names are shown in the status. */
public enum Action {
    /** Accept the report: it agrees with the stored state or extends it. */
    ADOPT,
    /** Do nothing until more is known; the reason says what is missing. */
    WAIT,
    /** The task, or every task that could run on the machine, certainly runs nowhere and may be started. */
    PLACE,
    /** Stop an attempt that must not run. */
    STOP,
    /** The attempt has ended and is no longer needed: the worker may forget it. */
    CLEAR,
    /** The worker has not seen this leader's fencing token yet: send the token before any other command. */
    FENCE,
    /** Return the machine to the cloud, whose answer proves that nothing runs on it any more. */
    GIVE_BACK,
    /** Ask the machine itself, or the state service. */
    ASK,
    /** Ignore the report: it is out of date. */
    IGNORE
}
