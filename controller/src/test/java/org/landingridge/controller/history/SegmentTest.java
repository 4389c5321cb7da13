package org.landingridge.controller.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/**
 * Guards against terminated jobs that get lost, change or mix with others in a segment: by the encoding, by a damaged stored
 * value that is read as a smaller one, or by two ids with one address.
 */
class SegmentTest {
    /** Compares a segment, encoded and decoded from time to time, with a map as the reference model. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void segmentMatchesMapModelAfterEncodingAndDecoding(long seed) throws InvalidMessageException {
        SplittableRandom random = new SplittableRandom(seed);
        Map<Integer, TerminatedJob> model = new HashMap<>();
        Segment segment = Segment.EMPTY;
        for (int i = 0; i < 700; i++) {
            int offset = random.nextInt(Segment.JOBS_PER_SEGMENT);
            TerminatedJob ended = random.nextInt(4) == 0
                    ? new TerminatedJob(Job.Status.CANCELLED, 0)
                    : new TerminatedJob(Job.Status.DONE, 1 + random.nextInt(1 << random.nextInt(17)));
            TerminatedJob recordedEnd = model.putIfAbsent(offset, ended);
            segment = segment.with(Map.of(offset, recordedEnd == null ? ended : recordedEnd));
            if (i % 50 == 0) {
                segment = Segment.read(segment.json());
            }
        }
        for (int offset = 0; offset < Segment.JOBS_PER_SEGMENT; offset++) {
            assertEquals(model.get(offset), segment.get(offset), "offset " + offset);
        }
        assertEquals(model.size(), segment.size());
    }

    @Test
    void segmentOfLargestJobsFitsMaxBytes() {
        Segment segment = Segment.EMPTY;
        for (int i = 0; i < Segment.JOBS_PER_SEGMENT; i++) {
            segment = segment.with(Map.of(i, new TerminatedJob(Job.Status.DONE, JobSpec.MAX_TASKS)));
        }
        assertTrue(
                Json.bytes(segment.json()).length <= Segment.MAX_BYTES,
                "stored size in bytes: " + Json.bytes(segment.json()).length);
    }

    @Test
    void recordedEndCannotBeReplacedByAnotherEnd() {
        Segment segment = Segment.EMPTY.with(Map.of(7, new TerminatedJob(Job.Status.DONE, 3)));
        assertEquals(segment, segment.with(Map.of(7, new TerminatedJob(Job.Status.DONE, 3))));
        assertThrows(
                IllegalStateException.class, () -> segment.with(Map.of(7, new TerminatedJob(Job.Status.CANCELLED, 0))));
    }

    /** One damaged byte or a truncated value must be an error: a damaged segment must not be read as one with fewer jobs. */
    @Test
    void readRejectsDamagedOrTruncatedValue() throws InvalidMessageException {
        Segment segment = Segment.EMPTY.with(
                Map.of(0, new TerminatedJob(Job.Status.DONE, 300), 9, new TerminatedJob(Job.Status.CANCELLED, 0)));
        byte[] intact = Base64.getDecoder().decode(Json.text(segment.json(), "ended"));
        for (int i = 0; i < intact.length; i++) {
            byte[] damaged = intact.clone();
            damaged[i] ^= 0x10;
            assertThrows(InvalidMessageException.class, () -> Segment.read(value(damaged)));
        }
        for (int length = 0; length < intact.length; length++) {
            byte[] truncated = java.util.Arrays.copyOf(intact, length);
            assertThrows(InvalidMessageException.class, () -> Segment.read(value(truncated)));
        }
        for (JsonNode invalid :
                new JsonNode[] {null, Json.object(), Json.object().put("ended", "?"), Json.array()}) {
            assertThrows(InvalidMessageException.class, () -> Segment.read(invalid));
        }
        assertEquals(segment, Segment.read(segment.json()));
    }

    private static JsonNode value(byte[] bytes) {
        return Json.object().put("ended", Base64.getEncoder().encodeToString(bytes));
    }

    /** Guards against an id that nobody submitted being answered with another job's state from the history. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName("no two ids of any form share an address")
    void noTwoIdsOfAnyFormShareAnAddress(long seed) {
        Random random = new Random(seed);
        String[] prefixes = {"", "job-", "other-", "other-job-", "job-other-", "JOB-", "id", "lr-past/", "/", " "};
        Map<SegmentAddress, String> idsByAddress = new HashMap<>();
        for (int i = 0; i < 200_000; i++) {
            String prefix = prefixes[random.nextInt(prefixes.length)];
            String digits = Long.toString(random.nextLong(1L << (1 + random.nextInt(25))));
            String id = prefix + "0".repeat(random.nextInt(3)) + (random.nextInt(4) == 0 ? digits + "x" : digits);
            String otherId = idsByAddress.put(SegmentAddress.of(id), id);
            assertTrue(otherId == null || otherId.equals(id), id + " and " + otherId + " share an address");
        }
    }

    /** Ids that look alike are different jobs, so each needs an address of its own. */
    @Test
    void differentIdsHaveDifferentAddresses() {
        Set<SegmentAddress> addresses = new HashSet<>();
        String[] ids = {
            "job-000412",
            "job-0000412",
            "job-412",
            "job-00412",
            "job-100412",
            "job-1000412",
            "job-0100412",
            "job-999999999999999",
            "job-9999999999999999",
            "job-a00412",
            "job-000412a",
            "job-00041-2",
            "job-٠٠٠٤١٢"
        };
        for (String id : ids) {
            assertTrue(addresses.add(SegmentAddress.of(id)), id);
        }
        assertEquals(new SegmentAddress(SegmentAddress.ROOT + "0", 412), SegmentAddress.of("job-000412"));
        assertEquals(
                new SegmentAddress(SegmentAddress.ROOT + "1953", 1_000_412 % 512), SegmentAddress.of("job-1000412"));
        for (int index = 0; index < 3_000; index++) {
            SegmentAddress address = SegmentAddress.of(String.format("job-%06d", index + 998_500));
            assertEquals(
                    (index + 998_500) / 512, Long.parseLong(address.key().substring(SegmentAddress.ROOT.length())));
            assertEquals((index + 998_500) % 512, address.offset());
        }
        assertNull(Segment.EMPTY.get(5));
    }
}
