package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.history.Compactor;
import org.landingridge.controller.history.History;
import org.landingridge.controller.history.Segment;
import org.landingridge.controller.history.SegmentAddress;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.controller.upgrade.Capabilities;
import org.landingridge.emulator.EmulatedStateService;
import org.landingridge.emulator.Simulation;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;

/**
 * Guards against moves that lose jobs or use outdated data: two controllers that both act as the leader, and a key that changes
 * before its job is moved. Each test has a counter-check without the condition that prevents the fault.
 */
class ConcurrentCompactorsTest {
    private static final int JOB_COUNT = 1_000;

    private final Simulation sim = new Simulation(5);
    private final EmulatedStateService stateService = new EmulatedStateService(sim.host("state"));

    /** Starts a compactor that moves either the jobs with even numbers or those with odd ones. */
    private void startCompactor(String name, boolean keepsOddJobs, long leaderKeyVersion) {
        Simulation.Host host = sim.host(name);
        StateClient client = new StateClient(sim.client(host), "state");
        Metrics metrics = new Metrics(host::nanos);
        History[] history = new History[1];
        Capabilities[] capabilities = new Capabilities[1];
        JobTable table = new JobTable(host::now, id -> {});
        WatchCache watchCache =
                new WatchCache(client, host, Keys.ROOT, "lr", 30, metrics.busy, (key, value, version) -> {
                    if (key.startsWith(Keys.JOBS)) {
                        table.changed(key.substring(Keys.JOBS.length()), value, version);
                    } else if (key.startsWith(SegmentAddress.ROOT)) {
                        history[0].changed(key, value, version);
                    } else if (key.startsWith(Capabilities.ROOT)) {
                        capabilities[0].changed(key, value);
                    }
                });
        history[0] = new History(client, watchCache, metrics);
        capabilities[0] = new Capabilities(client, watchCache, host, name, List.of("a", "b"));
        Compactor compactor = new Compactor(
                new Compactor.Dependencies(client, watchCache, host, table, history[0], capabilities[0], metrics),
                new Compactor.Owner() {
                    @Override
                    public boolean mayAct() {
                        return true;
                    }

                    @Override
                    public boolean busy() {
                        return false;
                    }

                    @Override
                    public Set<String> needed() {
                        Set<String> keptJobs = new HashSet<>();
                        for (int i = keepsOddJobs ? 1 : 0; i < JOB_COUNT; i += 2) {
                            keptJobs.add(id(i));
                        }
                        return keptJobs;
                    }
                },
                () -> leaderKeyVersion,
                new Settings.State(1_000, 400, 4, 8),
                0.5);
        watchCache.start();
        compactor.start();
    }

    private static String id(int number) {
        return String.format("job-%06d", number);
    }

    /** Without the condition on the segment's version, each compactor's write drops jobs that the other one moved. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void movesAreLostOnlyWithoutSegmentConditionWhenTwoCompactorsRun(boolean ignoresCondition)
            throws InvalidMessageException {
        seedTerminatedJobs();
        long leaderKeyVersion = JOB_COUNT + 3;
        if (ignoresCondition) {
            stateService.ignoreGuards(SegmentAddress.ROOT);
        }
        startCompactor("a", true, leaderKeyVersion);
        startCompactor("b", false, leaderKeyVersion);
        sim.run(200_000);
        int movedJobs = 0;
        int lostJobs = 0;
        for (int i = 0; i < JOB_COUNT; i++) {
            SegmentAddress address = SegmentAddress.of(id(i));
            var segmentValue = stateService.value(address.key());
            var ended = segmentValue == null ? null : Segment.read(segmentValue).get(address.offset());
            boolean hasOwnKey = stateService.value(Keys.JOBS + id(i)) != null;
            movedJobs += ended != null ? 1 : 0;
            lostJobs += ended == null && !hasOwnKey ? 1 : 0;
            assertTrue(ended == null || ended.tasks() == 1 + i % 200, id(i) + " ended as " + ended);
        }
        if (ignoresCondition) {
            assertTrue(lostJobs > 0, "no job was lost without the segment condition");
        } else {
            assertEquals(0, lostJobs);
            assertTrue(movedJobs > 700, movedJobs + " moved");
        }
    }

    /** Writes the job keys, two capability records and last the leader key, whose version is therefore JOB_COUNT + 3. */
    private void seedTerminatedJobs() {
        sim.listen("state", sim.host("state"), stateService);
        for (int i = 0; i < JOB_COUNT; i++) {
            stateService.seed(
                    Keys.JOBS + id(i), Json.object().put("ended", "DONE").put("takes", 1 + i % 200));
        }
        stateService.seed(Capabilities.ROOT + "a", Json.object().put("history", 1));
        stateService.seed(Capabilities.ROOT + "b", Json.object().put("history", 1));
        stateService.seed(Keys.LEADER, Json.object().put("host", "a"));
    }

    private int countMoved(int from, int to) throws InvalidMessageException {
        int moved = 0;
        for (int i = from; i < to; i += 2) {
            SegmentAddress address = SegmentAddress.of(id(i));
            var segmentValue = stateService.value(address.key());
            moved += segmentValue != null && Segment.read(segmentValue).get(address.offset()) != null ? 1 : 0;
        }
        return moved;
    }

    /** A former leader that still believes it leads uses an outdated version of the leader key. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void formerLeaderMovesJobsOnlyWithoutLeaderKeyCondition(boolean ignoresCondition) throws InvalidMessageException {
        seedTerminatedJobs();
        if (ignoresCondition) {
            stateService.ignoreGuards(Keys.LEADER);
        }
        startCompactor("a", true, JOB_COUNT + 2);
        sim.run(60_000);
        assertEquals(ignoresCondition, countMoved(0, JOB_COUNT) > 0);
    }

    /** A job whose key changed after it was read must not be moved, because the segment would record the outdated value. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void jobWithChangedKeyMovesOnlyWithoutJobKeyCondition(boolean ignoresCondition) throws InvalidMessageException {
        seedTerminatedJobs();
        if (ignoresCondition) {
            stateService.ignoreGuards(Keys.JOBS);
        }
        Simulation.Host writerHost = sim.host("other");
        rewriteFirstJobKeys(writerHost, new StateClient(sim.client(writerHost), "state"));
        startCompactor("a", true, JOB_COUNT + 3);
        sim.run(60_000);
        assertEquals(ignoresCondition, countMoved(0, 8) > 0);
    }

    /** Rewrites the first jobs' keys every 5 ms, which is more often than the watch reports changes. */
    private static void rewriteFirstJobKeys(Simulation.Host host, StateClient client) {
        for (int i = 0; i < 8; i++) {
            client.commit(
                    List.of(),
                    List.of(new Write(
                            Keys.JOBS + id(i),
                            Json.object().put("ended", "DONE").put("takes", 1 + i),
                            0)),
                    answer -> {});
        }
        host.after(5, () -> rewriteFirstJobKeys(host, client));
    }
}
