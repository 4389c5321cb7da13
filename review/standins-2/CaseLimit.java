import java.nio.file.Path;
import java.util.Map;

/**
 * A job that is bound to one zone has more tasks than that zone has machines. A later job of the same team may run anywhere,
 * an idle machine of another zone has room for it, and the team is under its limit: within 90 s it has to start.
 */
public final class CaseLimit {
    private static final double MOST_S = 90;

    public static void main(String[] args) throws Exception {
        Rec.open(Path.of(args[0], "record.txt"));
        Cases.Setup setup = new Cases.Setup();
        setup.zones = java.util.List.of("casa-nord", "rabat-agdal", "tanger-port", "fes-medina");
        Cases cases = new Cases(setup, Path.of(args[1]));
        int[][] capacity = {{6, 3}, {3, 3}, {5, 3}, {4, 3}};
        for (int i = 0; i < 4; i++) {
            cases.cloud.capacity.put(Cloud.pool(setup.zones.get(i), false), capacity[i][0]);
            cases.cloud.capacity.put(Cloud.pool(setup.zones.get(i), true), capacity[i][1]);
        }
        cases.cloud.add("rabat-agdal", false).boot();
        cases.cloud.add("rabat-agdal", false).boot();
        if (!cases.startAll()) {
            Cases.exit(2, "the controllers did not become ready");
        }
        Map<String, Object> large = Cases.job("job-000101", "reelcut", "replaydesk-00", "sweep", 46, 4.0);
        large.put("memoryGb", 5.2);
        large.put("runtimeS", 100.0);
        large.put("urgency", "urgent");
        large.put("yard", Cases.trouble() ? "fes-medina" : null);
        Map<String, Object> small = Cases.job("job-000102", "reelcut", "replaydesk-00", "sweep", 1, 4.0);
        small.put("memoryGb", 5.2);
        small.put("runtimeS", 25.0);
        if (!cases.submit(large)) {
            Cases.exit(2, "the large job was not accepted");
        }
        Cases.sleep(1);
        if (!cases.submit(small)) {
            Cases.exit(2, "the small job was not accepted");
        }
        double waitingS = 0;
        double end = Rec.now() + MOST_S + 4;
        double lastNote = 0;
        double last = Rec.now();
        while (Rec.now() < end) {
            Cases.sleep(0.2);
            double now = Rec.now();
            boolean started = setup.truth.firstStart.containsKey("job-000102/0");
            double used = 4.0 * setup.truth.places.size();
            long idle;
            synchronized (cases.cloud) {
                idle = cases.cloud.machines.values().stream()
                        .filter(w -> w.isUp() && !setup.truth.places.containsValue(w.id))
                        .filter(w -> !w.zone.equals("fes-medina"))
                        .count();
            }
            boolean left = !started && idle > 0 && used + 4 <= setup.cpusMax;
            waitingS = left ? waitingS + now - last : 0;
            last = now;
            if (now - lastNote > 10) {
                lastNote = now;
                Rec.log("team uses %.0f of %.0f CPUs; idle machines outside fes-medina: %d; job-000102 %s",
                        used, setup.cpusMax, idle, started ? "has started" : "waits");
                cases.poll(0, "job-000102");
            }
            if (waitingS > MOST_S) {
                Cases.exit(1, "job-000102 has waited for 90 s beside a machine with room, its team under its limit");
            }
            if (started) {
                break;
            }
        }
        Cases.exit(0, "job-000102 was not left waiting beside room for it");
    }
}
