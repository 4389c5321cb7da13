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
    private final FairQueue turns = new FairQueue(() -> now);
    private int takenInSecond;
    private long second;
    private final Map<String, Integer> asked = new LinkedHashMap<>();
    private final Map<String, Integer> taken = new LinkedHashMap<>();

    private void ask(String team, int writesPerS) {
        asked.merge(team, 1, Integer::sum);
        if (now / 1_000 != second) {
            second = now / 1_000;
            takenInSecond = 0;
        }
        if (turns.admit(team)) {
            if (takenInSecond < writesPerS) {
                takenInSecond++;
                taken.merge(team, 1, Integer::sum);
            } else {
                turns.refused();
            }
        }
    }

    /** Simulates teams that submit at the given rates, in random order, for some seconds. */
    private void play(long seed, int seconds, int writesPerS, Map<String, Double> rateByTeam) {
        SplittableRandom random = new SplittableRandom(seed);
        asked.clear();
        taken.clear();
        for (int ms = 0; ms < seconds * 1_000; ms += 5, now += 5) {
            rateByTeam.forEach((team, rate) -> {
                for (double remaining = rate * 0.005; remaining > 0; remaining--) {
                    if (random.nextDouble() < remaining) {
                        ask(team, writesPerS);
                    }
                }
            });
        }
    }

    private double share(String team) {
        return taken.getOrDefault(team, 0) / (double) asked.get(team);
    }

    /** Reference model: even shares of the write rate; what a team does not need is divided among the others. */
    private static Map<String, Double> model(Map<String, Double> rateByTeam, double writesPerS) {
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
    @DisplayName("a flood takes what the others leave, and no more; they find room at once")
    void aFlood(long seed) {
        Map<String, Double> rateByTeam = new LinkedHashMap<>(Map.of("desk", 1.0, "edit", 0.5, "guests", 60.0));
        play(seed, 10, 10, rateByTeam);
        play(seed, 60, 10, rateByTeam);
        assertTrue(share("desk") > 0.8 && share("edit") > 0.8, taken + " of " + asked);
        double guestsPerS = taken.get("guests") / 60.0;
        double fairPerS = model(rateByTeam, 10).get("guests");
        assertTrue(guestsPerS > fairPerS * 0.75, guestsPerS + " a second of " + fairPerS);
    }

    @Test
    @DisplayName("two floods share evenly")
    void twoFloods() {
        Map<String, Double> rateByTeam = new LinkedHashMap<>(Map.of("a", 30.0, "b", 90.0, "c", 0.5));
        play(9, 60, 12, rateByTeam);
        assertTrue(Math.abs(taken.get("a") - taken.get("b")) < 0.2 * taken.get("a"), taken.toString());
        assertTrue(share("c") > 0.9, taken + " of " + asked);
    }

    @Test
    @DisplayName("without refusals, and soon after them, nobody is held to anything; one team alone never is")
    void open() {
        play(11, 30, 1_000, Map.of("a", 50.0, "b", 1.0));
        assertEquals(asked, taken);
        play(12, 10, 5, Map.of("a", 50.0, "b", 1.0));
        play(13, 12, 1_000, Map.of("b", 1.0));
        play(14, 10, 1_000, Map.of("a", 50.0, "b", 1.0));
        assertEquals(asked, taken);
        FairQueue singleTeam = new FairQueue(() -> now);
        for (int i = 0; i < 500; i++) {
            assertTrue(singleTeam.admit("a"));
            singleTeam.refused();
            now += 10;
        }
    }
}
