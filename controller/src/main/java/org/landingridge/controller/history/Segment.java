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
    private static final String ENDED_FIELD = "ended";
    private final byte[] states;
    /** Task counts of the done jobs in the order of their offsets, as variable-length integers. */
    private final byte[] encodedTaskCounts;

    private Segment(byte[] states, byte[] encodedTaskCounts) {
        this.states = states;
        this.encodedTaskCounts = encodedTaskCounts;
    }

    /** Returns how the job at this offset ended, or null if this segment does not contain it. */
    public TerminatedJob get(int offset) {
        return switch (state(offset)) {
            case DONE -> new TerminatedJob(Job.Status.DONE, taskCounts()[offset]);
            case CANCELLED -> new TerminatedJob(Job.Status.CANCELLED, 0);
            default -> null;
        };
    }

    /**
     * Returns a copy of this segment with more jobs.
     *
     * @param addedEnds ends of the added jobs by offset
     * @throws IllegalStateException if this segment already contains one of the jobs with a different end
     */
    public Segment with(Map<Integer, TerminatedJob> addedEnds) {
        byte[] newStates = states.clone();
        int[] taskCounts = taskCounts();
        addedEnds.forEach((offset, ended) -> {
            TerminatedJob recordedEnd = get(offset);
            if (recordedEnd != null && !recordedEnd.equals(ended)) {
                throw new IllegalStateException(
                        "offset " + offset + ": recorded end " + recordedEnd + " cannot change to " + ended);
            }
            newStates[offset / 4] |= (byte) ((ended.how() == Job.Status.DONE ? DONE : CANCELLED) << (offset % 4 * 2));
            taskCounts[offset] = ended.tasks();
        });
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int offset = 0; offset < JOBS; offset++) {
            if ((newStates[offset / 4] >> (offset % 4 * 2) & 3) == DONE) {
                writeVarint(out, taskCounts[offset]);
            }
        }
        return new Segment(newStates, out.toByteArray());
    }

    private static void writeVarint(ByteArrayOutputStream out, int number) {
        int remainingBits = number;
        while (remainingBits > 0x7f) {
            out.write((remainingBits & 0x7f) | 0x80);
            remainingBits >>>= 7;
        }
        out.write(remainingBits);
    }

    /** Returns the number of jobs in this segment. */
    public int size() {
        int size = 0;
        for (int offset = 0; offset < JOBS; offset++) {
            size += state(offset) == 0 ? 0 : 1;
        }
        return size;
    }

    private int state(int offset) {
        return states[offset / 4] >> (offset % 4 * 2) & 3;
    }

    private int[] taskCounts() {
        int[] taskCounts = new int[JOBS];
        int position = 0;
        for (int offset = 0; offset < JOBS; offset++) {
            if (state(offset) == DONE) {
                int shift = 0;
                int encodedByte;
                do {
                    encodedByte = encodedTaskCounts[position++];
                    taskCounts[offset] |= (encodedByte & 0x7f) << shift;
                    shift += 7;
                } while (encodedByte < 0);
            }
        }
        return taskCounts;
    }

    /** Returns the stored form. */
    public JsonNode json() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT);
            out.write(states);
            out.write(encodedTaskCounts);
            out.writeInt(crc(bytes.toByteArray(), bytes.size()));
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a byte array cannot fail", e);
        }
        return Json.object().put(ENDED_FIELD, Base64.getEncoder().encodeToString(bytes.toByteArray()));
    }

    /**
     * Decodes a stored value.
     *
     * @throws InvalidMessageException if any part of the value is invalid
     */
    public static Segment read(JsonNode value) throws InvalidMessageException {
        String text = value == null ? null : Json.text(value, ENDED_FIELD);
        if (text == null) {
            throw new InvalidMessageException("field " + ENDED_FIELD + " is missing");
        }
        byte[] bytes;
        try {
            bytes = Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidMessageException("field " + ENDED_FIELD + " is not valid base64");
        }
        int bodyLength = bytes.length - Integer.BYTES;
        if (bodyLength < 1 + JOBS / 4) {
            throw new InvalidMessageException("segment has only " + bytes.length + " bytes");
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int format = in.readUnsignedByte();
            byte[] states = in.readNBytes(JOBS / 4);
            byte[] encodedTaskCounts = in.readNBytes(bodyLength - 1 - states.length);
            if (in.readInt() != crc(bytes, bodyLength)) {
                throw new InvalidMessageException("segment checksum does not match");
            }
            if (format != FORMAT) {
                throw new InvalidMessageException("segment format is " + format + ", expected " + FORMAT);
            }
            Segment segment = new Segment(states, encodedTaskCounts);
            segment.validate();
            return segment;
        } catch (IOException e) {
            throw new UncheckedIOException("reading from a byte array cannot fail", e);
        }
    }

    private void validate() throws InvalidMessageException {
        int done = 0;
        for (int offset = 0; offset < JOBS; offset++) {
            if (state(offset) > CANCELLED) {
                throw new InvalidMessageException("offset " + offset + ": unknown job state " + state(offset));
            }
            done += state(offset) == DONE ? 1 : 0;
        }
        int taskCountsFound = 0;
        int continuationBytes = 0;
        for (byte encodedByte : encodedTaskCounts) {
            continuationBytes = encodedByte < 0 ? continuationBytes + 1 : 0;
            taskCountsFound += encodedByte < 0 ? 0 : 1;
            if (continuationBytes > 4) {
                throw new InvalidMessageException("a task count takes more than 5 bytes");
            }
        }
        if (taskCountsFound != done || continuationBytes != 0) {
            throw new InvalidMessageException(
                    "segment has " + done + " done jobs but " + taskCountsFound + " task counts");
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
                && Arrays.equals(encodedTaskCounts, segment.encodedTaskCounts);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(states) + Arrays.hashCode(encodedTaskCounts);
    }
}
