package org.landingridge.controller.fleet;

import org.landingridge.wire.Json;

/** Builds the body of an HTTP answer that refuses a heartbeat. */
final class Refusal {
    private Refusal() {}

    static byte[] body(String reason) {
        return Json.bytes(Json.object().put("error", reason));
    }
}
