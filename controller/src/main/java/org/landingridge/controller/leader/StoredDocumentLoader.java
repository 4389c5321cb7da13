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
    private static final String COMPLETION_PREFIX = Keys.ROOT + CompletionStore.PREFIX;
    private static final String MACHINE_PREFIX = Keys.ROOT + MachineRegistry.PREFIX;
    private static final String OPERATION_PREFIX = Keys.ROOT + Operation.KEY_PREFIX;

    private final LeaderContext context;
    private final JobTable jobTable;
    private final Fleet fleet;
    private final MachineRegistry machineRegistry;
    private final CompletionStore completionStore;
    private final Operations operations;

    StoredDocumentLoader(
            LeaderContext context,
            Fleet fleet,
            MachineRegistry machineRegistry,
            CompletionStore completionStore,
            Operations operations) {
        this.context = context;
        this.jobTable = context.jobTable();
        this.fleet = fleet;
        this.machineRegistry = machineRegistry;
        this.completionStore = completionStore;
        this.operations = operations;
    }

    /**
     * Loads all documents. The order of the steps matters, since each step uses what the earlier steps have loaded.
     *
     * @param documents   the documents by key
     * @param seenAtByKey when this process first saw the current version of each document, by key and the event loop's clock
     */
    void load(Map<String, JsonNode> documents, Map<String, Long> seenAtByKey) {
        readFinishedTasks(documents);
        for (Job job : jobTable.activeJobs()) {
            fleet.jobAccepted(job);
        }
        loadPages(documents, seenAtByKey);
        loadOperations(documents);
        fleet.jobs().forEach(completionStore::takeOver);
        machineRegistry.splitOversized();
        completionStore.splitOversized();
    }

    /**
     * Reads the finished tasks into the job table. A process that has just started read them before their jobs, since documents
     * are read in key order. If they were not read again here, it would start all tasks of those jobs again.
     */
    private void readFinishedTasks(Map<String, JsonNode> documents) {
        documents.forEach((key, document) -> {
            if (key.startsWith(COMPLETION_PREFIX)) {
                CompletionStore.markFinishedTasks(document, jobTable);
            }
        });
    }

    private void loadPages(Map<String, JsonNode> documents, Map<String, Long> seenAtByKey) {
        documents.forEach((key, document) -> {
            if (key.startsWith(MACHINE_PREFIX)) {
                machineRegistry.takeOver(
                        key,
                        document,
                        seenAtByKey.get(key),
                        context.leadership().previousToken());
            } else if (key.startsWith(COMPLETION_PREFIX)) {
                completionStore.takeOver(key, document, jobTable);
            }
        });
    }

    private void loadOperations(Map<String, JsonNode> documents) {
        documents.forEach((key, document) -> {
            if (key.startsWith(OPERATION_PREFIX)) {
                operations
                        .takeOver(key.substring(OPERATION_PREFIX.length()), document)
                        .ifPresent(this::markMachinesLeaving);
            }
        });
    }

    private void markMachinesLeaving(Operation operation) {
        if (operation.isOpen() && operation.request() instanceof ReturnRequest request) {
            for (String machineId : request.machines()) {
                Machine machine = fleet.machine(machineId);
                if (machine != null) {
                    fleet.markLeaving(machine);
                }
            }
        }
    }
}
