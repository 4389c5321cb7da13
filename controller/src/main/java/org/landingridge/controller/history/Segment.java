package org.landingridge.controller.history;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Base64;
import java.util.Map;
import java.util.zip.CRC32;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;

/**
 * How the jobs of one range of ids ended. Immutable; a job's recorded end never changes.
 *
 * <p>Stored as one binary record in base64: a format byte, two bits per job (0 absent, 1 done, 2 cancelled), the task count of
 * each done job as a variable-length integer of seven bits per byte, and a CRC-32 of all preceding bytes. 512 jobs of 100,000
 * tasks each take 1,669 bytes, or 2,228 base64 characters. Where the state service's value size limit is lower, a segment that
 * would exceed it takes no more jobs ({@link Compactor}).
 */
public final class Segment {
    /** Number of job ids per segment. */
    public static final int JOBS = 512;
    /** Upper limit on the size of any segment's stored value, in bytes. */
    public static final int MAX_BYTES = 2_300;

    /** A segment without jobs. */
    public static final Segment EMPTY = new Segment(new byte[JOBS / 4], new byte[0]);

    private static final int FORMAT = 1;
    private static final int DONE = 1;
    private static final int CANCELLED = 2;
    private static final String FIELD = "ended";
    private final byte[] states;
    /** Task counts of the done jobs in the order of their offsets, as variable-length integers. */
    private final byte[] tasks;

    private Segment(byte[] states, byte[] tasks) {
        this.states = states;
        this.tasks = tasks;
    }

    /** Returns how the job at this offset ended, or null if this segment does not contain it. */
    public TerminatedJob get(int offset) {
        return switch (state(offset)) {
            case DONE -> new TerminatedJob(Job.Status.DONE, counts()[offset]);
            case CANCELLED -> new TerminatedJob(Job.Status.CANCELLED, 0);
            default -> null;
        };
    }

    /**
     * Returns a copy of this segment with more jobs.
     *
     * @param more ends of the added jobs by offset
     * @throws IllegalStateException if this segment already contains one of the jobs with a different end
     */
    public Segment with(Map<Integer, TerminatedJob> more) {
        byte[] next = states.clone();
        int[] counts = counts();
        more.forEach((offset, ended) -> {
            TerminatedJob before = get(offset);
            if (before != null && !before.equals(ended)) {
                throw new IllegalStateException("offset " + offset + " is " + before + " and would become " + ended);
            }
            next[offset / 4] |= (byte) ((ended.how() == Job.Status.DONE ? DONE : CANCELLED) << (offset % 4 * 2));
            counts[offset] = ended.tasks();
        });
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < JOBS; i++) {
            if ((next[i / 4] >> (i % 4 * 2) & 3) == DONE) {
                writeVarint(out, counts[i]);
            }
        }
        return new Segment(next, out.toByteArray());
    }

    private static void writeVarint(ByteArrayOutputStream out, int number) {
        int left = number;
        while (left > 0x7f) {
            out.write((left & 0x7f) | 0x80);
            left >>>= 7;
        }
        out.write(left);
    }

    /** Returns the number of jobs in this segment. */
    public int size() {
        int size = 0;
        for (int i = 0; i < JOBS; i++) {
            size += state(i) == 0 ? 0 : 1;
        }
        return size;
    }

    private int state(int offset) {
        return states[offset / 4] >> (offset % 4 * 2) & 3;
    }

    private int[] counts() {
        int[] counts = new int[JOBS];
        int at = 0;
        for (int i = 0; i < JOBS; i++) {
            if (state(i) == DONE) {
                int shift = 0;
                int b;
                do {
                    b = tasks[at++];
                    counts[i] |= (b & 0x7f) << shift;
                    shift += 7;
                } while (b < 0);
            }
        }
        return counts;
    }

    /** Returns the stored form. */
    public JsonNode json() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT);
            out.write(states);
            out.write(tasks);
            out.writeInt(crc(bytes.toByteArray(), bytes.size()));
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a byte array cannot fail", e);
        }
        return Json.object().put(FIELD, Base64.getEncoder().encodeToString(bytes.toByteArray()));
    }

    /**
     * Decodes a stored value.
     *
     * @throws InvalidMessageException if any part of the value is invalid
     */
    public static Segment read(JsonNode value) throws InvalidMessageException {
        String text = value == null ? null : Json.text(value, FIELD);
        if (text == null) {
            throw new InvalidMessageException("there is no field " + FIELD);
        }
        byte[] all;
        try {
            all = Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidMessageException("it is not base64");
        }
        int body = all.length - Integer.BYTES;
        if (body < 1 + JOBS / 4) {
            throw new InvalidMessageException("it has only " + all.length + " bytes");
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(all))) {
            int format = in.readUnsignedByte();
            byte[] states = in.readNBytes(JOBS / 4);
            byte[] tasks = in.readNBytes(body - 1 - states.length);
            if (in.readInt() != crc(all, body)) {
                throw new InvalidMessageException("its checksum is wrong");
            }
            if (format != FORMAT) {
                throw new InvalidMessageException("its form is " + format + ", this version reads " + FORMAT);
            }
            Segment segment = new Segment(states, tasks);
            segment.check();
            return segment;
        } catch (IOException e) {
            throw new UncheckedIOException("reading from a byte array cannot fail", e);
        }
    }

    private void check() throws InvalidMessageException {
        int done = 0;
        for (int i = 0; i < JOBS; i++) {
            if (state(i) > CANCELLED) {
                throw new InvalidMessageException("offset " + i + " has no known state");
            }
            done += state(i) == DONE ? 1 : 0;
        }
        int ends = 0;
        int length = 0;
        for (byte b : tasks) {
            length = b < 0 ? length + 1 : 0;
            ends += b < 0 ? 0 : 1;
            if (length > 4) {
                throw new InvalidMessageException("a number of tasks is too long");
            }
        }
        if (ends != done || length != 0) {
            throw new InvalidMessageException("it has " + done + " done jobs and " + ends + " numbers of tasks");
        }
    }

    private static int crc(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Segment segment
                && Arrays.equals(states, segment.states)
                && Arrays.equals(tasks, segment.tasks);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(states) + Arrays.hashCode(tasks);
    }
}
