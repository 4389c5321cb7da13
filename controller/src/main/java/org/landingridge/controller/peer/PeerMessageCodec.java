package org.landingridge.controller.peer;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.jobs.CancellationLog;

/**
 * Wire format of the messages between controllers. A record is written with {@link DataOutputStream}: the type as one byte,
 * the sender's host, then the fields. Fields added by later versions come last, and a record that ends before them is read
 * as one of an earlier version.
 */
final class PeerMessageCodec {
    private PeerMessageCodec() {}

    static byte[] encode(PeerMessage message) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(buffer);
        try {
            out.writeByte(message.type().code());
            out.writeUTF(message.sender());
            writeFields(out, message);
        } catch (IOException e) {
            throw new UncheckedIOException("writing a peer record to a byte array failed", e);
        }
        return buffer.toByteArray();
    }

    private static void writeFields(DataOutputStream out, PeerMessage message) throws IOException {
        switch (message.type()) {
            case ASK -> write(out, (PeerMessage.PromiseRequest) message);
            case GRANT -> write(out, (PeerMessage.Promise) message);
            case REFUSE -> write(out, (PeerMessage.PromiseRefusal) message);
            case HAND_OVER -> out.writeLong(((PeerMessage.HandOver) message).token());
            case RUNNING_COUNTS -> write(out, (PeerMessage.RunningCounts) message);
            case FORWARDED_HEARTBEAT -> write(out, (PeerMessage.ForwardedHeartbeat) message);
            case ANSWER -> write(out, (PeerMessage.HeartbeatAnswer) message);
        }
    }

    private static void write(DataOutputStream out, PeerMessage.PromiseRequest ask) throws IOException {
        out.writeLong(ask.token());
        out.writeLong(ask.number());
        out.writeLong(ask.knownRevision());
        out.writeLong(ask.incarnation());
        out.writeLong(ask.position());
    }

    private static void write(DataOutputStream out, PeerMessage.Promise grant) throws IOException {
        out.writeLong(grant.token());
        out.writeLong(grant.number());
        out.writeBoolean(grant.report() != null);
        if (grant.report() != null) {
            write(out, grant.report());
        }
    }

    private static void write(DataOutputStream out, PeerMessage.CancellationReport report) throws IOException {
        out.writeLong(report.incarnation());
        out.writeLong(report.fromPosition());
        out.writeLong(report.toPosition());
        out.writeBoolean(report.isComplete());
        out.writeInt(report.cancellations().size());
        for (CancellationLog.Cancellation cancellation : report.cancellations()) {
            out.writeLong(cancellation.revision());
            out.writeUTF(cancellation.id());
        }
    }

    private static void write(DataOutputStream out, PeerMessage.PromiseRefusal refusal) throws IOException {
        out.writeLong(refusal.token());
        out.writeLong(refusal.number());
    }

    private static void write(DataOutputStream out, PeerMessage.RunningCounts running) throws IOException {
        out.writeInt(running.counts().size());
        for (Map.Entry<String, Integer> count : running.counts().entrySet()) {
            out.writeUTF(count.getKey());
            out.writeInt(count.getValue());
        }
        out.writeBoolean(running.writesStarved());
        if (running.parts() > 1) {
            out.writeInt(running.part());
            out.writeInt(running.parts());
        }
    }

    private static void write(DataOutputStream out, PeerMessage.ForwardedHeartbeat heartbeat) throws IOException {
        out.writeLong(heartbeat.number());
        writeBody(out, heartbeat.body());
    }

    private static void write(DataOutputStream out, PeerMessage.HeartbeatAnswer answer) throws IOException {
        out.writeLong(answer.number());
        out.writeInt(answer.status());
        writeBody(out, answer.body());
    }

    private static void writeBody(DataOutputStream out, byte[] body) throws IOException {
        out.writeInt(body.length);
        out.write(body);
    }

    /** Decodes one record; throws an IOException if it is malformed. */
    static PeerMessage decode(DataInputStream in) throws IOException {
        int code = in.readUnsignedByte();
        String host = in.readUTF();
        return switch (PeerRecordType.forCode(code)) {
            case ASK -> readAsk(host, in);
            case GRANT -> readGrant(host, in);
            case REFUSE -> new PeerMessage.PromiseRefusal(host, in.readLong(), in.readLong());
            case HAND_OVER -> new PeerMessage.HandOver(host, in.readLong());
            case RUNNING_COUNTS -> readRunningCounts(host, in);
            case FORWARDED_HEARTBEAT -> new PeerMessage.ForwardedHeartbeat(host, in.readLong(), readBody(in));
            case ANSWER -> new PeerMessage.HeartbeatAnswer(host, in.readLong(), in.readInt(), readBody(in));
        };
    }

    /** In requests of earlier versions, which do not ask for cancellations, the last three fields are missing. */
    private static PeerMessage readAsk(String host, DataInputStream in) throws IOException {
        return new PeerMessage.PromiseRequest(
                host,
                in.readLong(),
                in.readLong(),
                in.available() > 0 ? in.readLong() : Long.MAX_VALUE,
                in.available() > 0 ? in.readLong() : 0,
                in.available() > 0 ? in.readLong() : 0);
    }

    /** In responses of earlier versions the report is missing. */
    private static PeerMessage readGrant(String host, DataInputStream in) throws IOException {
        long token = in.readLong();
        long number = in.readLong();
        boolean hasReport = in.available() > 0 && in.readBoolean();
        return new PeerMessage.Promise(host, token, number, hasReport ? readReport(in) : null);
    }

    private static PeerMessage.CancellationReport readReport(DataInputStream in) throws IOException {
        long incarnation = in.readLong();
        long from = in.readLong();
        long to = in.readLong();
        boolean complete = in.readBoolean();
        int size = in.readInt();
        if (size < 0 || size > PeerMessage.MAX_BYTES) {
            throw new IOException(
                    "cancellation report: count " + size + " is not between 0 and " + PeerMessage.MAX_BYTES);
        }
        List<CancellationLog.Cancellation> cancellations = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            cancellations.add(new CancellationLog.Cancellation(in.readLong(), in.readUTF()));
        }
        return new PeerMessage.CancellationReport(incarnation, from, to, complete, cancellations);
    }

    /** In messages of versions before 0.3 the flag is missing; the numbers of the part are missing in a message of one part. */
    private static PeerMessage readRunningCounts(String host, DataInputStream in) throws IOException {
        int size = in.readInt();
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            counts.put(in.readUTF(), in.readInt());
        }
        boolean writesStarved = in.available() > 0 && in.readBoolean();
        int part = in.available() > 0 ? in.readInt() : 0;
        int parts = in.available() > 0 ? in.readInt() : 1;
        if (part < 0 || part >= parts) {
            throw new IOException("running counts: part " + part + " is not between 0 and " + (parts - 1));
        }
        return new PeerMessage.RunningCounts(host, counts, writesStarved, part, parts);
    }

    private static byte[] readBody(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > PeerMessage.MAX_BYTES) {
            throw new IOException(
                    "peer record: body length " + length + " is not between 0 and " + PeerMessage.MAX_BYTES);
        }
        return in.readNBytes(length);
    }
}
