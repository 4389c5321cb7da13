/**
 * What a controller tells of itself: counters and processor time ({@link
 * org.landingridge.controller.observability.Metrics}), structured events ({@link
 * org.landingridge.controller.observability.EventLog}) and lines for people ({@link
 * org.landingridge.controller.observability.IncidentReport}).
 *
 * <p>Each controller has one of each; the event loop owns them, and nothing decides by them. May depend on modules {@code
 * wire} and {@code net} only.
 */
package org.landingridge.controller.observability;
