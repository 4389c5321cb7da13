package org.landingridge.controller.store;

import org.landingridge.net.EventLoop;

/**
 * What a writer of the state service needs: the calls, the copy that knows the versions, and the clock with its timers.
 *
 * @param client the calls
 * @param cache  the copy of what is stored
 * @param loop   the event loop that runs all of it
 */
public record StoreAccess(StateClient client, WatchCache cache, EventLoop loop) {}
