package org.landingridge.net;

import java.util.function.Consumer;

/** HTTP as the core sees it: calls that always come back, once, and requests that are answered later. */
public interface Http {
    /** How a call ended. A call that may have been carried out is {@code UNKNOWN}, whatever error was seen. */
    enum Outcome {
        ANSWERED,
        NOT_SENT,
        UNKNOWN
    }

    record Reply(Outcome outcome, int status, byte[] body) {
        public static final Reply NOT_SENT = new Reply(Outcome.NOT_SENT, 0, new byte[0]);
        public static final Reply UNKNOWN = new Reply(Outcome.UNKNOWN, 0, new byte[0]);

        public boolean is(int wanted) {
            return outcome == Outcome.ANSWERED && status == wanted;
        }
    }

    /** Calls {@code addr}; {@code done} runs later on the loop, exactly once, at the latest after the timeout. */
    void call(String addr, String method, String path, byte[] body, long timeoutMs, Consumer<Reply> done);

    /** A request of a user or worker. */
    interface Exchange {
        String method();

        /** The path without the query. */
        String path();

        /** What follows the question mark; empty where nothing does. */
        default String query() {
            return "";
        }

        byte[] body();

        /** Answers; only the first answer counts. */
        void answer(int status, byte[] json, int retryAfterS);

        default void answer(int status, byte[] json) {
            answer(status, json, 0);
        }
    }
}
