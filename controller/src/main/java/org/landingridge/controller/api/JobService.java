package org.landingridge.controller.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.landingridge.controller.history.SegmentAddress;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.liveconfig.ConfigurationView;
import org.landingridge.controller.liveconfig.ConfiguredTeam;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What users ask: submit, poll, cancel. Any controller serves it; the state service decides. */
public final class JobService {
    private static final Logger LOG = LoggerFactory.getLogger(JobService.class);
    private static final int TRIES = 4;
    /** A team that submits more than its share is asked to come back after so many seconds. */
    private static final int FLOOD_S = 2;
    /** Of the state service's changes: the leader's writes take the other half. */
    private static final double SHARE = 0.5;

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final JobTable table;
    private final Settings settings;
    private final Map<String, MachineType> types;
    private final JobLookup lookup;
    private final ConfigurationView configuration;
    private final BooleanSupplier pipelines;
    private final Metrics metrics;
    private final AdmissionControl admission;
    private final FairQueue turns;

    /** @param pipelines whether every controller runs a version that heeds what a job awaits */
    public JobService(
            StateClient client,
            WatchCache watchCache,
            EventLoop loop,
            JobTable table,
            JobLookup lookup,
            ConfigurationView configuration,
            Settings settings,
            Map<String, MachineType> types,
            BooleanSupplier pipelines,
            Metrics metrics) {
        this.client = client;
        this.watchCache = watchCache;
        this.loop = loop;
        this.table = table;
        this.settings = settings;
        this.types = types;
        this.lookup = lookup;
        this.configuration = configuration;
        this.pipelines = pipelines;
        this.metrics = metrics;
        this.turns = new FairQueue(loop::now);
        this.admission = new AdmissionControl(
                loop::now,
                settings.stateLimits().writeRps(),
                SHARE,
                settings.peers().size() + 1);
    }

    /** A sign of life of the leader, which may come short of changes. */
    public void leaderHeard(boolean comesShort) {
        admission.heard(comesShort);
    }

    public void submit(Exchange exchange) {
        metrics.submissions.increment();
        JsonNode body = Json.parse(exchange.body());
        String id = body == null || !body.isObject() ? null : Json.text(body, "id");
        JobSpec spec = null;
        String malformed = null;
        try {
            spec = JobSpec.parse(body);
        } catch (InvalidMessageException e) {
            malformed = e.getMessage();
        }
        if (malformed != null && !JobSpec.validId(id)) {
            error(exchange, 400, malformed);
            return;
        }
        JobSpec wanted = spec;
        String wrong = malformed;
        if (table.get(id) != null) {
            lookup.find(id, new Told(exchange, id, () -> judge(exchange, id, wanted, wrong)));
        } else {
            judge(exchange, id, wanted, wrong);
        }
    }

    private void judge(Exchange exchange, String id, JobSpec spec, String malformed) {
        String impossible = malformed == null && !types.isEmpty() ? impossible(spec) : null;
        if (malformed != null || impossible != null) {
            // The job may be known to others already: then it gets 200, whatever else.
            lookup.find(id, new Told(exchange, id, () -> refuse(exchange, spec, malformed)));
        } else if (types.isEmpty()) {
            busy(exchange, "the machine types are not known yet");
        } else if (spec.awaits().isEmpty()) {
            accept(exchange, spec, StoredJobCodec.accepted(spec, loop.timeOfDay()), 0);
        } else if (!pipelines.getAsBoolean()) {
            // A leader of an earlier version would start its tasks at once.
            busy(exchange, "not every controller knows yet that jobs can await others");
        } else {
            new AwaitedCheck(exchange, spec).start();
        }
    }

    /** The job is unknown as of the call. What made it impossible may have been changed by an operator a moment ago. */
    private void refuse(Exchange exchange, JobSpec spec, String malformed) {
        String impossible = malformed == null ? impossible(spec) : null;
        if (malformed != null) {
            error(exchange, 400, malformed);
        } else if (impossible != null) {
            error(exchange, 422, impossible);
        } else {
            busy(exchange, "the configuration has just changed");
        }
    }

    /**
     * Looks up the jobs that a submission names. Those that are done already need not be awaited, and the history may forget
     * them for it; if one is cancelled the job is accepted as cancelled.
     */
    private final class AwaitedCheck {
        private final Exchange exchange;
        private final JobSpec spec;
        private final Set<String> unfinished = new LinkedHashSet<>();
        private int left;
        private boolean cancelled;
        private String absent;
        private String service;
        private String unavailable;

