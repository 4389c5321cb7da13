package org.landingridge.controller.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.jobs.CancellationLog;

/** What controllers send to each other; {@link PeerMessageCodec} has the form on the wire. */
public sealed interface PeerMessage {
    /** The largest record, in bytes. */
    int MAX_BYTES = 256 * 1024;

    /**
     * The leader asks for a promise not to take the lead for a bounded time, and for what the other knows to be cancelled.
     *
     * @param number        of this request
     * @param knownRevision the leader knows everything up to this revision
     * @param incarnation   of the asked controller, as the leader knows it; 0 if it does not
     * @param position      up to which the leader has the log of that incarnation
     */
    record Ask(String host, long token, long number, long knownRevision, long incarnation, long position)
            implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.ASK;
        }
    }

    /**
     * The promise is given, counted by the leader from when it sent the request of this number.
     *
     * @param report what the giver vouches for; null where it cannot, or is of a version that does not
     */
    record Grant(String host, long token, long number, CancellationReport report) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.GRANT;
        }
    }

    /**
     * What a controller's present incarnation knows to be cancelled.
     *
     * @param incarnation   which one
     * @param from          the position in its log after which this begins
     * @param to            the position that it reaches
     * @param complete      nothing is known there beyond it
     * @param cancellations in the order of the log
     */
    record CancellationReport(
            long incarnation, long from, long to, boolean complete, List<CancellationLog.Ending> cancellations) {}

    /** No promise: the refuser can use the state service itself, or leads. */
    record Refuse(String host, long token, long number) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.REFUSE;
        }
    }

    /** The leader of this token has stepped down for good: its key may be replaced. */
    record HandOver(String host, long token) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.HAND_OVER;
        }
    }

    /**
     * The leader sends it every second, which shows that it is reachable.
     *
     * @param counts        how many tasks run of each job, for display
     * @param writesStarved whether the leader gets fewer changes into the state service than it has to make
     */
    record RunningCounts(String host, Map<String, Integer> counts, boolean writesStarved) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.RUNNING_COUNTS;
        }
    }

    /** A worker's heartbeat, carried to the leader by a controller that the worker can reach. */
    record ForwardedHeartbeat(String host, long number, byte[] body) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.FORWARDED_HEARTBEAT;
        }
    }

    /** The leader's answer to a forwarded heartbeat; status 0 where it has none. */
    record Answer(String host, long number, int status, byte[] body) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.ANSWER;
        }
    }

    /** The controller that sent it. */
    String host();

    /** The type of its record on the wire. */
    PeerRecordType type();

    /** The record on the wire. */
    default byte[] encode() {
        return PeerMessageCodec.encode(this);
    }

    /**
     * Reads one record.
     *
     * @throws IOException if it is malformed
     */
    static PeerMessage decode(DataInputStream in) throws IOException {
        return PeerMessageCodec.decode(in);
    }
}
