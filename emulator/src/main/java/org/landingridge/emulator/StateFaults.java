package org.landingridge.emulator;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The faults of the emulated state service that are switched on. */
final class StateFaults {
    private static final int EARLIEST_LATE_MS = 2_000;
    private static final int LATEST_MS = 12_000;

    private boolean outage;
    private final Set<String> refused = new HashSet<>();
    private final Set<String> unanswered = new HashSet<>();
    private final Set<String> ignoredGuards = new HashSet<>();
    /** Share of transactions that get no answer. */
    private double lostShare;
    /** Whether these are carried out at once, or later, after newer ones. */
    private boolean carriedOutAtOnce;

    private RandomGenerator random;

    boolean outage() {
        return outage;
    }

    void outage(boolean on) {
        outage = on;
    }

    /** Returns false where the client was not refused before. */
    boolean refuse(String client, boolean on) {
        return on ? refused.add(client) : refused.remove(client);
    }

    boolean refuses(String client) {
        return refused.contains(client);
    }

    void withholdWatches(String client) {
        unanswered.add(client);
    }

    void answerWatches() {
        unanswered.clear();
    }

    boolean withholdsWatches(String client) {
        return unanswered.contains(client);
    }

    void ignoreGuards(String prefix) {
        ignoredGuards.add(prefix);
    }

    boolean ignoresGuard(String key) {
        return ignoredGuards.stream().anyMatch(key::startsWith);
    }

    void loseAnswers(double share, boolean atOnce, RandomGenerator chance) {
        lostShare = share;
        carriedOutAtOnce = atOnce;
        random = chance;
    }

    /** After how many milliseconds a transaction whose answer gets lost is carried out; empty if it is answered. */
    OptionalLong lostAnswer() {
        if (lostShare <= 0 || random.nextDouble() >= lostShare) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(carriedOutAtOnce ? 0 : EARLIEST_LATE_MS + random.nextInt(LATEST_MS - EARLIEST_LATE_MS));
    }
}
