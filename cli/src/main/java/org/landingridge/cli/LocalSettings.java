package org.landingridge.cli;

import java.util.List;
import org.landingridge.emulator.EmulatedWorker;

/**
 * The settings files of the controllers on this machine.
 *
 * @param controllers their names and addresses for users
 * @param peerPorts   their ports for each other
 * @param cloud       address of the emulated cloud
 * @param state       address of the emulated state service
 * @param heartbeatS  seconds between two heartbeats of a worker
 * @param leaseS      a worker's lease, in seconds
 */
record LocalSettings(
        List<EmulatedWorker.ControllerAddress> controllers,
        List<Integer> peerPorts,
        String cloud,
        String state,
        double heartbeatS,
        double leaseS) {

    /** The file of one controller. */
    String of(int index) {
        StringBuilder text = new StringBuilder(own(index));
        for (int peer = 0; peer < controllers.size(); peer++) {
            if (peer != index) {
                text.append(known(peer));
            }
        }
        return text.append(cluster()).toString();
    }

    private String own(int index) {
        return String.format("""
                host_name = "rig-%d"
                zone = "a"
                serve_on = "%s"
                back = "127.0.0.1:%d"
                """, index, controllers.get(index).addr(), peerPorts.get(index));
    }

    private String known(int peer) {
        return String.format("""
                [[known]]
                host_name = "rig-%d"
                zone = "a"
                endpoint = "127.0.0.1:%d"
                """, peer, peerPorts.get(peer));
    }

    private String cluster() {
        return String.format("""
                [external]
                cloud = "%s"
                state = "%s"
                [cluster]
                count = %d
                zones = ["a", "b"]
                skew_ms = 25.0
                [[cluster.teams]]
                name = "local"
                cpus = 16.0
                cpus_max = 0.0
                gpus = 0.0
                gpus_max = 0.0
                [cluster.workers]
                report_s = %.1f
                lease_s = %.1f
                cancel_s = 30.0
                [cluster.state]
                rps = 500.0
                write_rps = 100.0
                value_kb = 4.0
                txn_ops = 8
                [cluster.cloud]
                rps = 10.0
                list_lag_s = 2.0
                [cluster.machine_limits]
                cpu = 1.0
                mem_mb = 200.0
                max_connections = 1000
                """, cloud, state, controllers.size(), heartbeatS, leaseS);
    }
}
