package org.landingridge.controller.history;

/**
 * Where an ended job stands: the segment's key, and its offset there. Ids are mapped to numbers at this door: those of
 * the usual form, {@code job-} and six digits or more, stand 512 to a segment. Any other id is an exception with a
 * segment of its own, under the id itself. The mapping never loses anything: no two ids share a place.
 */
public record SegmentAddress(String key, int offset) {
    /** All segments are kept under this prefix, which is watched but not read at a start. */
    public static final String ROOT = "lr-past/";

    private static final String START = "job-";
    private static final int DIGITS = 6;
    private static final int MOST_DIGITS = 15;

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
                || digits < DIGITS
                || digits > MOST_DIGITS
                || digits > DIGITS && id.charAt(START.length()) == '0') {
            return -1;
        }
        long n = 0;
        for (int i = START.length(); i < id.length(); i++) {
            char c = id.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            n = n * 10 + c - '0';
        }
        return n;
    }
}
