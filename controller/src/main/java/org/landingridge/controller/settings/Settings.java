package org.landingridge.controller.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.landingridge.wire.MessageLimits;

/**
 * The file that the platform hands over. Unknown fields are ignored, known ones are checked.
 *
 * @param host        name of this controller's host, unique among the controllers
 * @param zone        its zone; empty where none is given
 * @param listen      address for users and workers
 * @param peerListen  address for the other controllers
 * @param peers       the other controllers
 * @param cloud       address of the cloud's API, {@code host:port}
 * @param state       address of the state service, {@code host:port}
 * @param zones       the cluster's zones
 * @param clockSkewMs most by which two clocks may differ, in milliseconds
 * @param teams       the teams by name, in the file's order
 * @param objectives  what is expected of classes of jobs
 * @param workers     times that workers keep to
 * @param stateLimits limits of the state service, announced ones among them
 * @param cloudLimits limits of the cloud's API
 * @param machine     what this process may use of its machine
 */
public record Settings(
        String host,
        String zone,
        InetSocketAddress listen,
        InetSocketAddress peerListen,
        List<Peer> peers,
        String cloud,
        String state,
        List<String> zones,
        double clockSkewMs,
        Map<String, Team> teams,
        List<Objective> objectives,
        Workers workers,
        State stateLimits,
        Cloud cloudLimits,
        Machine machine) {

    /**
     * Another controller.
     *
     * @param zone empty where none is given
     * @param addr its address for controllers, {@code host:port}
     */
    public record Peer(String host, String zone, String addr) {}

    /**
     * A team's guarantee and limit; 0 means none.
     *
     * @param cpus    processors that the team is guaranteed
     * @param cpusMax processors that it may use
     * @param gpus    GPUs that the team is guaranteed
     * @param gpusMax GPUs that it may use
     */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /**
     * What is expected of a class of jobs.
     *
     * @param kind     what is measured; unknown kinds are kept
     * @param jobClass the class, or null for all jobs
     * @param withinS  the time within which it should happen, in seconds
     * @param share    share of the jobs for which it should
     * @param times    multiple of that time after which the objective counts as missed altogether
     */
    public record Objective(String kind, String jobClass, double withinS, double share, double times) {}

    /**
     * Times that workers keep to, in seconds.
     *
     * @param reportS between two heartbeats
     * @param leaseS  after the last answered heartbeat, how long a worker goes on
     * @param cancelS how long a task that is cancelled may take to end
     */
    public record Workers(double reportS, double leaseS, double cancelS) {}

    /**
     * Limits of the state service that this process keeps to.
     *
     * @param rps      requests a second
     * @param writeRps puts and deletes a second
     * @param valueKb  KiB to a value
     * @param txnOps   puts and deletes to a transaction
     */
    public record State(double rps, double writeRps, double valueKb, int txnOps) {
        /** Largest value of a transaction: the rest of its body is left to keys and guards. */
        private static final int MAX_WRITTEN_BYTES = MessageLimits.MAX_MESSAGE_BYTES - 2 * 1024;

        /** The stricter of each: limits that are announced apply from the start, since they come without notice. */
        State stricter(State next) {
            return new State(
                    Math.min(rps, next.rps),
                    Math.min(writeRps, next.writeRps),
                    Math.min(valueKb, next.valueKb),
                    Math.min(txnOps, next.txnOps));
        }

        /** Bytes to a value; no more than a transaction that writes it can carry. */
        public int valueBytes() {
            return (int) Math.min(valueKb * 1024, MAX_WRITTEN_BYTES);
        }
    }

    /**
     * Limits of the cloud's API.
     *
     * @param rps      requests a second
     * @param listLagS how far its list of machines may be behind, in seconds
     */
    public record Cloud(double rps, double listLagS) {}

    /**
     * What this process may use of its machine.
     *
     * @param cpu            processors
     * @param memoryMb       memory in MB; 0 where none is given
     * @param maxConnections open connections
     */
    public record Machine(double cpu, double memoryMb, int maxConnections) {}

    /**
     * Reads the file.
     *
     * @throws InvalidSettingsException if it cannot be read, or a field is missing or cannot be used
     */
    public static Settings read(Path file) throws InvalidSettingsException {
        return SettingsReader.read(file);
    }
}
