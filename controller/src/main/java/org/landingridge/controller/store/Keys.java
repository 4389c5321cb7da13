package org.landingridge.controller.store;

/** Keys and key prefixes in the state service. */
public final class Keys {
    /** Prefix of all keys that every controller caches. */
    public static final String ROOT = "lr/";
    /** Prefix of the keys of active and recently ended jobs, one key per job. */
    public static final String JOBS = ROOT + "job/";

    /** Key of the current leader's record; deleted when the leader's lease expires. */
    public static final String LEADER = ROOT + "leader";
    /** Key of the last elected leader's record; it outlives the leader's lease. */
    public static final String LAST_LEADER = LEADER + "-last";

    private Keys() {}
}
