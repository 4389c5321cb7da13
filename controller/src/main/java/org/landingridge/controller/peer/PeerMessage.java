package org.landingridge.controller.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.jobs.CancellationLog;

/** A message between controllers; {@link PeerMessageCodec} defines its wire format. */
public sealed interface PeerMessage {
    /** Size limit of a record, in bytes. */
    int MAX_BYTES = 256 * 1024;

    /**
     * A leader's request for a promise not to claim the leadership for a bounded time, and for the cancellations that the
     * receiver knows.
     *
     * @param token         the leader's fencing token
     * @param number        request number, returned in the response
     * @param knownRevision revision up to which the leader knows the state
     * @param incarnation   the receiver's incarnation as last known to the leader; 0 if unknown
     * @param position      position up to which the leader knows the cancellation log of that incarnation
     */
    record PromiseRequest(String sender, long token, long number, long knownRevision, long incarnation, long position)
            implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.ASK;
        }
    }

    /**
     * The requested promise. The leader counts its duration from the time at which it sent the request.
     *
     * @param token  fencing token of the request
     * @param number number of the request
     * @param report the cancellations that the sender knows; null if it cannot report them or runs an earlier version
     */
    record Promise(String sender, long token, long number, CancellationReport report) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.GRANT;
        }
    }

    /**
     * A section of the cancellation log of a controller's current incarnation.
     *
     * @param incarnation   the incarnation that keeps the log
     * @param fromPosition          log position after which the section starts
     * @param toPosition            log position at which the section ends
     * @param isComplete      true if the log has no entries after the section
     * @param cancellations the entries, in the order of the log
     */
    record CancellationReport(
            long incarnation,
            long fromPosition,
            long toPosition,
            boolean isComplete,
            List<CancellationLog.Cancellation> cancellations) {}

    /** Refusal of a promise: the sender can use the state service itself, or leads. */
    record PromiseRefusal(String sender, long token, long number) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.REFUSE;
        }
    }

    /** Announces that the leader with this fencing token has ended its term: its key may be replaced. */
    record HandOver(String sender, long token) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.HAND_OVER;
        }
    }

    /**
     * The leader's message of every second, by which the receivers also know that it is reachable. Counts that do not fit into
     * one message are sent in several parts, one after the other.
     *
     * @param counts        number of running tasks by job id, for display
     * @param writesStarved true if the state service limits the leader's writes and documents still wait to be written
     * @param part          index of this part, from 0
     * @param parts         number of parts
     */
    record RunningCounts(String sender, Map<String, Integer> counts, boolean writesStarved, int part, int parts)
            implements PeerMessage {
        /** Creates a message with all counts. */
        public RunningCounts(String sender, Map<String, Integer> counts, boolean writesStarved) {
            this(sender, counts, writesStarved, 0, 1);
        }

        @Override
        public PeerRecordType type() {
            return PeerRecordType.RUNNING_COUNTS;
        }
    }

    /**
     * A worker's heartbeat, forwarded to the leader by another controller.
     *
     * @param number identifies the heartbeat among those of the sender
     * @param body   body of the worker's HTTP request
     */
    record ForwardedHeartbeat(String sender, long number, byte[] body) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.FORWARDED_HEARTBEAT;
        }
    }

    /**
     * The leader's answer to a forwarded heartbeat.
     *
     * @param number number of the heartbeat
     * @param status HTTP status for the worker
     * @param body   body of the HTTP response for the worker
     */
    record HeartbeatAnswer(String sender, long number, int status, byte[] body) implements PeerMessage {
        @Override
        public PeerRecordType type() {
            return PeerRecordType.ANSWER;
        }
    }

    /** Returns the host of the controller that sent the message. */
    String sender();

    /** Returns the type of the record on the wire. */
    PeerRecordType type();

    /** Returns the record on the wire. */
    default byte[] encode() {
        return PeerMessageCodec.encode(this);
    }

    /**
     * Decodes one record.
     *
     * @throws IOException if the record is malformed
     */
    static PeerMessage decode(DataInputStream in) throws IOException {
        return PeerMessageCodec.decode(in);
    }
}
