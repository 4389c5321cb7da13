package org.landingridge.controller.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against one team's flood of submissions crowding out the others, with a state service that limits its write rate. */
class FairQueueTest {
    private long now = 1_000;
    private final FairQueue teamLimiter = new FairQueue(() -> now);
    private int writesInSecond;
    private long currentSecond;
    private final Map<String, Integer> submittedByTeam = new LinkedHashMap<>();
    private final Map<String, Integer> writtenByTeam = new LinkedHashMap<>();

    private void submit(String team, int writesPerS) {
        submittedByTeam.merge(team, 1, Integer::sum);
        if (now / 1_000 != currentSecond) {
            currentSecond = now / 1_000;
            writesInSecond = 0;
        }
        if (teamLimiter.admit(team)) {
            if (writesInSecond < writesPerS) {
                writesInSecond++;
                writtenByTeam.merge(team, 1, Integer::sum);
            } else {
                teamLimiter.recordRefusal();
            }
        }
    }

    /** Simulates teams that submit at the given rates, in random order, for some seconds. */
    private void simulate(long seed, int seconds, int writesPerS, Map<String, Double> rateByTeam) {
        SplittableRandom random = new SplittableRandom(seed);
        submittedByTeam.clear();
        writtenByTeam.clear();
        for (int ms = 0; ms < seconds * 1_000; ms += 5, now += 5) {
            rateByTeam.forEach((team, rate) -> {
                for (double remaining = rate * 0.005; remaining > 0; remaining--) {
                    if (random.nextDouble() < remaining) {
                        submit(team, writesPerS);
                    }
                }
            });
        }
    }

    private double writtenShare(String team) {
        return writtenByTeam.getOrDefault(team, 0) / (double) submittedByTeam.get(team);
    }

    /** Reference model: even shares of the write rate; what a team does not need is divided among the others. */
    private static Map<String, Double> maxMinFairShares(Map<String, Double> rateByTeam, double writesPerS) {
        Map<String, Double> shareByTeam = new LinkedHashMap<>();
        Map<String, Double> remaining = new LinkedHashMap<>(rateByTeam);
        while (!remaining.isEmpty()) {
            double evenShare = writesPerS / remaining.size();
            var leastDemand = remaining.entrySet().stream()
                    .min(Map.Entry.comparingByValue())
                    .orElseThrow();
            double share = Math.min(evenShare, leastDemand.getValue());
            shareByTeam.put(leastDemand.getKey(), share);
            writesPerS -= share;
            remaining.remove(leastDemand.getKey());
        }
        return shareByTeam;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    @DisplayName(
            "a flood gets the rate that the other teams leave, and no more; their submissions are admitted at once")
    void floodOfOneTeamLeavesOthersTheirShare(long seed) {
        Map<String, Double> rateByTeam = new LinkedHashMap<>(Map.of("desk", 1.0, "edit", 0.5, "guests", 60.0));
        simulate(seed, 10, 10, rateByTeam);
        simulate(seed, 60, 10, rateByTeam);
        assertTrue(writtenShare("desk") > 0.8 && writtenShare("edit") > 0.8, writtenByTeam + " of " + submittedByTeam);
        double guestsPerS = writtenByTeam.get("guests") / 60.0;
        double fairPerS = maxMinFairShares(rateByTeam, 10).get("guests");
        assertTrue(guestsPerS > fairPerS * 0.75, guestsPerS + " a second of " + fairPerS);
    }

    @Test
    @DisplayName("two floods get even shares")
    void twoFloodsShareEvenly() {
        Map<String, Double> rateByTeam = new LinkedHashMap<>(Map.of("a", 30.0, "b", 90.0, "c", 0.5));
        simulate(9, 60, 12, rateByTeam);
        assertTrue(
                Math.abs(writtenByTeam.get("a") - writtenByTeam.get("b")) < 0.2 * writtenByTeam.get("a"),
                writtenByTeam.toString());
        assertTrue(writtenShare("c") > 0.9, writtenByTeam + " of " + submittedByTeam);
    }

    @Test
    @DisplayName("no team is limited without refusals or soon after the last one; a single team is never limited")
    void nothingIsLimitedWithoutRefusalsOrWithSingleTeam() {
        simulate(11, 30, 1_000, Map.of("a", 50.0, "b", 1.0));
        assertEquals(submittedByTeam, writtenByTeam);
        simulate(12, 10, 5, Map.of("a", 50.0, "b", 1.0));
        simulate(13, 12, 1_000, Map.of("b", 1.0));
        simulate(14, 10, 1_000, Map.of("a", 50.0, "b", 1.0));
        assertEquals(submittedByTeam, writtenByTeam);
        FairQueue singleTeam = new FairQueue(() -> now);
        for (int i = 0; i < 500; i++) {
            assertTrue(singleTeam.admit("a"));
            singleTeam.recordRefusal();
            now += 10;
        }
    }
}
