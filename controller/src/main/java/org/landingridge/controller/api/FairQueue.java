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
    private static final long COUNTING_WINDOW_MS = 1_000;
    /** Weight of the newest second in the moving average of a team's submission rate. */
    private static final double NEWEST_SECOND_WEIGHT = 0.3;
    /** A team whose average rate, in submissions a second, is below this is removed. */
    private static final double IDLE_TEAM_RATE = 0.02;
    /** Share of the estimated rate that is given to teams; the rest is reserved, as refused writes also use up rate. */
    private static final double DISTRIBUTED_SHARE = 0.95;
    /** In each second without a refusal, the estimated rate is multiplied by this factor and then increased by the step. */
    private static final double RATE_GROWTH_FACTOR = 1.02;

    private static final double RATE_GROWTH_STEP = 0.2;
    /** Time without a refusal after which the limit is lifted, in milliseconds. */
    private static final long LIMIT_LIFTED_AFTER_MS = 10_000;

    private static final class Team {
        /** Submissions in the current second, admitted or not. */
        private int submissionsInWindow;
        /** Moving average of the submissions a second. */
        private double averageRate;
        /** Submissions that the team may make now. */
        private double tokens;
    }

    private final LongSupplier clock;
    private final Map<String, Team> teams = new TreeMap<>();
    /** Start of the current counting second. */
    private long windowStart;

    private long refilledAt;
    private int admittedInWindow;
    private int refusedInWindow;
    private long lastRefusalAt = Long.MIN_VALUE / 2;
    /** Estimated submissions a second that the state service accepts; {@code MAX_VALUE} while nothing is limited. */
    private double estimatedRate = Double.MAX_VALUE;
    /** Submissions a second that each team may make, so that together the teams use the estimated rate. */
    private double fairShare = Double.MAX_VALUE;

    /** @param clock monotonic clock, in milliseconds */
    FairQueue(LongSupplier clock) {
        this.clock = clock;
        windowStart = clock.getAsLong();
        refilledAt = windowStart;
    }

    /** Records that the write of an admitted submission was refused for lack of rate. */
    void recordRefusal() {
        refusedInWindow++;
        lastRefusalAt = clock.getAsLong();
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
        team.submissionsInWindow++;
        boolean unlimited = estimatedRate == Double.MAX_VALUE || teams.size() == 1;
        if (!unlimited && team.tokens < 1) {
            return false;
        }
        team.tokens = Math.max(0, team.tokens - 1);
        admittedInWindow++;
        return true;
    }

    private double maxTokens() {
        return Math.max(1, fairShare);
    }

    private void refill() {
        long now = clock.getAsLong();
        if (estimatedRate < Double.MAX_VALUE) {
            double addedTokens = fairShare * (now - refilledAt) / 1_000.0;
            teams.values().forEach(team -> team.tokens = Math.min(maxTokens(), team.tokens + addedTokens));
        }
        refilledAt = now;
        if (now - windowStart >= COUNTING_WINDOW_MS) {
            endWindow((now - windowStart) / (double) COUNTING_WINDOW_MS);
            windowStart = now;
        }
    }

    /** Updates the estimated rate and the teams' share from the last second, or a longer time if there were no submissions. */
    private void endWindow(double seconds) {
        long now = clock.getAsLong();
        double throughput = (admittedInWindow - refusedInWindow) / seconds;
        if (refusedInWindow > 0) {
            estimatedRate =
                    Math.max(1, estimatedRate == Double.MAX_VALUE ? throughput : Math.min(estimatedRate, throughput));
        } else if (now - lastRefusalAt > LIMIT_LIFTED_AFTER_MS) {
            estimatedRate = Double.MAX_VALUE;
        } else if (estimatedRate < Double.MAX_VALUE) {
            estimatedRate = estimatedRate * RATE_GROWTH_FACTOR + RATE_GROWTH_STEP;
        }
        admittedInWindow = 0;
        refusedInWindow = 0;
        double oldWeight = Math.pow(1 - NEWEST_SECOND_WEIGHT, seconds);
        teams.values().forEach(team -> {
            team.averageRate = team.averageRate * oldWeight + team.submissionsInWindow / seconds * (1 - oldWeight);
            team.submissionsInWindow = 0;
        });
        teams.values().removeIf(team -> team.averageRate < IDLE_TEAM_RATE);
        fairShare = computeFairShare();
    }

    /** Computes the max-min fair share: the part of a team's even share that it does not use is divided among the others. */
    private double computeFairShare() {
        if (estimatedRate == Double.MAX_VALUE) {
            return Double.MAX_VALUE;
        }
        double remainingRate = estimatedRate * DISTRIBUTED_SHARE;
        int remainingTeams = teams.size();
        for (double averageRate :
                teams.values().stream().map(team -> team.averageRate).sorted().toList()) {
            if (averageRate * remainingTeams >= remainingRate) {
                return remainingRate / remainingTeams;
            }
            remainingRate -= averageRate;
            remainingTeams--;
        }
        // The teams' average rates fit together: every submission gets through.
        return Math.max(1, estimatedRate);
    }
}
