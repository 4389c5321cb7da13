package org.landingridge.controller.store;

import org.landingridge.net.EventLoop;

/**
 * The objects that a writer to the state service needs.
 *
 * @param client client of the state service
 * @param cache  cache that has the current versions of the keys
 * @param loop   event loop that runs all callbacks and provides the clock and timers
 */
public record StoreAccess(StateClient client, WatchCache cache, EventLoop loop) {}
