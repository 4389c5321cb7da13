package org.landingridge.controller.fleet;

import org.landingridge.wire.Json;

/** The body of an answer that refuses a heartbeat. */
final class Refusal {
    private Refusal() {}

    static byte[] body(String reason) {
        return Json.bytes(Json.object().put("error", reason));
    }
}
