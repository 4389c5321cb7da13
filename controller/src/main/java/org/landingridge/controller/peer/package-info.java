/**
 * Messages between the controllers, their transport, and the forwarding of heartbeats to the leader.
 *
 * <p>State: the send queue of each connection, and the heartbeats that wait for the leader's answer. All of it is accessed
 * only on the event loop's thread, which also runs the connections' listeners. The package may depend on {@code jobs} (for
 * the cancellations in messages), on {@code settings}, and on the modules net and wire.
 */
package org.landingridge.controller.peer;
