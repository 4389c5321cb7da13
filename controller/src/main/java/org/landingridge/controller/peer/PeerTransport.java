package org.landingridge.controller.peer;

/** Sends messages to the other controllers. Messages may be lost, and may arrive late. */
public interface PeerTransport {
    /** Sends to the controller of this host; a host that is none of the others is ignored. */
    void send(String host, PeerMessage message);
}
