package org.landingridge.controller.users;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.config.Settings;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.obs.Metrics;
import org.landingridge.controller.store.Mirror;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.StateClient;
import org.landingridge.net.Http.Exchange;
import org.landingridge.net.Loop;
import org.landingridge.wire.BadMessage;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What users ask: submit, poll, cancel. Any controller serves it; the state service decides. */
public final class JobService {
    private static final Logger LOG = LoggerFactory.getLogger(JobService.class);
    private static final int TRIES = 4;
    private final StateClient client;
    private final Mirror mirror;
    private final Loop loop;
    private final JobTable table;
    private final Settings settings;
    private final Map<String, MachineType> types;
    private final String root;
    private final Metrics metrics;

    /** @param root where jobs are kept in the state service */
    public JobService(StateClient client, Mirror mirror, Loop loop, JobTable table, Settings settings,
            Map<String, MachineType> types, String root, Metrics metrics) {
        this.client = client;
        this.mirror = mirror;
        this.loop = loop;
        this.table = table;
        this.settings = settings;
        this.types = types;
        this.root = root;
        this.metrics = metrics;
    }

    public void submit(Exchange exchange) {
        metrics.submissions.increment();
        JsonNode body = Json.parse(exchange.body());
        String id = body == null || !body.isObject() ? null : Json.text(body, "id");
        JobSpec spec = null;
        String malformed = null;
        try {
            spec = JobSpec.parse(body);
        } catch (BadMessage e) {
            malformed = e.getMessage();
        }
        if (malformed != null && !JobSpec.validId(id)) {
            error(exchange, 400, malformed);
            return;
        }
        if (table.get(id) != null) {
            state(exchange, id);
            return;
        }
        String impossible = malformed == null && !types.isEmpty() ? impossible(spec) : null;
        if (malformed != null || impossible != null) {
            // The job may be known to others already: then it gets 200, whatever else.
            int status = malformed != null ? 400 : 422;
            String why = malformed != null ? malformed : impossible;
            mirror.barrier(() -> {
                Job known = table.get(id);
                if (known != null) {
                    exchange.answer(200, describe(known));
                } else {
                    error(exchange, status, why);
                }
            }, () -> busy(exchange, "the state service does not answer"));
        } else if (types.isEmpty()) {
            busy(exchange, "the machine types are not known yet");
        } else {
            put(exchange, spec, 0);
        }
    }

    /** Why the job can never run, or null. */
    private String impossible(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return "field crew: there is no team " + spec.team();
        }
        if (types.values().stream().noneMatch(t -> t.fits(spec))) {
            return "a task fits no allowed machine type";
        }
        int together = spec.service() ? spec.tasks() : 1;
        if (team.cpusMax() > 0 && spec.cpus() * together > team.cpusMax() + 1e-6
                || team.gpusMax() > 0 && spec.gpus() * together > team.gpusMax() + 1e-6) {
            return "the job needs more than the limit of team " + spec.team();
        }
        return null;
    }

    private void put(Exchange exchange, JobSpec spec, int tries) {
        String key = root + spec.id();
        ObjectNode value = JobTable.accepted(spec, loop.timeOfDay());
        client.commit(List.of(new Guard(key, 0)), List.of(new Write(key, value, 0)), answer -> {
            switch (answer.status()) {
                case OK -> {
                    mirror.committed(key, answer.revision());
                    table.changed(spec.id(), value, answer.revision());
                    exchange.answer(201, describe(table.get(spec.id())));
                }
                case CONFLICT -> state(exchange, spec.id());
                case UNKNOWN -> {
                    // The same conditional put once more: it settles whether the first was carried out.
                    if (tries < 1) {
                        put(exchange, spec, tries + 1);
                    } else {
                        busy(exchange, "the state service does not answer");
                    }
                }
                default -> busy(exchange, "the state service refuses");
            }
        });
    }

    /** Answers with the job's present state, past a barrier. */
    private void state(Exchange exchange, String id) {
        Job known = table.get(id);
        if (known != null && !known.active()) {
            exchange.answer(200, describe(known));
            return;
        }
        mirror.barrier(() -> {
            Job job = table.get(id);
            if (job == null) {
                error(exchange, 404, "no such job");
            } else {
                exchange.answer(200, describe(job));
            }
        }, () -> busy(exchange, "the state service does not answer"));
    }

    public void poll(Exchange exchange, String id) {
        state(exchange, id);
    }

    public void cancel(Exchange exchange, String id) {
        Job known = table.get(id);
        if (known != null && !known.active()) {
            exchange.answer(200, ended(known));
            return;
        }
        mirror.barrier(() -> cancel(exchange, id, 0), () -> busy(exchange, "the state service does not answer"));
    }

    private void cancel(Exchange exchange, String id, int tries) {
        Job job = table.get(id);
        if (job == null) {
            error(exchange, 404, "no such job");
            return;
        }
        if (!job.active()) {
            exchange.answer(200, ended(job));
            return;
        }
        if (tries >= TRIES) {
            busy(exchange, "the state service does not answer");
            return;
        }
        String key = root + id;
        ObjectNode value = JobTable.ended(job, Job.Status.CANCELLED);
        client.commit(List.of(new Guard(key, mirror.version(key))), List.of(new Write(key, value, 0)), answer -> {
            if (answer.ok()) {
                mirror.committed(key, answer.revision());
                table.end(job, Job.Status.CANCELLED, job.tasks(), true);
                LOG.info("{} is cancelled", id);
                exchange.answer(200, ended(job));
            } else if (answer.status() == Status.CONFLICT || answer.status() == Status.UNKNOWN) {
                mirror.barrier(() -> cancel(exchange, id, tries + 1),
                        () -> busy(exchange, "the state service does not answer"));
            } else {
                busy(exchange, "the state service refuses");
            }
        });
    }

    private static byte[] ended(Job job) {
        String status = job.status() == Job.Status.DONE ? "done" : "cancelled";
        return Json.bytes(Json.object().put("id", job.id()).put("status", status));
    }

    private static byte[] describe(Job job) {
        String status = switch (job.status()) {
            case DONE -> "done";
            case CANCELLED -> "cancelled";
            case ACCEPTED -> job.running() > 0 ? "running" : "queued";
        };
        return Json.bytes(Json.object().put("id", job.id()).put("status", status).put("done", job.doneCount())
                .put("running", job.running()));
    }

    /** Refused for now, at once, with the time to come back. */
    private void busy(Exchange exchange, String why) {
        metrics.refused.increment();
        exchange.answer(503, Json.bytes(Json.object().put("error", why)), 1);
    }

    private static void error(Exchange exchange, int status, String why) {
        exchange.answer(status, Json.bytes(Json.object().put("error", why)));
    }
}
