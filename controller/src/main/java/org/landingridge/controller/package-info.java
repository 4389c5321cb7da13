/**
 * One controller process: {@link org.landingridge.controller.Controller} connects the components that every controller runs
 * and holds the leader term while this controller leads. Requests, messages of other controllers and changes in the state
 * service arrive here and are passed on.
 *
 * <p>All state of the process is accessed only on the event loop's single thread. This package depends on all the others;
 * only the command line depends on it.
 */
package org.landingridge.controller;
