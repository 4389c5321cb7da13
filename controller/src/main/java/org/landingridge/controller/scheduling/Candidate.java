package org.landingridge.controller.scheduling;

import java.util.List;

/**
 * A node that can take the next task of a group. Candidates are ordered by score, lowest first, then by index.
 *
 * @param score       placement score or preemption cost; lower is better
 * @param index       position of the node in the searched list
 * @param preemptions tasks to stop on the node to make room; empty if the task already fits
 */
record Candidate(double score, int index, CandidateNode node, List<CandidateNode.RunningTask> preemptions)
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
