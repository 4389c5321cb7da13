package org.landingridge.controller.peer;

import java.util.List;

/**
 * The controllers of the deployment, as seen by one of them.
 *
 * @param ownHost      host of this controller
 * @param otherHosts    hosts of the other controllers, in the order of the settings file
 * @param transport sends messages to the other controllers
 */
public record PeerGroup(String ownHost, List<String> otherHosts, PeerTransport transport) {
    /** Copies the list of hosts. */
    public PeerGroup {
        otherHosts = List.copyOf(otherHosts);
    }

    /** Sends a message to one other controller; the message may be lost. */
    public void send(String to, PeerMessage message) {
        transport.send(to, message);
    }

    /** Sends a message to every other controller, in the order of the list. */
    public void sendToOthers(PeerMessage message) {
        for (String other : otherHosts) {
            transport.send(other, message);
        }
    }
}
