/**
 * Stand-ins for the state service, the cloud and the workers, written from their protocols, with faults that can be
 * switched on; the simulated time and network in which tests run them, or sockets of this machine ({@link
 * org.landingridge.emulator.LoopbackCluster}); and {@link org.landingridge.emulator.InvariantChecker}, which holds everything
 * that happens against the operators' rules.
 *
 * <p>Runs on one thread, that of the loop it is given. Depends on {@code wire} and {@code net} alone.
 */
package org.landingridge.emulator;
