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

/** Checks whether a well-formed job could ever run, given the current configuration and the machine types of the cloud. */
final class SubmissionValidator {
    /** Tolerance for rounding errors in sums of CPUs or GPUs. */
    private static final double TOLERANCE = 1e-6;

    private final ConfigurationView configuration;
    private final Map<String, MachineType> machineTypes;
    private final int maxValueBytes;
    private final EventLoop loop;

    /**
     * @param machineTypes  machine types by name; empty until the cloud has listed them
     * @param maxValueBytes largest value that the state service accepts, in bytes
     */
    SubmissionValidator(
            ConfigurationView configuration, Map<String, MachineType> machineTypes, int maxValueBytes, EventLoop loop) {
        this.configuration = configuration;
        this.machineTypes = machineTypes;
        this.maxValueBytes = maxValueBytes;
        this.loop = loop;
    }

    /** Returns true once the machine types are known. */
    boolean knowsMachineTypes() {
        return !machineTypes.isEmpty();
    }

    /** Returns the reason why the job can never run, or empty if it can. */
    Optional<String> rejectionReason(JobSpec spec) {
        ConfiguredTeam team = configuration.current().teams().get(spec.team());
        if (team == null) {
            return Optional.of("field crew: there is no team " + spec.team());
        }
        if (team.isRemoved()) {
            return Optional.of("field crew: team " + spec.team() + " has been removed");
        }
        if (machineTypes.values().stream().noneMatch(type -> type.fits(spec))) {
            return Optional.of("a task fits no allowed machine type");
        }
        if (exceedsTeamLimits(spec, team.limits())) {
            return Optional.of("the job exceeds the limit of team " + spec.team());
        }
        if (Json.bytes(StoredJobCodec.accepted(spec, loop.timeOfDay())).length > maxValueBytes) {
            return Optional.of("the job description is larger than the limit of " + maxValueBytes + " bytes");
        }
        return Optional.empty();
    }

    /** A service runs all its tasks at once; any other job needs room for at least one task. */
    private static boolean exceedsTeamLimits(JobSpec spec, Settings.Team limits) {
        int concurrentTasks = spec.service() ? spec.tasks() : 1;
        boolean exceedsCpus = limits.cpusMax() > 0 && spec.cpus() * concurrentTasks > limits.cpusMax() + TOLERANCE;
        boolean exceedsGpus = limits.gpusMax() > 0 && spec.gpus() * concurrentTasks > limits.gpusMax() + TOLERANCE;
        return exceedsCpus || exceedsGpus;
    }
}
