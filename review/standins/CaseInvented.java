package review;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Users ask about a job that no one has submitted, after older jobs have moved into the history. */
final class CaseInvented {
    private static final String TEAM = "replaydesk-00";
    private static final int JOBS = 300;
    /** Ended jobs move to where they are kept within so long. */
    private static final double WATCH_S = 70;

    private CaseInvented() {}

    static int run(Path root, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(Sites.casa(25), root)) {
            deployment.cloud.standing("casa-nord");
            if (!deployment.startAll()) {
                return Deployment.NOT_RUN;
            }
            String first = "job-000512";
            if (!deployment.submit(0, Deployment.job(first, "reelcut", TEAM, 1, 4.0, 5.2, 1.0))) {
                return Deployment.NOT_RUN;
            }
            if (!Deployment.await(30, () -> deployment.poll(0, first).body().contains("\"done\","))) {
                return Deployment.NOT_RUN;
            }
            Record.line("%s: %s", first, deployment.poll(0, first).body());
            String called = "job-000513";
            if (!deployment.submit(0, Deployment.job(called, "reelcut", TEAM, 1, 4.0, 5.2, 60.0))
                    || !"cancelled".equals(deployment.cancel(0, called))) {
                return Deployment.NOT_RUN;
            }
            // Jobs that await a cancelled job are cancelled with it: many jobs end without any work.
            AtomicInteger next = new AtomicInteger(514);
            CountDownLatch ended = new CountDownLatch(6);
            for (int i = 0; i < 6; i++) {
                int node = i;
                Web.background(() -> {
                    for (int id = next.getAndIncrement(); id < 514 + JOBS; id = next.getAndIncrement()) {
                        deployment.submit(
                                node,
                                Deployment.job(
                                        String.format("job-%06d", id), "reelcut", TEAM, 1, 4.0, 5.2, 60.0,
                                        "awaits", List.of(called)));
                    }
                    ended.countDown();
                });
            }
            ended.await();
            Record.line("%d jobs have ended", JOBS + 2);
            // Nobody has submitted a job with either of these names.
            String asked = trouble ? "1" : "job-900001";
            boolean known = Deployment.await(WATCH_S, () -> {
                Deployment.pause(1);
                return deployment.poll(0, asked).status() == 200;
            });
            Record.line("GET /api/jobs/%s gets 200: %s", asked, known);
            int invented = 0;
            for (int node = 0; node < Deployment.CONTROLLERS; node++) {
                Web.Reply reply = deployment.poll(node, asked);
                Record.line("GET /api/jobs/%s at rig-%d: %d %s", asked, node, reply.status(), reply.body());
                invented += reply.status() == 200 ? 1 : 0;
            }
            Record.line("GET /api/jobs/%s: %s", first, deployment.poll(0, first).body());
            if (invented == 0) {
                return Deployment.HELD;
            }
            Record.line("BROKEN: a job that no one submitted gets 200, with another job's state");
            return Deployment.BROKEN;
        }
    }
}
