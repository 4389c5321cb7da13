package org.landingridge.controller.api;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Shares the write rate among the teams while the state service refuses submissions over its rate limit. Otherwise one team
 * with thousands of submissions would use up the whole rate and leave nothing for the few submissions of the others. The rate
 * is shared by max-min fairness: each team is entitled to an even share, and the part that a team does not use goes to teams
 * that submit more. Without refusals nothing is limited.
 */
final class FairQueue {
    private static final long SLOT_MS = 1_000;
    /** Weight of the newest second in the moving average of a team's submission rate. */
    private static final double NEWEST = 0.3;
    /** A team whose average rate, in submissions a second, is below this is removed. */
    private static final double QUIET = 0.02;
    /** Share of the estimated rate that is given to teams; the rest is reserved, as refused writes also use up rate. */
    private static final double USED = 0.95;
    /** In each second without a refusal, the estimated rate is multiplied by this factor and then increased by the step. */
    private static final double GROWTH = 1.02;

    private static final double STEP = 0.2;
    /** Time without a refusal after which the limit is lifted, in milliseconds. */
    private static final long OPEN_MS = 10_000;

    private static final class Team {
        /** Submissions in the current second, admitted or not. */
        private int asked;
        /** Moving average of the submissions a second. */
        private double usual;
        /** Submissions that the team may make now. */
        private double tokens;
    }

    private final LongSupplier clock;
    private final Map<String, Team> teams = new TreeMap<>();
    /** Start of the current counting second. */
    private long since;

    private long filledAt;
    private int admitted;
    private int refused;
    private long refusedAt = Long.MIN_VALUE / 2;
    /** Estimated submissions a second that the state service accepts; {@code MAX_VALUE} while nothing is limited. */
    private double rate = Double.MAX_VALUE;
    /** Submissions a second that each team may make, so that together the teams use the estimated rate. */
    private double level = Double.MAX_VALUE;

    /** @param clock monotonic clock, in milliseconds */
    FairQueue(LongSupplier clock) {
        this.clock = clock;
        since = clock.getAsLong();
        filledAt = since;
    }

    /** Records that the write of an admitted submission was refused for lack of rate. */
    void refused() {
        refused++;
        refusedAt = clock.getAsLong();
    }

    /** Counts a submission of the team and returns true if it may be written now. */
    boolean admit(String teamName) {
        refill();
        Team team = teams.get(teamName);
        if (team == null) {
            team = new Team();
            team.tokens = maxTokens();
            teams.put(teamName, team);
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
            double addedTokens = level * (now - filledAt) / 1_000.0;
            teams.values().forEach(team -> team.tokens = Math.min(maxTokens(), team.tokens + addedTokens));
        }
        filledAt = now;
        if (now - since >= SLOT_MS) {
            endSecond((now - since) / (double) SLOT_MS);
            since = now;
        }
    }

    /** Updates the estimated rate and the teams' share from the last second, or a longer time if there were no submissions. */
    private void endSecond(double seconds) {
        long now = clock.getAsLong();
        double throughput = (admitted - refused) / seconds;
        if (refused > 0) {
            rate = Math.max(1, rate == Double.MAX_VALUE ? throughput : Math.min(rate, throughput));
        } else if (now - refusedAt > OPEN_MS) {
            rate = Double.MAX_VALUE;
        } else if (rate < Double.MAX_VALUE) {
            rate = rate * GROWTH + STEP;
        }
        admitted = 0;
        refused = 0;
        double oldWeight = Math.pow(1 - NEWEST, seconds);
        teams.values().forEach(team -> {
            team.usual = team.usual * oldWeight + team.asked / seconds * (1 - oldWeight);
            team.asked = 0;
        });
        teams.values().removeIf(team -> team.usual < QUIET);
        level = level();
    }

    /** Computes the max-min fair share: the part of a team's even share that it does not use is divided among the others. */
    private double level() {
        if (rate == Double.MAX_VALUE) {
            return Double.MAX_VALUE;
        }
        double remainingRate = rate * USED;
        int remainingTeams = teams.size();
        for (double averageRate :
                teams.values().stream().map(team -> team.usual).sorted().toList()) {
            if (averageRate * remainingTeams >= remainingRate) {
                return remainingRate / remainingTeams;
            }
            remainingRate -= averageRate;
            remainingTeams--;
        }
        // The teams' average rates fit together: every submission gets through.
        return Math.max(1, rate);
    }
}
