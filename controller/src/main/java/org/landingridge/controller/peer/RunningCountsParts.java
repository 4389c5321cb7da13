package org.landingridge.controller.peer;

import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Splits the leader's counts of running tasks into messages that respect the size limit, and joins those that arrive. */
public final class RunningCountsParts {
    /** Counts in one message: with job identifiers of 64 characters they take four fifths of the largest message. */
    private static final int MAX_COUNTS = 3_000;

    private final Map<String, Integer> joinedCounts = new HashMap<>();
    private int nextPart;

    /** Returns the messages that carry these counts, in the order in which they are to be sent; at least one. */
    public static List<PeerMessage.RunningCounts> split(
            String sender, Map<String, Integer> counts, boolean writesStarved) {
        if (counts.size() <= MAX_COUNTS) {
            return List.of(new PeerMessage.RunningCounts(sender, counts, writesStarved));
        }
        List<List<String>> jobIdsByPart = Lists.partition(List.copyOf(counts.keySet()), MAX_COUNTS);
        List<PeerMessage.RunningCounts> messages = new ArrayList<>();
        for (List<String> jobIds : jobIdsByPart) {
            Map<String, Integer> countsOfPart = new LinkedHashMap<>();
            jobIds.forEach(id -> countsOfPart.put(id, counts.get(id)));
            messages.add(new PeerMessage.RunningCounts(
                    sender, countsOfPart, writesStarved, messages.size(), jobIdsByPart.size()));
        }
        return messages;
    }

    /** Adds a message; returns all counts with the last part, if none is missing. Those of the next second begin anew. */
    public Optional<Map<String, Integer>> add(PeerMessage.RunningCounts message) {
        if (message.part() == 0) {
            joinedCounts.clear();
            nextPart = 0;
        }
        if (message.part() != nextPart) {
            return Optional.empty();
        }
        joinedCounts.putAll(message.counts());
        nextPart++;
        return nextPart == message.parts() ? Optional.of(joinedCounts) : Optional.empty();
    }
}
