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

    private void ask(String team, int most) {
        asked.merge(team, 1, Integer::sum);
        if (now / 1_000 != second) {
            second = now / 1_000;
            takenInSecond = 0;
        }
        if (turns.admit(team)) {
            if (takenInSecond < most) {
                takenInSecond++;
                taken.merge(team, 1, Integer::sum);
            } else {
                turns.refused();
            }
        }
    }

    /** Simulates teams that submit at the given rates, in random order, for some seconds. */
    private void play(long seed, int seconds, int most, Map<String, Double> perS) {
        SplittableRandom random = new SplittableRandom(seed);
        asked.clear();
        taken.clear();
        for (int ms = 0; ms < seconds * 1_000; ms += 5, now += 5) {
            perS.forEach((team, rate) -> {
                for (double left = rate * 0.005; left > 0; left--) {
                    if (random.nextDouble() < left) {
                        ask(team, most);
                    }
                }
            });
        }
    }

    private double share(String team) {
        return taken.getOrDefault(team, 0) / (double) asked.get(team);
    }

    /** Reference model: even shares of the write rate; what a team does not need is divided among the others. */
    private static Map<String, Double> model(Map<String, Double> perS, double most) {
        Map<String, Double> given = new LinkedHashMap<>();
        Map<String, Double> left = new LinkedHashMap<>(perS);
        while (!left.isEmpty()) {
            double even = most / left.size();
            var least =
                    left.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow();
            double gets = Math.min(even, least.getValue());
            given.put(least.getKey(), gets);
            most -= gets;
            left.remove(least.getKey());
        }
        return given;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    @DisplayName("a flood takes what the others leave, and no more; they find room at once")
    void aFlood(long seed) {
        Map<String, Double> perS = new LinkedHashMap<>(Map.of("desk", 1.0, "edit", 0.5, "guests", 60.0));
        play(seed, 10, 10, perS);
        play(seed, 60, 10, perS);
        assertTrue(share("desk") > 0.8 && share("edit") > 0.8, taken + " of " + asked);
        double guests = taken.get("guests") / 60.0;
        double ideal = model(perS, 10).get("guests");
        assertTrue(guests > ideal * 0.75, guests + " a second of " + ideal);
    }

    @Test
    @DisplayName("two floods share evenly")
    void twoFloods() {
        Map<String, Double> perS = new LinkedHashMap<>(Map.of("a", 30.0, "b", 90.0, "c", 0.5));
        play(9, 60, 12, perS);
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
        FairQueue alone = new FairQueue(() -> now);
        for (int i = 0; i < 500; i++) {
            assertTrue(alone.admit("a"));
            alone.refused();
            now += 10;
        }
    }
}
