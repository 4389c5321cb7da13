/**
 * The whole command line: everything of {@code controller.cli}, what users and operators do from a shell, and the tools
 * that need no service.
 *
 * <p>No state. A command runs on the main thread; {@link org.landingridge.cli.ControllerCall} has an event loop of its own
 * for one call. May depend on every module.
 */
package org.landingridge.cli;
