package org.landingridge.controller.store;

/** The keys of the state service. */
public final class Keys {
    /** What every controller keeps a copy of is stored under this prefix. */
    public static final String ROOT = "lr/";
    /** One key a job that is live, or has ended lately. */
    public static final String JOBS = ROOT + "job/";

    public static final String LEADER = ROOT + "leader";
    /** Who led last, for as long as no other follows. */
    public static final String LEADER_LAST = LEADER + "-last";

    private Keys() {}
}
