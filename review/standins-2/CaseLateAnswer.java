import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A machine hangs and goes on just before the cloud takes it back for its silence. What it sends is on the way when the cloud
 * confirms the return, and arrives half a second later. The job that it ran then has to run on another machine.
 */
public final class CaseLateAnswer {
    private static final double MOST_S = 80;

    public static void main(String[] args) throws Exception {
        Rec.open(Path.of(args[0], "record.txt"));
        Cases.Setup setup = new Cases.Setup();
        setup.zones = List.of("perth-east");
        setup.reportS = 3;
        setup.leaseS = 20;
        setup.cancelS = 45;
        setup.listLagS = 6;
        setup.rps = 80;
        setup.writeRps = 15;
        setup.bootS = 2;
        setup.teams = List.of("wayfinders");
        setup.cpus = 0;
        setup.cpusMax = 0;
        Cases cases = new Cases(setup, Path.of(args[1]));
        cases.cloud.capacity.put(Cloud.pool("perth-east", false), 5);
        Worker machine = cases.cloud.add("perth-east", false);
        machine.boot();
        if (!cases.startAll()) {
            Cases.exit(2, "the controllers did not become ready");
        }
        String kept = "job-000501";
        String other = "job-000502";
        if (!cases.submit(job(kept, 30)) || !cases.submit(job(other, 300))) {
            Cases.exit(2, "a job was not accepted");
        }
        if (!Cases.until(15, () -> setup.truth.places.size() == 2)) {
            Cases.exit(2, "the jobs did not start");
        }
        Cases.sleep(1);
        if (Cases.trouble()) {
            hang(cases, machine, other);
        }
        cases.submit(job("job-000503", 300));
        double end = Rec.now() + MOST_S;
        while (Rec.now() < end) {
            Cases.sleep(5);
            Web.Reply reply = cases.poll(0, kept);
            if (setup.truth.done.contains(kept + "/0")) {
                Cases.exit(0, kept + " has run");
            }
        }
        boolean runs = setup.truth.places.containsKey(kept + "/0");
        Cases.exit(runs ? 0 : 1, kept + (runs ? " runs" : " is accepted and was not started again"));
    }

    private static void hang(Cases cases, Worker machine, String other) throws Exception {
        Rec.log("%s hangs", machine.id);
        machine.hangs = true;
        cases.cloud.onReturn = () -> {
            machine.packetsHeldS = 0.5;
            machine.hangs = false;
            Rec.log("%s goes on", machine.id);
        };
        // The user cancels the other job while the controllers wait for the machine's answer to their second call.
        if (!Cases.until(20, () -> machine.callsInHang.get() >= 2)) {
            Cases.exit(2, "the machine was not called");
        }
        Cases.sleep(0.7);
        Web.Reply reply = Web.call("POST", cases.setup.nodes.get(0), "/api/jobs/" + other + "/cancel", "", 5);
        Rec.log("user: cancels %s: %s", other, reply);
        if (!Cases.until(20, () -> !cases.cloud.machines.containsKey(machine.id))) {
            Cases.exit(2, "the machine was not returned");
        }
        Cases.sleep(1);
    }

    private static Map<String, Object> job(String id, double runS) {
        Map<String, Object> job = Cases.job(id, "tripreplay", "wayfinders", "sweep", 1, 1.0);
        job.put("memoryGb", 1.7);
        job.put("runtimeS", runS);
        return job;
    }
}
