package org.landingridge.controller.peer;

import java.util.List;

/**
 * This controller among all controllers of the deployment.
 *
 * @param host      of this controller
 * @param others    hosts of the other controllers, in the order of the deploy file
 * @param transport carries messages to them
 */
public record PeerGroup(String host, List<String> others, PeerTransport transport) {
    /** Copies the list. */
    public PeerGroup {
        others = List.copyOf(others);
    }

    /** Sends to one of the others; the message may get lost. */
    public void send(String to, PeerMessage message) {
        transport.send(to, message);
    }

    /** Sends to each of the others, in their order. */
    public void sendToOthers(PeerMessage message) {
        for (String other : others) {
            transport.send(other, message);
        }
    }
}
