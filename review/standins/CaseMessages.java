package review;

import java.nio.file.Path;

/** A job of many small tasks: the leader puts more starts into one message than the protocol allows. */
final class CaseMessages {
    /** Tasks of 5 s that all have room at once are given so long. */
    private static final double LIMIT_S = 60;

    private CaseMessages() {}

    static int run(Path root, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(Sites.salle(30), root)) {
            deployment.cloud.standing("marrakech-gueliz");
            deployment.cloud.standing("agadir-talborjt");
            if (!deployment.startAll()) {
                return Deployment.NOT_RUN;
            }
            String service = "job-000101";
            if (!deployment.submit(
                    0,
                    Deployment.job(
                            service, "courtlive", "courtside", 1, 2.0, 2.1, 0.0, "shape", "standing", "urgency",
                            "urgent"))) {
                return Deployment.NOT_RUN;
            }
            if (!Deployment.await(15, () -> deployment.running(service) == 1)) {
                Record.line("%s does not run", service);
                return Deployment.NOT_RUN;
            }
            String checks = "job-000102";
            int takes = trouble ? 1_500 : 600;
            Record.line("a job of %d tasks of 0.05 CPUs is submitted", takes);
            if (!deployment.submit(1, Deployment.job(checks, "framechecks", "nightedit", takes, 0.05, 0.25, 5.0))) {
                return Deployment.NOT_RUN;
            }
            boolean done = Deployment.await(LIMIT_S, () -> {
                Deployment.pause(1);
                return deployment.poll(0, checks).body().contains("\"done\",");
            });
            int serviceStarts = deployment.starts(service + "/0");
            Record.line(
                    "job of %d tasks: %s; the service has started %d times; messages beyond 64 KiB, by machine: %s",
                    takes, deployment.poll(0, checks).body(), serviceStarts, deployment.tooLarge);
            if (deployment.tooLarge.isEmpty()) {
                return done && serviceStarts == 1 ? Deployment.HELD : Deployment.NOT_RUN;
            }
            Record.line(
                    "BROKEN: messages beyond 64 KiB; tasks of the job that have started: %d of %d; the service runs: %s",
                    deployment.firstStart.size() - 1, takes, deployment.running(service) == 1);
            return Deployment.BROKEN;
        }
    }
}
