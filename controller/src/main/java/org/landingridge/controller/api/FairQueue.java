package org.landingridge.controller.api;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Whose submissions are written while the state service refuses changes for want of rate. One team's thousands of submissions
 * would take every change there is, and leave no room for the others' few. So what gets through is shared by max-min fairness:
 * each team may have an even share, and what a team does not ask for is lent to those that ask for more. Without refusals
 * nothing is limited.
 */
final class FairQueue {
    private static final long SLOT_MS = 1_000;
    /** Weight of the newest second in what a team usually asks for. */
    private static final double NEWEST = 0.3;
    /** A team that asks for less a second than this is forgotten. */
    private static final double QUIET = 0.02;
    /** Of what gets through a little is left free: refused submissions cost changes too. */
    private static final double USED = 0.95;
    /** The rate grows by this factor, and by the step, in each second without a refusal. */
    private static final double GROWTH = 1.02;

    private static final double STEP = 0.2;
    /** After so long without a refusal nothing is limited any more. */
    private static final long OPEN_MS = 10_000;

    private static final class Team {
        /** Submissions in this second. */
        private int asked;
        /** Submissions a second, averaged. */
        private double usual;
        /** Submissions that it may make now. */
        private double tokens;
    }

    private final LongSupplier clock;
    private final Map<String, Team> teams = new TreeMap<>();
    /** Start of the second that is being counted. */
    private long since;

    private long filledAt;
    private int admitted;
    private int refused;
    private long refusedAt = Long.MIN_VALUE / 2;
    /** Submissions a second that get through, by what did lately. */
    private double rate = Double.MAX_VALUE;
    /** What each team may submit a second, so that all that gets through is used. */
    private double level = Double.MAX_VALUE;

    /** @param clock milliseconds of the steady clock */
    FairQueue(LongSupplier clock) {
        this.clock = clock;
        since = clock.getAsLong();
        filledAt = since;
    }

    /** An admitted submission found no rate left. */
    void refused() {
        refused++;
        refusedAt = clock.getAsLong();
    }

    /** True if a submission of this team may be written now. */
    boolean admit(String name) {
        refill();
        Team team = teams.get(name);
        if (team == null) {
            team = new Team();
            team.tokens = maxTokens();
            teams.put(name, team);
        }
        team.asked++;
        boolean unlimited = rate == Double.MAX_VALUE || teams.size() == 1;
        if (!unlimited && team.tokens < 1) {
            return false;
        }
        team.tokens = Math.max(0, team.tokens - 1);
        admitted++;
        return true;
    }

    private double maxTokens() {
        return Math.max(1, level);
    }

    private void refill() {
        long now = clock.getAsLong();
        if (rate < Double.MAX_VALUE) {
            double refilled = level * (now - filledAt) / 1_000.0;
            teams.values().forEach(team -> team.tokens = Math.min(maxTokens(), team.tokens + refilled));
        }
        filledAt = now;
        if (now - since >= SLOT_MS) {
            endSecond((now - since) / (double) SLOT_MS);
            since = now;
        }
    }

    /** Adjusts rate and level by what happened in the last second, or longer where nobody has asked. */
    private void endSecond(double seconds) {
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
        teams.values().forEach(team -> {
            team.usual = team.usual * kept + team.asked / seconds * (1 - kept);
            team.asked = 0;
        });
        teams.values().removeIf(team -> team.usual < QUIET);
        level = level();
    }

    /** Even shares; what a team does not ask for is shared among the others. */
    private double level() {
        if (rate == Double.MAX_VALUE) {
            return Double.MAX_VALUE;
        }
        double left = rate * USED;
        int sharing = teams.size();
        for (double usual :
                teams.values().stream().map(team -> team.usual).sorted().toList()) {
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
