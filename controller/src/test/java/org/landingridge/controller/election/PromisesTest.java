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
    private static final List<String> OTHERS = List.of("rig-1", "rig-2");
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
    /** No controller can use the state service. */
    private final StateClient client =
            new StateClient((addr, method, path, body, timeoutMs, done) -> done.accept(Http.Reply.NOT_SENT), "state");

    private final Map<String, Giver> givers = new LinkedHashMap<>();
    private final List<PeerMessage> toAsker = new ArrayList<>();
    private int incarnations;

    private Promises promises(PeerGroup peers, long incarnation, CancellationLog log, BooleanSupplier stateRead) {
        CancellationReports reports = new CancellationReports(loop, peers.others(), incarnation, log, stateRead);
        return new Promises(client, loop, peers, "leader", reports);
    }

    /** Another controller, with everything that the processes of its host have confirmed to users, across restarts. */
    private final class Giver {
        private final String host;
        private final Map<Long, Long> confirmedAt = new LinkedHashMap<>();
        private JobTable table;
        private boolean whole;
        private Promises promises;

        Giver(String host) {
            this.host = host;
            begin();
            whole = true;
        }

        void begin() {
            table = new JobTable(loop::now, id -> {});
            whole = false;
            PeerGroup peers = new PeerGroup(host, List.of("rig-0"), (to, m) -> toAsker.add(m));
            promises = promises(peers, ++incarnations, table.endings(), () -> whole);
        }

        void read(Map<Long, Long> all) {
            all.keySet().forEach(this::know);
            whole = true;
        }

        void know(long revision) {
            cancel(table, revision);
        }
    }

    private static JobSpec spec(long number) {
        return new JobSpec(
                String.format("job-%06d", number),
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

    private static void cancel(JobTable table, long revision) {
        JobSpec spec = spec(revision);
        if (table.get(spec.id()) == null) {
            table.changed(spec.id(), StoredJobCodec.accepted(spec, 0), 1);
        }
        table.end(table.get(spec.id()), Job.Status.CANCELLED, 1, revision, true);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    @DisplayName(
            "whoever calls a time known has all that was confirmed before: reports lost, late, twice, in pages, from former incarnations")
    void nothingIsMissing(long seed) {
        Random random = new Random(seed);
        Set<Long> here = new HashSet<>();
        List<PeerMessage> asks = new ArrayList<>();
        PeerGroup peers = new PeerGroup("rig-0", OTHERS, (to, m) -> asks.add(new Addressed(to, m).route()));
        Promises asker = promises(peers, 77, new CancellationLog(), () -> true);
        OTHERS.forEach(h -> givers.put(h, new Giver(h)));
        Map<Long, Long> stored = new LinkedHashMap<>();
        long revision = 10;
        long since = 10;
        boolean flood = seed % 2 == 0;
        int knownAdvanced = 0;
        for (int step = 0; step < 3_000; step++) {
            now += random.nextInt(20);
            Giver g = givers.get(OTHERS.get(random.nextInt(2)));
            int what = random.nextInt(100);
            if (what < 40) {
                // The controller confirms a cancellation, or sometimes a large number of them.
                for (int i = flood && random.nextInt(60) == 0 ? 2_500 : 1; i > 0; i--) {
                    stored.put(++revision, now);
                    if (g.whole) {
                        g.know(revision);
                        g.confirmedAt.put(revision, now);
                    }
                }
            } else if (what < 45 && !stored.isEmpty()) {
                // The controller learns of a cancellation that was stored earlier and confirms it too, in any order.
                List<Long> all = new ArrayList<>(stored.keySet());
                long r = all.get(Math.max(0, all.size() - 1 - random.nextInt(50)));
                if (g.whole) {
                    g.know(r);
                    g.confirmedAt.putIfAbsent(r, now);
                }
            } else if (what < 47) {
                g.begin();
            } else if (what < 50 && !g.whole) {
                g.read(stored);
            } else if (what < 52) {
                // The requesting controller's own view of the state advances.
                since = Math.max(since, revision - random.nextInt(200));
            } else if (what < 75) {
                asker.ask(5, since);
            } else if (!toAsker.isEmpty()) {
                int at = random.nextInt(toAsker.size());
                PeerMessage m = random.nextInt(5) == 0 ? toAsker.get(at) : toAsker.remove(at);
                if (random.nextInt(4) > 0 && m instanceof PeerMessage.Grant grant) {
                    asker.reported(grant, e -> here.add(e.revision()));
                }
                if (toAsker.size() > 30) {
                    toAsker.subList(0, 20).clear();
                }
            }
            long known = asker.cancellationsKnownAt();
            knownAdvanced += known > 0 ? 1 : 0;
            for (Giver giver : givers.values()) {
                long view = since;
                giver.confirmedAt.forEach((r, at) -> assertTrue(
                        at >= known || r <= view || here.contains(r),
                        () -> r + " confirmed by " + giver.host + " at " + at
                                + " is missing, though all is known before " + known));
            }
        }
        assertTrue(knownAdvanced > 1_000, "it was known most of the time: " + knownAdvanced);
    }

    /** A request for a promise, delivered to its recipient in encoded form. */
    private final class Addressed {
        private final String to;
        private final PeerMessage message;

        Addressed(String to, PeerMessage message) {
            this.to = to;
            this.message = message;
        }

        PeerMessage route() {
            givers.get(to).promises.asked((PeerMessage.Ask) copy(message), () -> false);
            return message;
        }
    }

    private static PeerMessage copy(PeerMessage m) {
        try {
            return PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(m.encode())));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    @DisplayName("records of an earlier version have no report, and are no proof of anything; cut off ones are refused")
    void earlierVersionsAndNonsense() throws IOException {
        byte[] grant = new PeerMessage.Grant("rig-1", 3, 4, null).encode();
        byte[] before = java.util.Arrays.copyOf(grant, grant.length - 1);
        assertEquals(
                new PeerMessage.Grant("rig-1", 3, 4, null),
                PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(before))));
        PeerMessage.Grant full = new PeerMessage.Grant(
                "rig-1",
                3,
                4,
                new PeerMessage.CancellationReport(
                        9,
                        0,
                        2,
                        true,
                        List.of(
                                new CancellationLog.Ending(7, "job-000007"),
                                new CancellationLog.Ending(8, "job-000008"))));
        assertEquals(full, copy(full));
        byte[] bytes = full.encode();
        for (int cut = before.length + 1; cut < bytes.length; cut++) {
            byte[] part = java.util.Arrays.copyOf(bytes, cut);
            assertThrows(
                    IOException.class, () -> PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(part))));
        }
    }

    @Test
    @DisplayName("a cancellation that is heard of before the job itself ends the job when it comes")
    void cancelledBeforeItIsKnown() {
        JobTable table = new JobTable(loop::now, id -> {});
        table.cancelled("job-000009", 9);
        table.changed("job-000009", StoredJobCodec.accepted(spec(9), 0), 5);
        assertEquals(Job.Status.CANCELLED, table.get("job-000009").status());
        assertEquals(List.of(), table.active());
        assertEquals(
                List.of(new CancellationLog.Ending(9, "job-000009")),
                table.endings().after(0, 0).endings());
        table.changed("job-000009", Json.object().put("ended", "CANCELLED").put("takes", 1), 9);
        assertEquals(1, table.endings().count());
    }

    @Test
    @DisplayName("how long a leader may go on without news leaves a lease before cancel_s is over, on every deployment")
    void freshness() {
        double[][] deployments = {{30, 10}, {45, 20}, {40, 10}, {46.5, 26.5}, {47, 22}};
        for (double[] d : deployments) {
            long fresh = ElectionSettings.freshnessMs(d[0], d[1], 3_000);
            assertTrue(fresh > 3_000, fresh + " ms with " + d[0]);
            assertTrue(fresh * 1.0005 + d[1] * 1_000.5 + 500 < d[0] * 1_000 * 0.9995, fresh + " ms with " + d[0]);
        }
        assertEquals(
                3_000, ElectionSettings.freshnessMs(15, 20, 3_000), "where it cannot be kept, the lead still works");
    }

    @Test
    @DisplayName(
            "a record that has let go of something the leader lacks gives no report; it comes in pages where it has all")
    void theRecordIsBounded() {
        JobTable table = new JobTable(loop::now, id -> {});
        for (long revision = 1; revision <= 6_000; revision++) {
            cancel(table, revision);
        }
        CancellationLog endings = table.endings();
        assertEquals(null, endings.after(0, 1_000), "what was stored after 1,000 is not all there any more");
        List<Long> got = new ArrayList<>();
        CancellationLog.Page page = endings.after(0, 2_000);
        for (int pages = 0; !page.complete() && pages < 9; pages++) {
            page.endings().forEach(e -> got.add(e.revision()));
            page = endings.after(page.to(), 2_000);
        }
        page.endings().forEach(e -> got.add(e.revision()));
        assertEquals(4_000, got.size());
        assertEquals(6_000L, got.get(3_999));
    }
}
