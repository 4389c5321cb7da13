/**
 * The edge of a process: its event loop and HTTP.
 *
 * <p>The event loop is one thread, which owns everything: handlers of requests, callbacks of calls and timers run on it, one
 * after the other, so that nothing above this package is synchronized. {@link org.landingridge.net.EventLoop} and {@link
 * org.landingridge.net.Http} are all that the controller sees; {@link org.landingridge.net.XnioEventLoop}, {@link
 * org.landingridge.net.HttpClient} and {@link org.landingridge.net.HttpServer} are what it runs on, and simulations put
 * their own in their place. Depends on XNIO and Undertow, and on no other module.
 */
package org.landingridge.net;
