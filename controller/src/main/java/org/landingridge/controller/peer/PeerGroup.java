package org.landingridge.controller.peer;

import java.util.List;

/**
 * The controllers of the deployment, as seen by one of them.
 *
 * @param host      host of this controller
 * @param others    hosts of the other controllers, in the order of the settings file
 * @param transport sends messages to the other controllers
 */
public record PeerGroup(String host, List<String> others, PeerTransport transport) {
    /** Copies the list of hosts. */
    public PeerGroup {
        others = List.copyOf(others);
    }

    /** Sends a message to one other controller; the message may be lost. */
    public void send(String to, PeerMessage message) {
        transport.send(to, message);
    }

    /** Sends a message to every other controller, in the order of the list. */
    public void sendToOthers(PeerMessage message) {
        for (String other : others) {
            transport.send(other, message);
        }
    }
}
