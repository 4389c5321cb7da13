package org.landingridge.controller.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.jobs.CancellationLog;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.peer.PeerGroup;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.store.StateClient;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.landingridge.wire.Priority;

/**
 * Guards against a leader that, without the state service, takes its view of cancellations for complete although it lacks one
 * that another controller confirmed to a user. Reports can be lost, late, duplicated, split into pages, or come from a
 * restarted process, whose log starts again. The test compares the claimed time with a plain record of all confirmations.
 */
class PromisesTest {
    private static final List<String> OTHER_HOSTS = List.of("rig-1", "rig-2");
    private long now = 1_000;
    private final EventLoop loop = new EventLoop() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public long nanos() {
            return 0;
        }

        @Override
        public long timeOfDay() {
            return 0;
        }

        @Override
        public Timer after(long millis, Runnable task) {
            return () -> {};
        }
    };
    /** A state service that no controller can reach. */
    private final StateClient client =
            new StateClient((addr, method, path, body, timeoutMs, done) -> done.accept(Http.Reply.NOT_SENT), "state");

    private final Map<String, OtherController> othersByHost = new LinkedHashMap<>();
    private final List<PeerMessage> answersInTransit = new ArrayList<>();
    private int lastIncarnation;

    private Promises createPromises(
            PeerGroup peers, long incarnation, CancellationLog log, BooleanSupplier stateLoaded) {
        CancellationReports reports = new CancellationReports(loop, peers.otherHosts(), incarnation, log, stateLoaded);
        return new Promises(client, loop, peers, "leader", reports);
    }

    /** Another controller, with everything that the processes of its host have confirmed to users, across restarts. */
    private final class OtherController {
        private final String host;
        private final Map<Long, Long> confirmedAtByRevision = new LinkedHashMap<>();
        private JobTable table;
        private boolean stateLoaded;
        private Promises promises;

        OtherController(String host) {
            this.host = host;
            restart();
            stateLoaded = true;
        }

        void restart() {
            table = new JobTable(loop::now, id -> {});
            stateLoaded = false;
            PeerGroup peers =
                    new PeerGroup(host, List.of("rig-0"), (recipientHost, message) -> answersInTransit.add(message));
            promises = createPromises(peers, ++lastIncarnation, table.cancellations(), () -> stateLoaded);
        }

        void loadState(Map<Long, Long> storedAtByRevision) {
            storedAtByRevision.keySet().forEach(this::learnCancellation);
            stateLoaded = true;
        }

        void learnCancellation(long revision) {
            recordCancellation(table, revision);
        }
    }

    private static JobSpec spec(long jobNumber) {
        return new JobSpec(
                String.format("job-%06d", jobNumber),
                "batch",
                "blue",
                false,
                Priority.NORMAL,
                1,
                1,
                0,
                1,
                "img",
                0.3,
                null,
                null,
                false,
                false,
                true,
                1,
                0,
                0,
                null);
    }

    private static void recordCancellation(JobTable table, long revision) {
        JobSpec spec = spec(revision);
        if (table.get(spec.id()) == null) {
            table.keyChanged(spec.id(), StoredJobCodec.accepted(spec, 0), 1);
        }
        table.end(table.get(spec.id()), Job.Status.CANCELLED, 1, revision, true);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    @DisplayName(
            "cancellations confirmed before the known time are known, although reports are lost, late, repeated, paged or"
                    + " from earlier processes")
    void cancellationsConfirmedBeforeKnownTimeAreKnownWhenReportsAreLostLateOrRepeated(long seed) {
        Random random = new Random(seed);
        Set<Long> reportedRevisions = new HashSet<>();
        List<PeerMessage> deliveredRequests = new ArrayList<>();
        PeerGroup peers = new PeerGroup(
                "rig-0",
                OTHER_HOSTS,
                (recipientHost, message) ->
                        deliveredRequests.add(new AddressedRequest(recipientHost, message).deliver()));
        Promises requester = createPromises(peers, 77, new CancellationLog(), () -> true);
        OTHER_HOSTS.forEach(host -> othersByHost.put(host, new OtherController(host)));
        Map<Long, Long> storedAtByRevision = new LinkedHashMap<>();
        long revision = 10;
        long requesterRevision = 10;
        boolean withBursts = seed % 2 == 0;
        int stepsWithKnownTime = 0;
        for (int step = 0; step < 3_000; step++) {
            now += random.nextInt(20);
            OtherController actor = othersByHost.get(OTHER_HOSTS.get(random.nextInt(2)));
            int action = random.nextInt(100);
            if (action < 40) {
                // The controller confirms a cancellation, or sometimes a large number of them.
                for (int remaining = withBursts && random.nextInt(60) == 0 ? 2_500 : 1; remaining > 0; remaining--) {
                    storedAtByRevision.put(++revision, now);
                    if (actor.stateLoaded) {
                        actor.learnCancellation(revision);
                        actor.confirmedAtByRevision.put(revision, now);
                    }
                }
            } else if (action < 45 && !storedAtByRevision.isEmpty()) {
                // The controller learns of a cancellation that was stored earlier and confirms it too, in any order.
                List<Long> storedRevisions = new ArrayList<>(storedAtByRevision.keySet());
                long learnedRevision =
                        storedRevisions.get(Math.max(0, storedRevisions.size() - 1 - random.nextInt(50)));
                if (actor.stateLoaded) {
                    actor.learnCancellation(learnedRevision);
                    actor.confirmedAtByRevision.putIfAbsent(learnedRevision, now);
                }
            } else if (action < 47) {
                actor.restart();
            } else if (action < 50 && !actor.stateLoaded) {
                actor.loadState(storedAtByRevision);
            } else if (action < 52) {
                // The requesting controller's own view of the state advances.
                requesterRevision = Math.max(requesterRevision, revision - random.nextInt(200));
            } else if (action < 75) {
                requester.requestPromises(5, requesterRevision);
            } else if (!answersInTransit.isEmpty()) {
                int index = random.nextInt(answersInTransit.size());
                PeerMessage message =
                        random.nextInt(5) == 0 ? answersInTransit.get(index) : answersInTransit.remove(index);
                if (random.nextInt(4) > 0 && message instanceof PeerMessage.Promise grant) {
                    requester.applyReport(grant, cancellation -> reportedRevisions.add(cancellation.revision()));
                }
                if (answersInTransit.size() > 30) {
                    answersInTransit.subList(0, 20).clear();
                }
            }
            long knownBefore = requester.cancellationsKnownBefore();
            stepsWithKnownTime += knownBefore > 0 ? 1 : 0;
            for (OtherController other : othersByHost.values()) {
                long currentRequesterRevision = requesterRevision;
                other.confirmedAtByRevision.forEach((confirmedRevision, confirmedAt) -> assertTrue(
                        confirmedAt >= knownBefore
                                || confirmedRevision <= currentRequesterRevision
                                || reportedRevisions.contains(confirmedRevision),
                        () -> confirmedRevision + " confirmed by " + other.host + " at " + confirmedAt
                                + " is missing, although all confirmations are claimed to be known before "
                                + knownBefore));
            }
        }
        assertTrue(
                stepsWithKnownTime > 1_000,
                "steps with a known time, expected more than 1000, found " + stepsWithKnownTime);
    }

    /** A request for a promise, delivered to its recipient in encoded form. */
    private final class AddressedRequest {
        private final String recipientHost;
        private final PeerMessage message;

        AddressedRequest(String recipientHost, PeerMessage message) {
            this.recipientHost = recipientHost;
            this.message = message;
        }

        PeerMessage deliver() {
            othersByHost
                    .get(recipientHost)
                    .promises
                    .answerRequest((PeerMessage.PromiseRequest) encodeAndDecode(message), () -> false);
            return message;
        }
    }

    private static PeerMessage encodeAndDecode(PeerMessage message) {
        try {
            return PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(message.encode())));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    @DisplayName(
            "a grant of an earlier version is decoded without a report and proves nothing; a truncated grant is rejected")
    void grantWithoutReportIsDecodedAndTruncatedGrantIsRejected() throws IOException {
        byte[] grant = new PeerMessage.Promise("rig-1", 3, 4, null).encode();
        byte[] withoutReport = java.util.Arrays.copyOf(grant, grant.length - 1);
        assertEquals(
                new PeerMessage.Promise("rig-1", 3, 4, null),
                PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(withoutReport))));
        PeerMessage.Promise grantWithReport = new PeerMessage.Promise(
                "rig-1",
                3,
                4,
                new PeerMessage.CancellationReport(
                        9,
                        0,
                        2,
                        true,
                        List.of(
                                new CancellationLog.Cancellation(7, "job-000007"),
                                new CancellationLog.Cancellation(8, "job-000008"))));
        assertEquals(grantWithReport, encodeAndDecode(grantWithReport));
        byte[] encoded = grantWithReport.encode();
        for (int length = withoutReport.length + 1; length < encoded.length; length++) {
            byte[] truncated = java.util.Arrays.copyOf(encoded, length);
            assertThrows(
                    IOException.class,
                    () -> PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(truncated))));
        }
    }

    @Test
    @DisplayName("a cancellation received before the job itself cancels the job on its arrival")
    void jobIsCancelledOnArrivalWhenItsCancellationCameFirst() {
        JobTable table = new JobTable(loop::now, id -> {});
        table.cancellationReported("job-000009", 9);
        table.keyChanged("job-000009", StoredJobCodec.accepted(spec(9), 0), 5);
        assertEquals(Job.Status.CANCELLED, table.get("job-000009").status());
        assertEquals(List.of(), table.activeJobs());
        assertEquals(
                List.of(new CancellationLog.Cancellation(9, "job-000009")),
                table.cancellations().pageAfter(0, 0).cancellations());
        table.keyChanged("job-000009", Json.object().put("ended", "CANCELLED").put("takes", 1), 9);
        assertEquals(1, table.cancellations().count());
    }

    @Test
    @DisplayName("the freshness limit leaves one worker lease before cancel_s has passed, in every deployment")
    void freshnessLimitLeavesOneWorkerLeaseBeforeCancelLimit() {
        double[][] deployments = {{30, 10}, {45, 20}, {40, 10}, {46.5, 26.5}, {47, 22}};
        for (double[] limits : deployments) {
            long freshnessMs = ElectionSettings.freshnessLimitMs(limits[0], limits[1], 3_000);
            assertTrue(freshnessMs > 3_000, freshnessMs + " ms with cancel_s=" + limits[0]);
            assertTrue(
                    freshnessMs * 1.0005 + limits[1] * 1_000.5 + 500 < limits[0] * 1_000 * 0.9995,
                    freshnessMs + " ms with cancel_s=" + limits[0]);
        }
        assertEquals(
                3_000,
                ElectionSettings.freshnessLimitMs(15, 20, 3_000),
                "settings that leave too little time fall back to the leader lease");
    }

    @Test
    @DisplayName(
            "a log that has overwritten entries the leader lacks gives no report; a complete one is reported in pages")
    void logReportsInPagesAndGivesNoReportWhenNeededEntriesAreOverwritten() {
        JobTable table = new JobTable(loop::now, id -> {});
        for (long revision = 1; revision <= 6_000; revision++) {
            recordCancellation(table, revision);
        }
        CancellationLog cancellationLog = table.cancellations();
        assertEquals(
                null,
                cancellationLog.pageAfter(0, 1_000),
                "some entries stored after revision 1,000 have been overwritten");
        List<Long> revisions = new ArrayList<>();
        CancellationLog.Page page = cancellationLog.pageAfter(0, 2_000);
        for (int pageCount = 0; !page.complete() && pageCount < 9; pageCount++) {
            page.cancellations().forEach(cancellation -> revisions.add(cancellation.revision()));
            page = cancellationLog.pageAfter(page.endPosition(), 2_000);
        }
        page.cancellations().forEach(cancellation -> revisions.add(cancellation.revision()));
        assertEquals(4_000, revisions.size());
        assertEquals(6_000L, revisions.get(3_999));
    }
}
