package org.landingridge.controller.peer;

import java.io.IOException;

/** The types of records between controllers, each with its code: the first byte of the record. */
public enum PeerRecordType {
    ASK(1),
    GRANT(2),
    REFUSE(3),
    HAND_OVER(4),
    RUNNING_COUNTS(5),
    FORWARDED_HEARTBEAT(6),
    ANSWER(7);

    private static final PeerRecordType[] TYPES = values();
    private final int code;

    PeerRecordType(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    static PeerRecordType forCode(int code) throws IOException {
        for (PeerRecordType type : TYPES) {
            if (type.code == code) {
                return type;
            }
        }
        throw new IOException("peer record: unknown type " + code);
    }
}
