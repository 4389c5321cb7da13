package org.landingridge.controller.scheduling;

import java.util.List;

/**
 * A node for the next task of a group. The lowest score goes first, then the first in the input.
 *
 * @param index      place of the node in the list that was searched
 * @param preemptions what has to be stopped there to make room; empty where the task fits already
 */
record Candidate(double score, int index, CandidateNode node, List<CandidateNode.Running> preemptions)
        implements Comparable<Candidate> {
    Candidate(double score, int index, CandidateNode node) {
        this(score, index, node, List.of());
    }

    @Override
    public int compareTo(Candidate other) {
        int byScore = Double.compare(score, other.score);
        return byScore != 0 ? byScore : Integer.compare(index, other.index);
    }
}
