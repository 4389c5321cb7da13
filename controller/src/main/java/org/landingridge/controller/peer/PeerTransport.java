package org.landingridge.controller.peer;

/** The way to the other controllers. Messages may be lost, and may arrive late. */
public interface PeerTransport {
    void send(String host, PeerMessage message);
}
