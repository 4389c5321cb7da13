/**
 * Messages between the controllers, their transport, and the forwarding of heartbeats to the leader.
 *
 * <p>State: the queue of each connection, and the heartbeats that wait for the leader's answer. The event loop owns all of
 * it; the listeners of connections run there too. The package may depend on {@code jobs} for the cancellations that a message
 * carries, on {@code settings}, and on modules net and wire.
 */
package org.landingridge.controller.peer;
