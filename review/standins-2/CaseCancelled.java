import java.nio.file.Path;
import java.util.Map;

/**
 * The state service refuses the leader alone. A user cancels a job that waits for room, through another controller, and is told
 * that it is cancelled. Room becomes free half a second later: no task of the job may be started.
 */
public final class CaseCancelled {
    public static void main(String[] args) throws Exception {
        Rec.open(Path.of(args[0], "record.txt"));
        Cases.Setup setup = new Cases.Setup();
        Cases cases = new Cases(setup, Path.of(args[1]));
        cases.cloud.add("rabat-agdal", false).boot();
        if (!cases.startAll()) {
            Cases.exit(2, "the controllers did not become ready");
        }
        String first = "job-000601";
        String second = "job-000602";
        double runS = 12;
        if (!cases.submit(job(first, runS))
                || !Cases.until(20, () -> setup.truth.firstStart.containsKey(first + "/0"))
                || !cases.submit(job(second, 5))) {
            Cases.exit(2, "the jobs were not accepted, or the first one did not start");
        }
        double endsAt = setup.truth.firstStart.get(first + "/0") + runS;
        Cases.until(endsAt - 0.6 - Rec.now(), () -> false);
        int leader = cases.leader();
        if (leader < 0) {
            Cases.exit(2, "no controller says that it leads");
        }
        if (Cases.trouble()) {
            Rec.log("the state service refuses rig-%d, which leads", leader);
            cases.state.refused.add(leader);
        }
        String other = setup.nodes.get((leader + 1) % 3);
        Web.Reply reply = Web.call("POST", other, "/api/jobs/" + second + "/cancel", "", 5);
        double toldAt = Rec.now();
        Rec.log("user: cancels %s at rig-%d: %s", second, (leader + 1) % 3, reply);
        if (reply == null
                || reply.status() != 200
                || !"cancelled".equals(Json.object(reply.body()).get("status"))) {
            Cases.exit(2, "the cancellation was not confirmed");
        }
        Cases.sleep(12);
        Double started = setup.truth.firstStart.get(second + "/0");
        if (started != null && started > toldAt) {
            Cases.exit(1, String.format(
                    "%s/0 was started %.2f s after its user was told that it is cancelled", second, started - toldAt));
        }
        if (!setup.truth.done.contains(first + "/0")) {
            Cases.exit(2, "the first job did not end, so no room became free");
        }
        Cases.exit(0, "the cancelled job was not started");
    }

    private static Map<String, Object> job(String id, double runS) {
        Map<String, Object> job = Cases.job(id, "reelcut", "replaydesk-00", "sweep", 1, 4.0);
        job.put("sizeGb", 0.05);
        job.put("runtimeS", runS);
        return job;
    }
}
