/**
 * One controller: {@link org.landingridge.controller.Controller} wires the parts that every controller runs and holds the
 * leader term while this one leads. Requests, messages and news of the state service come in here and are passed on.
 *
 * <p>All state of the process is owned by the event loop's one thread. This package depends on all the others; none depends
 * on it, but the command line.
 */
package org.landingridge.controller;
