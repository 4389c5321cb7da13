package org.landingridge.controller.election;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.landingridge.controller.jobs.CancellationLog;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.net.EventLoop;

/**
 * Exchanges the cancellations that each controller knows, along with its promises. Each cancellation was confirmed to a user by
 * one of the controllers; a leader that cannot reach the state service has no other way to learn of it.
 */
final class CancellationReports {
    private final EventLoop loop;
    private final List<String> others;
    private final CancellationLog log;
    private final BooleanSupplier stateRead;
    /** Identifies this process: positions in its cancellation log are not valid for the next process of this host. */
    private final long incarnation;

    private final Map<String, Received> received = new HashMap<>();

    /** How much of another controller's cancellation log is known here. */
    private static final class Received {
        private long incarnation;
        private long position;
        /** Everything that the other controller confirmed to users before this time, by the loop's clock, is known here. */
        private long completeBefore = Long.MIN_VALUE / 2;

        /**
         * Returns whether the report continues the known part of the log. If entries in between are missing, the next request
         * asks for them again, from the known position.
         */
        private boolean follows(PeerMessage.CancellationReport report) {
            return report.incarnation() == incarnation ? report.from() <= position : report.from() == 0;
        }

        private void advance(PeerMessage.CancellationReport report) {
            position = report.incarnation() == incarnation ? Math.max(position, report.to()) : report.to();
            incarnation = report.incarnation();
        }
    }

    /**
     * @param others      hosts of the other controllers
     * @param incarnation identifies this process
     * @param log         cancellations known to this process
     * @param stateRead   whether this process has read the complete state; until then it cannot report what earlier
     *                    processes of its host confirmed to users
     */
    CancellationReports(
            EventLoop loop, List<String> others, long incarnation, CancellationLog log, BooleanSupplier stateRead) {
        this.loop = loop;
        this.others = others;
        this.incarnation = incarnation;
        this.log = log;
        this.stateRead = stateRead;
    }

    /**
     * Returns the request to another controller for a promise and a report, with the log position at which the report is to
     * start.
     *
     * @param other         host of the other controller
     * @param host          host of this controller
     * @param number        number of the request
     * @param knownRevision this controller knows everything that was stored up to this revision
     */
    PeerMessage.Ask request(String other, String host, long token, long number, long knownRevision) {
        Received known = received.computeIfAbsent(other, h -> new Received());
        return new PeerMessage.Ask(host, token, number, knownRevision, known.incarnation, known.position);
    }

    /** Returns this controller's report for a request; null if its log cannot be shown to be complete. */
    PeerMessage.CancellationReport report(PeerMessage.Ask ask) {
        if (!stateRead.getAsBoolean()) {
            return null;
        }
        long from = ask.incarnation() == incarnation ? ask.position() : 0;
        CancellationLog.Page page = log.after(from, ask.knownRevision());
        return page == null
                ? null
                : new PeerMessage.CancellationReport(incarnation, from, page.to(), page.complete(), page.endings());
    }

    /**
     * Applies another controller's report. Cancellations are final, so they are valid whichever leader requested the report.
     *
     * @param askedAt   time at which the answered request was sent, by the loop's clock; null if no longer known
     * @param cancelled receives each reported cancellation
     */
    void received(PeerMessage.Grant grant, Long askedAt, Consumer<CancellationLog.Ending> cancelled) {
        PeerMessage.CancellationReport report = grant.report();
        Received known = received.get(grant.host());
        if (report == null || known == null) {
            return;
        }
        report.cancellations().forEach(cancelled);
        if (!known.follows(report)) {
            return;
        }
        known.advance(report);
        if (report.complete() && askedAt != null) {
            known.completeBefore = Math.max(known.completeBefore, askedAt);
        }
    }

    /** Returns the time, by the loop's clock, before which all cancellations confirmed by other controllers are known here. */
    long knownAt() {
        long before = loop.now();
        for (String other : others) {
            Received known = received.get(other);
            before = known == null ? Long.MIN_VALUE / 2 : Math.min(before, known.completeBefore);
        }
        return before;
    }
}
