package org.landingridge.controller.history;

/**
 * Address of a terminated job in the history: the key of its segment and its offset there. Ids of the usual form, {@code job-}
 * and 6 to 15 digits, zero-padded to 6, are mapped to their numbers, 512 per segment. Any other id has its own segment, whose key
 * ends in the id. No two ids share an address.
 */
public record SegmentAddress(String key, int offset) {
    /** Prefix of all segment keys, which controllers watch but do not read at startup. */
    public static final String ROOT = "lr-past/";

    private static final String ID_PREFIX = "job-";
    private static final int MIN_DIGITS = 6;
    private static final int MAX_DIGITS = 15;

    /** Returns the address of a job. */
    public static SegmentAddress of(String id) {
        long number = parseNumber(id);
        return number < 0
                ? new SegmentAddress(ROOT + id, 0)
                : new SegmentAddress(ROOT + number / Segment.JOBS, (int) (number % Segment.JOBS));
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
