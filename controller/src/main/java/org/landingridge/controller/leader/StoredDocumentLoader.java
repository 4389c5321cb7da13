package org.landingridge.controller.leader;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.landingridge.controller.cloud.Operation;
import org.landingridge.controller.cloud.Operations;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.fleet.MachineRegistry;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.progress.CompletionStore;
import org.landingridge.controller.store.Keys;
import org.landingridge.wire.ReturnRequest;

/** Loads the documents that earlier leaders stored: finished tasks, the machine registry and cloud operations. */
final class StoredDocumentLoader {
    private static final String PROGRESS = Keys.ROOT + CompletionStore.PREFIX;
    private static final String MACHINES = Keys.ROOT + MachineRegistry.PREFIX;
    private static final String OPERATIONS = Keys.ROOT + Operation.PREFIX;

    private final LeaderContext context;
    private final JobTable table;
    private final Fleet fleet;
    private final MachineRegistry registry;
    private final CompletionStore progress;
    private final Operations operations;

    StoredDocumentLoader(
            LeaderContext context,
            Fleet fleet,
            MachineRegistry registry,
            CompletionStore progress,
            Operations operations) {
        this.context = context;
        this.table = context.table();
        this.fleet = fleet;
        this.registry = registry;
        this.progress = progress;
        this.operations = operations;
    }

    /**
     * Loads all documents. The order of the steps matters, since each step uses what the earlier steps have loaded.
     *
     * @param stored the documents by key
     * @param seenAt when this process first saw the current version of each document, by key and the event loop's clock
     */
    void load(Map<String, JsonNode> stored, Map<String, Long> seenAt) {
        readFinishedTasks(stored);
        for (Job job : table.active()) {
            fleet.jobAccepted(job);
        }
        takeOverPages(stored, seenAt);
        takeOverOperations(stored);
        fleet.jobs().forEach(progress::takeOver);
        registry.splitOversized();
        progress.splitOversized();
    }

    /**
     * Reads the finished tasks into the job table. A process that has just started read them before their jobs, since documents
     * are read in key order. If they were not read again here, it would start all tasks of those jobs again.
     */
    private void readFinishedTasks(Map<String, JsonNode> stored) {
        stored.forEach((key, value) -> {
            if (key.startsWith(PROGRESS)) {
                CompletionStore.read(value, table);
            }
        });
    }

    private void takeOverPages(Map<String, JsonNode> stored, Map<String, Long> seenAt) {
        stored.forEach((key, value) -> {
            if (key.startsWith(MACHINES)) {
                registry.takeOver(key, value, seenAt.get(key), context.lead().previousToken());
            } else if (key.startsWith(PROGRESS)) {
                progress.takeOver(key, value, table);
            }
        });
    }

    private void takeOverOperations(Map<String, JsonNode> stored) {
        stored.forEach((key, value) -> {
            if (key.startsWith(OPERATIONS)) {
                operations.takeOver(key.substring(OPERATIONS.length()), value).ifPresent(this::markLeaving);
            }
        });
    }

    private void markLeaving(Operation operation) {
        if (operation.open() && operation.request() instanceof ReturnRequest request) {
            for (String id : request.machines()) {
                Machine machine = fleet.machine(id);
                if (machine != null) {
                    fleet.markLeaving(machine);
                }
            }
        }
    }
}