        AwaitedCheck(Exchange exchange, JobSpec spec) {
            this.exchange = exchange;
            this.spec = spec;
            this.left = spec.awaits().size();
        }

        void start() {
            for (String id : spec.awaits()) {
                lookup.find(id, new JobLookup.Finding() {
                    @Override
                    public void live(Job job) {
                        service = job.spec().service() ? id : service;
                        unfinished.add(id);
                        checked();
                    }

                    @Override
                    public void over(TerminatedJob ended) {
                        cancelled |= ended.how() == Job.Status.CANCELLED;
                        checked();
                    }

                    @Override
                    public void absent() {
                        absent = id;
                        checked();
                    }

                    @Override
                    public void unavailable(String why) {
                        unavailable = why;
                        checked();
                    }
                });
            }
        }

        private void checked() {
            if (--left > 0) {
                return;
            }
            if (absent != null) {
                refused("field awaits: there is no job " + absent);
            } else if (service != null) {
                refused("field awaits: " + service + " is a service, which is never done");
            } else if (unavailable != null) {
                busy(exchange, unavailable);
            } else if (cancelled) {
                accept(exchange, spec, StoredJobCodec.cancelled(spec), 0);
            } else {
                JobSpec waiting = spec.awaiting(unfinished);
                accept(exchange, waiting, StoredJobCodec.accepted(waiting, loop.timeOfDay()), 0);
            }
        }

        /** A job that is known already gets 200, whatever its repeated submission names. */
        private void refused(String why) {
            lookup.find(spec.id(), new Told(exchange, spec.id(), () -> error(exchange, 422, why)));
        }
    }

    /** Why the job can never run, or null. */
    private String impossible(JobSpec spec) {
        ConfiguredTeam configured = configuration.current().teams().get(spec.team());
        if (configured == null) {
            return "field crew: there is no team " + spec.team();
        }
        if (configured.removed()) {
            return "field crew: team " + spec.team() + " has been removed";
        }
        Settings.Team team = configured.limits();
        if (types.values().stream().noneMatch(t -> t.fits(spec))) {
            return "a task fits no allowed machine type";
        }
        int together = spec.service() ? spec.tasks() : 1;
        if (team.cpusMax() > 0 && spec.cpus() * together > team.cpusMax() + 1e-6
                || team.gpusMax() > 0 && spec.gpus() * together > team.gpusMax() + 1e-6) {
            return "the job needs more than the limit of team " + spec.team();
        }
        if (Json.bytes(StoredJobCodec.accepted(spec, loop.timeOfDay())).length
                > settings.stateLimits().valueBytes()) {
            return "its description takes more than the "
                    + settings.stateLimits().valueBytes() + " bytes that can be stored";
        }
        return null;
    }

    /**
     * Accepts the job where it is neither among the live ones nor in the history. Both are conditions of the one put: that
     * the job's key does not exist would take a late retry of a job that has ended, and left that key, for a new job, and
     * run it again.
     */
    private void accept(Exchange exchange, JobSpec spec, ObjectNode record, int tries) {
        if (tries >= TRIES) {
            busy(exchange, "the history of this range of jobs changes too often");
            return;
        }
        if (tries == 0) {
            if (!turns.admit(spec.team())) {
                busy(exchange, "more is submitted than can be stored now, most of it by this team", FLOOD_S);
                return;
            }
            if (!admission.admit()) {
                turns.refused();
                busy(exchange, "more is submitted than can be stored now", admission.comeBackS());
                return;
            }
        }
        Told told = new Told(exchange, spec.id(), () -> {});
        lookup.past(
                spec.id(),
                told,
                found -> told.over(found.ended()),
                found -> put(exchange, spec, record, found.version(), tries, false));
    }

    private void put(
            Exchange exchange, JobSpec spec, ObjectNode record, long segmentVersion, int tries, boolean again) {
        String key = Keys.JOBS + spec.id();
        String segment = SegmentAddress.of(spec.id()).key();
        client.commit(
                List.of(new Guard(key, 0), new Guard(segment, segmentVersion)),
                List.of(new Write(key, record, 0)),
                answer -> {
                    switch (answer.status()) {
                        case OK -> {
                            if (answer.revision() > watchCache.revision()) {
                                watchCache.committed(key, answer.revision());
                                table.changed(spec.id(), record, answer.revision());
                            }
                            boolean cancelled =
                                    StoredJobCodec.termination(record).isPresent();
                            exchange.answer(201, describe(spec.id(), cancelled ? "cancelled" : "queued", 0, 0));
                        }
                        case CONFLICT -> conflict(exchange, spec, record, tries);
                        case UNKNOWN -> {
                            // The same conditional put once more: it settles whether the first was carried out.
                            if (!again) {
                                put(exchange, spec, record, segmentVersion, tries, true);
                            } else {
                                busy(exchange, "the state service does not answer");
                            }
                        }
                        default -> {
                            if (answer.overRate()) {
                                turns.refused();
                            }
                            busy(exchange, "the state service refuses");
                        }
                    }
                });
    }

