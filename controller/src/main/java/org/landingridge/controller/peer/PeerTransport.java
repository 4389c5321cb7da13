package org.landingridge.controller.peer;

/** Sends messages to the other controllers. Messages may be lost or delayed. */
public interface PeerTransport {
    /** Sends a message to the controller on this host; a message to an unknown host is ignored. */
    void send(String host, PeerMessage message);
}
