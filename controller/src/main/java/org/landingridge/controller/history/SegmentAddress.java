package org.landingridge.controller.history;

/**
 * Address of a terminated job in the history: the key of its segment and its offset there. Ids of the usual form, {@code job-}
 * and 6 to 15 digits, zero-padded to 6, are mapped to their numbers, 512 per segment. Any other id has its own segment, whose key
 * ends in the id; if the id does not begin with {@code job-}, a prefix distinguishes it from the number of a segment. No two
 * ids share an address.
 */
public record SegmentAddress(String key, int offset) {
    /** Prefix of all segment keys, which controllers watch but do not read at startup. */
    public static final String ROOT = "lr-past/";

    private static final String ID_PREFIX = "job-";
    /** Precedes ids that no job can have, which users may still ask about. */
    private static final String OTHER_PREFIX = "other-";

    private static final int MIN_DIGITS = 6;
    private static final int MAX_DIGITS = 15;

    /** Returns the address of a job. */
    public static SegmentAddress of(String id) {
        long number = parseNumber(id);
        if (number < 0) {
            return new SegmentAddress(ROOT + (id.startsWith(ID_PREFIX) ? "" : OTHER_PREFIX) + id, 0);
        }
        return new SegmentAddress(ROOT + number / Segment.JOBS_PER_SEGMENT, (int) (number % Segment.JOBS_PER_SEGMENT));
    }

    /** Returns the number of an id of the usual form, otherwise -1: {@code job-0000412} is not {@code job-000412}. */
    private static long parseNumber(String id) {
        int digits = id.length() - ID_PREFIX.length();
        if (!id.startsWith(ID_PREFIX)
                || digits < MIN_DIGITS
                || digits > MAX_DIGITS
                || (digits > MIN_DIGITS && id.charAt(ID_PREFIX.length()) == '0')) {
            return -1;
        }
        long number = 0;
        for (int i = ID_PREFIX.length(); i < id.length(); i++) {
            char digit = id.charAt(i);
            if (digit < '0' || digit > '9') {
                return -1;
            }
            number = number * 10 + digit - '0';
        }
        return number;
    }
}
