package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A job bound to one zone loses its machines; another job of its team waits beside idle machines. */
final class CaseWaiting {
    private static final String TEAM = "replaydesk-00";
    /** A class for which no objective is set. */
    private static final String LANE = "subtitlemux";
    private static final double LIMIT_S = 90;

    private CaseWaiting() {}

    static int run(Path root, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(Sites.casa(25), root)) {
            // Four machines in the zone and three in another, all up at the start; the cloud has no more of them.
            List<Worker> bound = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                bound.add(deployment.cloud.standing("fes-medina"));
            }
            List<Worker> free = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                free.add(deployment.cloud.standing("rabat-agdal"));
            }
            if (!deployment.startAll()) {
                return Deployment.NOT_RUN;
            }
            // 27 tasks of 2 CPUs that may only run in the zone, eight of them at a time.
            List<String> firsts = List.of("job-000101", "job-000102", "job-000103");
            String second = "job-000104";
            for (String first : firsts) {
                if (!deployment.submit(
                        0, Deployment.job(first, LANE, TEAM, 9, 2.0, 3.2, 8.0, "yard", "fes-medina"))) {
                    return Deployment.NOT_RUN;
                }
            }
            if (!Deployment.await(15, () -> deployment.usedCpus(TEAM) == 16)) {
                Record.line("the zone is not in use");
                return Deployment.NOT_RUN;
            }
            if (trouble) {
                Record.line("the four machines in fes-medina stop with all that is on them");
                bound.forEach(Worker::stop);
            }
            double over = Record.now();
            if (!deployment.submit(1, Deployment.job(second, LANE, TEAM, 1, 2.0, 3.2, 8.0))) {
                return Deployment.NOT_RUN;
            }
            double submitted = Record.now();
            boolean started = Deployment.await(
                    LIMIT_S + 1, () -> deployment.firstStart.containsKey(second + "/0"));
            if (started) {
                Record.line("%s started %.1f s after its submission", second, Record.now() - submitted);
                return Deployment.HELD;
            }
            boolean room = free.stream().anyMatch(worker -> !worker.stoppedFor(0) && worker.freeCpus() >= 2);
            Record.line(
                    "%s has waited for %.1f s, %.1f s after the trouble; machine with room: %s; the team uses %.0f of"
                            + " 48 CPUs; poll: %s",
                    second, Record.now() - submitted, Record.now() - over, room, deployment.usedCpus(TEAM),
                    deployment.poll(0, second).body());
            if (!room || deployment.usedCpus(TEAM) > 46) {
                return Deployment.NOT_RUN;
            }
            Record.line("BROKEN: a job waits for more than 90 s while a machine that fits has room");
            return Deployment.BROKEN;
        }
    }
}
