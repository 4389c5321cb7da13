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

/** What controllers say to each other: records of DataOutputStream, a type byte first. */
public sealed interface PeerMessage {
    int MAX_BYTES = 256 * 1024;

    /**
     * The leader asks for a promise not to take the lead for a bounded time, and what the other knows to be cancelled.
     *
     * @param since    the leader knows everything up to this revision
     * @param life     of the asked controller, as the leader knows it; 0 if it does not
     * @param position up to which the leader has what that life came to know
     */
    record Ask(String host, long token, long number, long since, long life, long position) implements PeerMessage {}

    /**
     * The promise is given, counted by the leader from when it sent the request of this number.
     *
     * @param word what the giver vouches for; null where it cannot, or is of a version that does not
     */
    record Grant(String host, long token, long number, Word word) implements PeerMessage {}

    /**
     * What a controller's present life knows to be cancelled.
     *
     * @param life     which life
     * @param from     the position after which this begins
     * @param to       the position that it reaches
     * @param complete nothing is known there beyond it
     */
    record Word(long life, long from, long to, boolean complete, List<CancellationLog.Ending> endings) {}

    /** No promise: the refuser can use the state service itself, or leads. */
    record Refuse(String host, long token, long number) implements PeerMessage {}

    /** The leader of this token has stepped down for good: its key may be replaced. */
    record HandOver(String host, long token) implements PeerMessage {}

    /** How many tasks run of each job, for display; and whether the leader comes short of changes in the state service. */
    record Running(String host, Map<String, Integer> counts, boolean comesShort) implements PeerMessage {}

    /** A worker's report, carried to the leader by a controller that the worker can reach. */
    record Heartbeat(String host, long number, byte[] body) implements PeerMessage {}

    /** The leader's answer to a carried report; status 0 where it has none. */
    record Answer(String host, long number, int status, byte[] body) implements PeerMessage {}

    String host();

    default byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            if (this instanceof Ask m) {
                head(out, 1, m.host);
                out.writeLong(m.token);
                out.writeLong(m.number);
                out.writeLong(m.since);
                out.writeLong(m.life);
                out.writeLong(m.position);
            } else if (this instanceof Grant m) {
                head(out, 2, m.host);
                out.writeLong(m.token);
                out.writeLong(m.number);
                out.writeBoolean(m.word != null);
                if (m.word != null) {
                    write(out, m.word);
                }
            } else if (this instanceof Refuse m) {
                head(out, 3, m.host);
                out.writeLong(m.token);
                out.writeLong(m.number);
            } else if (this instanceof HandOver m) {
                head(out, 4, m.host);
                out.writeLong(m.token);
            } else if (this instanceof Running m) {
                head(out, 5, m.host);
                out.writeInt(m.counts.size());
                for (Map.Entry<String, Integer> e : m.counts.entrySet()) {
                    out.writeUTF(e.getKey());
                    out.writeInt(e.getValue());
                }
                out.writeBoolean(m.comesShort);
            } else if (this instanceof Heartbeat m) {
                head(out, 6, m.host);
                out.writeLong(m.number);
                out.writeInt(m.body.length);
                out.write(m.body);
            } else if (this instanceof Answer m) {
                head(out, 7, m.host);
                out.writeLong(m.number);
                out.writeInt(m.status);
                out.writeInt(m.body.length);
                out.write(m.body);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("a byte array takes everything", e);
        }
        return bytes.toByteArray();
    }

    private static void head(DataOutputStream out, int type, String host) throws IOException {
        out.writeByte(type);
        out.writeUTF(host);
    }

    /** Reads one record; anything malformed is an IOException. */
    static PeerMessage decode(DataInputStream in) throws IOException {
        int type = in.readUnsignedByte();
        String host = in.readUTF();
        return switch (type) {
            // A controller of an earlier version neither asks for the others' word nor gives its own.
            case 1 ->
                new Ask(
                        host,
                        in.readLong(),
                        in.readLong(),
                        in.available() > 0 ? in.readLong() : Long.MAX_VALUE,
                        in.available() > 0 ? in.readLong() : 0,
                        in.available() > 0 ? in.readLong() : 0);
            case 2 ->
                new Grant(host, in.readLong(), in.readLong(), in.available() > 0 && in.readBoolean() ? word(in) : null);
            case 3 -> new Refuse(host, in.readLong(), in.readLong());
            case 4 -> new HandOver(host, in.readLong());
            case 5 -> {
                int n = in.readInt();
                Map<String, Integer> counts = new LinkedHashMap<>();
                for (int i = 0; i < n; i++) {
                    counts.put(in.readUTF(), in.readInt());
                }
                // A leader of a version before 0.3 says nothing of changes.
                yield new Running(host, counts, in.available() > 0 && in.readBoolean());
            }
            case 6 -> new Heartbeat(host, in.readLong(), body(in));
            case 7 -> new Answer(host, in.readLong(), in.readInt(), body(in));
            default -> throw new IOException("unknown record type " + type);
        };
    }

    private static void write(DataOutputStream out, Word word) throws IOException {
        out.writeLong(word.life);
        out.writeLong(word.from);
        out.writeLong(word.to);
        out.writeBoolean(word.complete);
        out.writeInt(word.endings.size());
        for (CancellationLog.Ending e : word.endings) {
            out.writeLong(e.revision());
            out.writeUTF(e.id());
        }
    }

    private static Word word(DataInputStream in) throws IOException {
        long life = in.readLong();
        long from = in.readLong();
        long to = in.readLong();
        boolean complete = in.readBoolean();
        int n = in.readInt();
        if (n < 0 || n > MAX_BYTES) {
            throw new IOException(n + " cancellations");
        }
        List<CancellationLog.Ending> endings = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            endings.add(new CancellationLog.Ending(in.readLong(), in.readUTF()));
        }
        return new Word(life, from, to, complete, endings);
    }

    private static byte[] body(DataInputStream in) throws IOException {
        int n = in.readInt();
        if (n < 0 || n > MAX_BYTES) {
            throw new IOException("a body of " + n + " bytes");
        }
        return in.readNBytes(n);
    }
}
