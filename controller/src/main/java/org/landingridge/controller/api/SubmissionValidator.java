package org.landingridge.controller.api;

import java.util.Map;
import java.util.Optional;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.liveconfig.ConfigurationView;
import org.landingridge.controller.liveconfig.ConfiguredTeam;
import org.landingridge.controller.settings.Settings;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;

/** Whether a well-formed job can ever run here, by the configuration in force and the machine types. */
final class SubmissionValidator {
    /** What sums of amounts may be off by. */
    private static final double TOLERANCE = 1e-6;

    private final ConfigurationView configuration;
    private final Map<String, MachineType> types;
    private final int valueBytes;
    private final EventLoop loop;

    /**
     * @param types      by name, as the cloud lists them; empty until it has
     * @param valueBytes what the state service takes for a value
     */
    SubmissionValidator(
            ConfigurationView configuration, Map<String, MachineType> types, int valueBytes, EventLoop loop) {
        this.configuration = configuration;
        this.types = types;
        this.valueBytes = valueBytes;
        this.loop = loop;
    }

    /** True once the machine types are known. */
    boolean ready() {
        return !types.isEmpty();
    }

    /** Why the job can never run; empty where it can. */
    Optional<String> impossible(JobSpec spec) {
        ConfiguredTeam configured = configuration.current().teams().get(spec.team());
        if (configured == null) {
            return Optional.of("field crew: there is no team " + spec.team());
        }
        if (configured.removed()) {
            return Optional.of("field crew: team " + spec.team() + " has been removed");
        }
        if (types.values().stream().noneMatch(type -> type.fits(spec))) {
            return Optional.of("a task fits no allowed machine type");
        }
        if (exceeds(spec, configured.limits())) {
            return Optional.of("the job needs more than the limit of team " + spec.team());
        }
        if (Json.bytes(StoredJobCodec.accepted(spec, loop.timeOfDay())).length > valueBytes) {
            return Optional.of("its description takes more than the " + valueBytes + " bytes that can be stored");
        }
        return Optional.empty();
    }

    /** All tasks of a service run at once; of another job one has to fit. */
    private static boolean exceeds(JobSpec spec, Settings.Team limits) {
        int together = spec.service() ? spec.tasks() : 1;
        boolean cpus = limits.cpusMax() > 0 && spec.cpus() * together > limits.cpusMax() + TOLERANCE;
        boolean gpus = limits.gpusMax() > 0 && spec.gpus() * together > limits.gpusMax() + TOLERANCE;
        return cpus || gpus;
    }
}
