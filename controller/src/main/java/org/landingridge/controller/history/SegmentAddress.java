package org.landingridge.controller.history;

/**
 * Where a terminated job is in the history: the segment's key, and its offset there. Ids of the usual form, {@code job-} and
 * six digits or more, are mapped to numbers, 512 to a segment. Any other id has a segment of its own, under the id itself. No
 * two ids share an address.
 */
public record SegmentAddress(String key, int offset) {
    /** All segments are kept under this prefix, which is watched but not read at a start. */
    public static final String ROOT = "lr-past/";

    private static final String START = "job-";
    private static final int MIN_DIGITS = 6;
    private static final int MAX_DIGITS = 15;

    /** The address of a job. */
    public static SegmentAddress of(String id) {
        long number = number(id);
        return number < 0
                ? new SegmentAddress(ROOT + id, 0)
                : new SegmentAddress(ROOT + number / Segment.JOBS, (int) (number % Segment.JOBS));
    }

    /** The number of an id in its one usual form, or -1: {@code job-0000412} and {@code job-000412} are two jobs. */
    private static long number(String id) {
        int digits = id.length() - START.length();
        if (!id.startsWith(START)
                || digits < MIN_DIGITS
                || digits > MAX_DIGITS
                || (digits > MIN_DIGITS && id.charAt(START.length()) == '0')) {
            return -1;
        }
        long number = 0;
        for (int i = START.length(); i < id.length(); i++) {
            char c = id.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            number = number * 10 + c - '0';
        }
        return number;
    }
}
