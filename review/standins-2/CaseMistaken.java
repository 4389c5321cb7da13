import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Eight jobs that are bound to one zone were submitted with a mistake: their tasks fail. Their users cancel them. A sound job that
 * is bound to the same zone comes afterwards: its four machines are empty, so it has to start within 90 s.
 */
public final class CaseMistaken {
    private static final double MOST_S = 90;
    private static final String ZONE = "fes-medina";

    public static void main(String[] args) throws Exception {
        Rec.open(Path.of(args[0], "record.txt"));
        Cases.Setup setup = new Cases.Setup();
        setup.zones = List.of("casa-nord", "rabat-agdal", "tanger-port", ZONE);
        Cases cases = new Cases(setup, Path.of(args[1]));
        // The site file's ordinary machines; those of the zone are up.
        cases.cloud.capacity.put(Cloud.pool("casa-nord", false), 6);
        cases.cloud.capacity.put(Cloud.pool("rabat-agdal", false), 5);
        cases.cloud.capacity.put(Cloud.pool("tanger-port", false), 5);
        for (int i = 0; i < 4; i++) {
            cases.cloud.add(ZONE, false).boot();
        }
        if (!cases.startAll()) {
            Cases.exit(2, "the controllers did not become ready");
        }
        Cases.sleep(4);
        List<String> mistaken = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String id = String.format("job-%06d", 701 + i);
            mistaken.add(id);
            if (Cases.trouble()) {
                setup.truth.mistaken.add(id);
            }
            Map<String, Object> job = job(id, "replaydesk-00", 3, 0.66);
            if (!cases.submit(job)) {
                Cases.exit(2, "a job was not accepted");
            }
        }
        if (!Cases.until(10, () -> mistaken.stream().allMatch(id -> setup.truth.firstStart.containsKey(id + "/2")))) {
            Cases.exit(2, "the first jobs did not start");
        }
        Cases.sleep(5);
        for (String id : mistaken) {
            Web.Reply reply = Web.call("POST", setup.nodes.get(0), "/api/jobs/" + id + "/cancel", "", 5);
            Rec.log("user: cancels %s: %s", id, reply == null ? "no answer" : reply);
        }
        if (!Cases.until(10, () -> setup.truth.places.isEmpty())) {
            Cases.exit(2, "the first jobs are still on machines");
        }
        String sound = "job-000799";
        if (!cases.submit(job(sound, "replaydesk-01", 1, 2.0))) {
            Cases.exit(2, "the sound job was not accepted");
        }
        double acceptedAt = Rec.now();
        while (Rec.now() < acceptedAt + MOST_S) {
            Cases.until(10, () -> setup.truth.firstStart.containsKey(sound + "/0"));
            if (setup.truth.firstStart.containsKey(sound + "/0")) {
                Cases.exit(0, String.format("%s started %.1f s after it was accepted", sound, Rec.now() - acceptedAt));
            }
            long empty;
            synchronized (cases.cloud) {
                empty = cases.cloud.machines.values().stream()
                        .filter(w -> w.zone.equals(ZONE) && w.isUp())
                        .count();
            }
            Rec.log("tasks on machines: %d; machines up in %s: %d; %s waits", setup.truth.places.size(), ZONE, empty, sound);
            cases.poll(1, sound);
            if (empty == 0) {
                Cases.exit(0, "no machine of the zone is left");
            }
        }
        Cases.exit(1, sound + " has waited for 90 s beside empty machines of its zone, the only job of its team");
    }

    private static Map<String, Object> job(String id, String team, int takes, double cpus) {
        Map<String, Object> job = Cases.job(id, "reelcut", team, "sweep", takes, cpus);
        job.put("yard", ZONE);
        job.put("standby", false);
        job.put("sizeGb", 0.05);
        job.put("runtimeS", 3.0);
        return job;
    }
}
