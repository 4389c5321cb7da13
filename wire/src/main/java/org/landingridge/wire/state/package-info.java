/**
 * The protocol of the state service: its requests and answers as typed records, each with the one codec that reads and writes
 * it. The client in the controller and the emulated service use the same records; the protocol's names stand nowhere else.
 *
 * <p>The package has no state and no thread, and depends on {@link org.landingridge.wire.Json} alone.
 */
package org.landingridge.wire.state;
