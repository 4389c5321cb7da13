import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * One team has borrowed up to its limit with its services when the cloud has no more machines to give. Another team, of which
 * nothing runs, submits one job that fits into its guarantee: it need not wait for the first team, which has to give back.
 */
public final class CaseGuarantee {
    /** The aim for work within a guarantee is 5 s; 90 s is the longest time for which the pages let any job wait. */
    private static final double MOST_S = 90;

    public static void main(String[] args) throws Exception {
        Rec.open(Path.of(args[0], "record.txt"));
        Cases.Setup setup = new Cases.Setup();
        setup.zones = List.of("casa-nord", "rabat-agdal", "tanger-port", "fes-medina");
        setup.bootS = 2;
        Cases cases = new Cases(setup, Path.of(args[1]));
        // The site file's ordinary machines are 6, 5, 5 and 4; "fewer machines to give" leaves 0.6 of them.
        int[] all = {6, 5, 5, 4};
        int[] fewer = {4, 3, 3, 2};
        for (int i = 0; i < 4; i++) {
            cases.cloud.capacity.put(
                    Cloud.pool(setup.zones.get(i), false), Cases.trouble() ? fewer[i] : all[i]);
        }
        if (!cases.startAll()) {
            Cases.exit(2, "the controllers did not become ready");
        }
        for (int i = 0; i < 24; i++) {
            if (!cases.submit(service(String.format("job-%06d", 201 + i), "replaydesk-00"))) {
                Cases.exit(2, "a service of the first team was not accepted");
            }
        }
        if (!Cases.until(20, () -> running(setup, "replaydesk-00") == 24)) {
            Cases.exit(2, "the first team's services did not start");
        }
        Rec.log("replaydesk-00 runs 24 replicas, 48 CPUs, and is guaranteed 16");
        String id = "job-000300";
        if (!cases.submit(service(id, "replaydesk-01"))) {
            Cases.exit(2, "the second team's service was not accepted");
        }
        double acceptedAt = Rec.now();
        while (Rec.now() < acceptedAt + MOST_S) {
            for (int i = 0; i < 50; i++) {
                Cases.sleep(0.1);
                if (setup.truth.firstStart.containsKey(id + "/0")) {
                    Cases.exit(0, String.format(
                            "%s started %.1f s after it was accepted", id, Rec.now() - acceptedAt));
                }
            }
            int borrowed = 2 * running(setup, "replaydesk-00") - 16;
            Rec.log("replaydesk-00 runs %d CPUs beyond its guarantee; %s waits", borrowed, id);
            cases.poll(0, id);
            if (borrowed <= 0) {
                Cases.exit(0, "the first team runs nothing beyond its guarantee");
            }
        }
        Cases.exit(1, id + " fits into its team's guarantee and waited for 90 s for work that another team runs"
                + " beyond its own");
    }

    private static int running(Cases.Setup setup, String team) {
        int count = 0;
        for (String take : setup.truth.places.keySet()) {
            Map<String, Object> spec = setup.truth.specs.get(take.substring(0, take.indexOf('/')));
            count += team.equals(spec.get("crew")) ? 1 : 0;
        }
        return count;
    }

    private static Map<String, Object> service(String id, String team) {
        Map<String, Object> job = Cases.job(id, "clipserve", team, "standing", 1, 2.0);
        job.put("urgency", "urgent");
        job.put("memoryGb", 2.1);
        job.put("sizeGb", 0.8);
        job.put("standby", false);
        job.put("runtimeS", 0.0);
        return job;
    }
}
