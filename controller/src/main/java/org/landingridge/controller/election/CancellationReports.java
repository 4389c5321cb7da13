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
 * What each controller reports of the jobs that it knows to be cancelled, with its promises. One of them has confirmed it to the
 * user, and a leader that has lost the state service learns it in no other way.
 */
final class CancellationReports {
    private final EventLoop loop;
    private final List<String> others;
    private final CancellationLog log;
    private final BooleanSupplier stateRead;
    /** Of this process: the positions in its own log mean nothing in the next one. */
    private final long incarnation;
    /** By host. */
    private final Map<String, Received> received = new HashMap<>();

    /** How far the log of one controller is known here, and before when everything that it confirmed to users is. */
    private static final class Received {
        private long incarnation;
        private long position;
        private long completeBefore = Long.MIN_VALUE / 2;

        /** False where something between is missing: it is asked for again from the position that is known. */
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
     * @param incarnation of this process
     * @param log         the cancellations that this process knows
     * @param stateRead   whether it has read the state whole: before, it cannot vouch for what its former incarnation
     *                    confirmed to users
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
     * The request to one of the others, which names the position from which its report is to begin.
     *
     * @param knownRevision this controller knows everything that was stored up to this revision
     */
    PeerMessage.Ask request(String other, String host, long token, long number, long knownRevision) {
        Received known = received.computeIfAbsent(other, h -> new Received());
        return new PeerMessage.Ask(host, token, number, knownRevision, known.incarnation, known.position);
    }

    /** What this controller vouches for in answer; null where it cannot. */
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
     * What one of the others vouches for. Its cancellations are final, whichever leader they were reported to.
     *
     * @param askedAt when the request that this answers was sent; null if that is not known any more
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

    /** Every cancellation that another controller confirmed to a user before this time, by the loop's clock, is known here. */
    long knownAt() {
        long before = loop.now();
        for (String other : others) {
            Received known = received.get(other);
            before = known == null ? Long.MIN_VALUE / 2 : Math.min(before, known.completeBefore);
        }
        return before;
    }
}
