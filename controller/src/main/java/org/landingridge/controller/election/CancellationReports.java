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
    private final List<String> otherHosts;
    private final CancellationLog ownLog;
    private final BooleanSupplier stateLoaded;
    /** Identifies this process: positions in its cancellation log are not valid for the next process of this host. */
    private final long incarnation;

    private final Map<String, PeerLogProgress> progressByHost = new HashMap<>();

    /** How much of another controller's cancellation log is known here. */
    private static final class PeerLogProgress {
        private long incarnation;
        private long position;
        /** Everything that the other controller confirmed to users before this time, by the loop's clock, is known here. */
        private long completeBefore = Long.MIN_VALUE / 2;

        /**
         * Returns whether the report continues the known part of the log. If entries in between are missing, the next request
         * asks for them again, from the known position.
         */
        private boolean canAppend(PeerMessage.CancellationReport report) {
            return report.incarnation() == incarnation ? report.fromPosition() <= position : report.fromPosition() == 0;
        }

        private void advance(PeerMessage.CancellationReport report) {
            position =
                    report.incarnation() == incarnation ? Math.max(position, report.toPosition()) : report.toPosition();
            incarnation = report.incarnation();
        }
    }

    /**
     * @param otherHosts  hosts of the other controllers
     * @param incarnation identifies this process
     * @param ownLog      cancellations known to this process
     * @param stateLoaded whether this process has read the complete state; until then it cannot report what earlier
     *                    processes of its host confirmed to users
     */
    CancellationReports(
            EventLoop loop,
            List<String> otherHosts,
            long incarnation,
            CancellationLog ownLog,
            BooleanSupplier stateLoaded) {
        this.loop = loop;
        this.otherHosts = otherHosts;
        this.incarnation = incarnation;
        this.ownLog = ownLog;
        this.stateLoaded = stateLoaded;
    }

    /**
     * Returns the request to another controller for a promise and a report, with the log position at which the report is to
     * start.
     *
     * @param otherHost     host of the other controller
     * @param ownHost       host of this controller
     * @param number        number of the request
     * @param knownRevision this controller knows everything that was stored up to this revision
     */
    PeerMessage.PromiseRequest createRequest(
            String otherHost, String ownHost, long token, long number, long knownRevision) {
        PeerLogProgress progress = progressByHost.computeIfAbsent(otherHost, newHost -> new PeerLogProgress());
        return new PeerMessage.PromiseRequest(
                ownHost, token, number, knownRevision, progress.incarnation, progress.position);
    }

    /**
     * Returns this controller's report for a request; null if this process has not read the complete state yet, or if its log
     * may have overwritten entries that the requesting leader lacks.
     */
    PeerMessage.CancellationReport createReport(PeerMessage.PromiseRequest request) {
        if (!stateLoaded.getAsBoolean()) {
            return null;
        }
        long from = request.incarnation() == incarnation ? request.position() : 0;
        CancellationLog.Page page = ownLog.pageAfter(from, request.knownRevision());
        return page == null
                ? null
                : new PeerMessage.CancellationReport(
                        incarnation, from, page.endPosition(), page.complete(), page.cancellations());
    }

    /**
     * Applies another controller's report. Cancellations are final, so they are valid whichever leader requested the report.
     *
     * @param requestSentAt  time at which the answered request was sent, by the loop's clock; null if no longer known
     * @param onCancellation receives each reported cancellation
     */
    void applyReport(
            PeerMessage.Promise grant, Long requestSentAt, Consumer<CancellationLog.Cancellation> onCancellation) {
        PeerMessage.CancellationReport report = grant.report();
        PeerLogProgress progress = progressByHost.get(grant.sender());
        if (report == null || progress == null) {
            return;
        }
        report.cancellations().forEach(onCancellation);
        if (!progress.canAppend(report)) {
            return;
        }
        progress.advance(report);
        if (report.isComplete() && requestSentAt != null) {
            progress.completeBefore = Math.max(progress.completeBefore, requestSentAt);
        }
    }

    /** Returns the time, by the loop's clock, before which all cancellations confirmed by other controllers are known here. */
    long cancellationsKnownBefore() {
        long knownBefore = loop.now();
        for (String otherHost : otherHosts) {
            PeerLogProgress progress = progressByHost.get(otherHost);
            knownBefore = progress == null ? Long.MIN_VALUE / 2 : Math.min(knownBefore, progress.completeBefore);
        }
        return knownBefore;
    }
}
