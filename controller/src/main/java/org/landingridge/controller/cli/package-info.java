/**
 * The command line of a controller alone: run one, check its settings, and the build's training run.
 *
 * <p>{@link org.landingridge.controller.cli.RunCommand} is where a controller is put together with its sockets, its clock
 * and its random numbers. No state; each command runs on the main thread and hands over to the event loop. May depend on
 * every package of this module.
 */
package org.landingridge.controller.cli;
