package org.landingridge.wire;

/** The answer 421 to a worker's heartbeat: which controller it is to go to. */
public final class Redirect {
    private static final String HOST = "desk";

    private Redirect() {}

    /** The answer that names the controller's host. */
    public static byte[] toBytes(String host) {
        return Json.bytes(Json.object().put(HOST, host));
    }
}