    /** The job is there already, or other jobs of its range have moved into the history meanwhile: then once more. */
    private void conflict(Exchange exchange, JobSpec spec, ObjectNode record, int tries) {
        lookup.find(spec.id(), new Told(exchange, spec.id(), () -> accept(exchange, spec, record, tries + 1)));
    }

    public void poll(Exchange exchange, String id) {
        lookup.find(id, new Told(exchange, id, () -> error(exchange, 404, "no such job")));
    }

    public void cancel(Exchange exchange, String id) {
        cancel(exchange, id, 0);
    }

    private void cancel(Exchange exchange, String id, int tries) {
        lookup.find(id, new JobLookup.Finding() {
            @Override
            public void live(Job job) {
                if (tries >= TRIES) {
                    busy(exchange, "the state service does not answer");
                } else {
                    cancel(exchange, job, tries);
                }
            }

            @Override
            public void over(TerminatedJob ended) {
                exchange.answer(200, Json.bytes(Json.object().put("id", id).put("status", name(ended.how()))));
            }

            @Override
            public void absent() {
                error(exchange, 404, "no such job");
            }

            @Override
            public void unavailable(String why) {
                busy(exchange, why);
            }
        });
    }

    private void cancel(Exchange exchange, Job job, int tries) {
        String key = Keys.JOBS + job.id();
        ObjectNode value = StoredJobCodec.terminated(job, Job.Status.CANCELLED);
        client.commit(List.of(new Guard(key, watchCache.version(key))), List.of(new Write(key, value, 0)), answer -> {
            if (answer.ok()) {
                watchCache.committed(key, answer.revision());
                table.end(job, Job.Status.CANCELLED, job.tasks(), answer.revision(), true);
                LOG.info("{} is cancelled", job.id());
                exchange.answer(
                        200, Json.bytes(Json.object().put("id", job.id()).put("status", "cancelled")));
            } else if (answer.status() == Status.CONFLICT || answer.status() == Status.UNKNOWN) {
                cancel(exchange, job.id(), tries + 1);
            } else {
                busy(exchange, "the state service refuses");
            }
        });
    }

    /** Tells the user the job's state wherever it is. */
    private final class Told implements JobLookup.Finding {
        private final Exchange exchange;
        private final String id;
        private final Runnable absent;

        Told(Exchange exchange, String id, Runnable absent) {
            this.exchange = exchange;
            this.id = id;
            this.absent = absent;
        }

        @Override
        public void live(Job job) {
            ObjectNode n = state(id, job.running() > 0 ? "running" : "queued", job.doneCount(), job.running());
            if (!job.ready()) {
                job.awaited().forEach(n.putArray("awaits")::add);
            }
            exchange.answer(200, Json.bytes(n));
        }

        @Override
        public void over(TerminatedJob ended) {
            exchange.answer(200, describe(id, name(ended.how()), ended.tasks(), 0));
        }

        @Override
        public void absent() {
            absent.run();
        }

        @Override
        public void unavailable(String why) {
            busy(exchange, why);
        }
    }

    private static String name(Job.Status how) {
        return how == Job.Status.DONE ? "done" : "cancelled";
    }

    private static byte[] describe(String id, String status, int done, int running) {
        return Json.bytes(state(id, status, done, running));
    }

    private static ObjectNode state(String id, String status, int done, int running) {
        return Json.object()
                .put("id", id)
                .put("status", status)
                .put("done", done)
                .put("running", running);
    }

    /** Refused for now, at once, with the time to come back. */
    private void busy(Exchange exchange, String why) {
        busy(exchange, why, 1);
    }

    private void busy(Exchange exchange, String why, int comeBackS) {
        metrics.refused.increment();
        exchange.answer(503, Json.bytes(Json.object().put("error", why)), comeBackS);
    }

    private static void error(Exchange exchange, int status, String why) {
        exchange.answer(status, Json.bytes(Json.object().put("error", why)));
    }
}
