package org.landingridge.emulator;

import org.landingridge.net.Http;

/** A host that answers HTTP, in simulated time or on a socket. */
public interface Server {
    void serve(Http.Exchange exchange);
}
