package org.landingridge.controller.api;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Whose submissions are written while the state service refuses changes for want of rate. One team's flood would take every
 * change there is, and the others' few submissions would find as little room as its thousands. So what gets through is shared
 * out by team: each may have an even share, and what a team does not ask for is lent to those that ask for more. Without
 * refusals nobody is held to anything.
 */
final class FairQueue {
    private static final long SLOT_MS = 1_000;
    /** Weight of the newest second in what a team usually asks for. */
    private static final double NEWEST = 0.3;
    /** A team that asks for less a second than this has gone quiet, and is forgotten. */
    private static final double QUIET = 0.02;
    /** Of what gets through a little is left free: what is refused costs changes too, and anybody may be refused. */
    private static final double USED = 0.95;

    private static final double GROWTH = 1.02;
    private static final double STEP = 0.2;
    /** So long without a refusal nobody is held to anything any more. */
    private static final long OPEN_MS = 10_000;

    private static final class Team {
        private int asked;
        private double usual;
        /** Submissions that it may make now. */
        private double turns;
    }

    private final LongSupplier clock;
    private final Map<String, Team> teams = new TreeMap<>();
    private long since;
    private long filledAt;
    private int admitted;
    private int refused;
    private long refusedAt = Long.MIN_VALUE / 2;
    /** Submissions a second that get through, by what did lately. */
    private double rate = Double.MAX_VALUE;
    /** What each team may submit a second, so that all that gets through is taken. */
    private double level = Double.MAX_VALUE;

    /** @param clock milliseconds of the steady clock */
    FairQueue(LongSupplier clock) {
        this.clock = clock;
        since = clock.getAsLong();
        filledAt = since;
    }

    /** A submission that was let in found no rate left. */
    void refused() {
        refused++;
        refusedAt = clock.getAsLong();
    }

    /** True if a submission of this team may be written now. */
    boolean admit(String name) {
        look();
        Team team = teams.get(name);
        if (team == null) {
            team = new Team();
            team.turns = most();
            teams.put(name, team);
        }
        team.asked++;
        boolean free = rate == Double.MAX_VALUE || teams.size() == 1;
        if (!free && team.turns < 1) {
            return false;
        }
        team.turns = Math.max(0, team.turns - 1);
        admitted++;
        return true;
    }

    private double most() {
        return Math.max(1, level);
    }

    private void look() {
        long now = clock.getAsLong();
        if (rate < Double.MAX_VALUE) {
            double more = level * (now - filledAt) / 1_000.0;
            teams.values().forEach(t -> t.turns = Math.min(most(), t.turns + more));
        }
        filledAt = now;
        if (now - since >= SLOT_MS) {
            second((now - since) / (double) SLOT_MS);
            since = now;
        }
    }

    /** Looks back at the last second, or longer where nobody has asked. */
    private void second(double seconds) {
        long now = clock.getAsLong();
        double through = (admitted - refused) / seconds;
        if (refused > 0) {
            rate = Math.max(1, rate == Double.MAX_VALUE ? through : Math.min(rate, through));
        } else if (now - refusedAt > OPEN_MS) {
            rate = Double.MAX_VALUE;
        } else if (rate < Double.MAX_VALUE) {
            rate = rate * GROWTH + STEP;
        }
        admitted = 0;
        refused = 0;
        double kept = Math.pow(1 - NEWEST, seconds);
        teams.values().forEach(t -> {
            t.usual = t.usual * kept + t.asked / seconds * (1 - kept);
            t.asked = 0;
        });
        teams.values().removeIf(t -> t.usual < QUIET);
        level = level();
    }

    /** Even shares; what a team does not ask for is dealt out to the others. */
    private double level() {
        if (rate == Double.MAX_VALUE) {
            return Double.MAX_VALUE;
        }
        double left = rate * USED;
        int sharing = teams.size();
        for (double usual : teams.values().stream().map(t -> t.usual).sorted().toList()) {
            if (usual * sharing >= left) {
                return left / sharing;
            }
            left -= usual;
            sharing--;
        }
        // All that is asked for gets through.
        return Math.max(1, rate);
    }
}
