package org.landingridge.net;

import java.util.function.Consumer;

/** HTTP as the controller sees it: calls that always come back, once, and requests that are answered later. */
public interface Http {
    /** How a call ended. A call that may have been carried out is {@code UNKNOWN}, whatever error was seen. */
    enum Outcome {
        /** The other side answered, with whatever status. */
        ANSWERED,
        /** It was certainly not carried out. */
        NOT_SENT,
        /** It may have been carried out. */
        UNKNOWN,
        /** The other side answered with more than {@link #MAX_ANSWER_BYTES}; of the answer nothing is known. */
        TOO_LARGE
    }

    /** Largest answer to a call that is read, in bytes: the process has little memory. */
    int MAX_ANSWER_BYTES = 4 << 20;

    /**
     * What a call came back with.
     *
     * @param status the HTTP status; 0 without an answer
     * @param body   the answer's body; empty without an answer
     */
    @SuppressWarnings("ArrayRecordComponent") // Bodies are read once and never compared or changed: no copy is made.
    record Reply(Outcome outcome, int status, byte[] body) {
        /** The reply to a call that was not carried out. */
        public static final Reply NOT_SENT = new Reply(Outcome.NOT_SENT, 0, new byte[0]);
        /** The reply to a call that may have been carried out. */
        public static final Reply UNKNOWN = new Reply(Outcome.UNKNOWN, 0, new byte[0]);
        /** The reply to a call whose answer is not read, because it is too large. */
        public static final Reply TOO_LARGE = new Reply(Outcome.TOO_LARGE, 0, new byte[0]);

        /** True for an answer with this status. */
        public boolean is(int wanted) {
            return outcome == Outcome.ANSWERED && status == wanted;
        }
    }

    /**
     * Calls another process.
     *
     * @param addr {@code host:port}
     * @param body JSON, or null
     * @param done runs later on the loop, exactly once, at the latest after the timeout
     */
    void call(String addr, String method, String path, byte[] body, long timeoutMs, Consumer<Reply> done);

    /** A request of a user or worker. */
    interface Exchange {
        /** The HTTP method. */
        String method();

        /** The path without the query. */
        String path();

        /** What follows the question mark; empty where nothing does. */
        default String query() {
            return "";
        }

        /** The whole body; empty where there is none. */
        byte[] body();

        /**
         * Answers; only the first answer counts.
         *
         * @param retryAfterS seconds after which the client should try again; 0 says nothing of it
         */
        void answer(int status, byte[] json, int retryAfterS);

        /** Answers without a time to try again. */
        default void answer(int status, byte[] json) {
            answer(status, json, 0);
        }
    }
}
