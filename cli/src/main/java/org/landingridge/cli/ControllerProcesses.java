package org.landingridge.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Controllers as processes of their own, each started again when it ends. A thread waits for each of them; a file lists
 * their process ids, so that the next run can end what a killed one left behind.
 */
final class ControllerProcesses {
    private static final String MAIN = "org.landingridge.controller.cli.Main";
    private static final long RESTART_MS = 2_000;

    private final Path folder;
    private final Path pids;
    /** Guarded by itself. */
    private final List<Process> running = new ArrayList<>();

    private volatile boolean ending;

    /** @param folder where settings, logs and the list of process ids are kept */
    ControllerProcesses(Path folder) {
        this.folder = folder;
        this.pids = folder.resolve("controllers.pid");
    }

    /** Ends controllers of an earlier run that was killed itself: they would occupy their ports. */
    void endLeftovers() throws IOException {
        if (!Files.exists(pids)) {
            return;
        }
        for (String pid : Files.readAllLines(pids)) {
            ProcessHandle.of(Long.parseLong(pid))
                    .filter(ControllerProcesses::isController)
                    .ifPresent(ProcessHandle::destroyForcibly);
        }
        Files.delete(pids);
    }

    private static boolean isController(ProcessHandle process) {
        return process.info()
                .arguments()
                .map(arguments -> List.of(arguments).contains(MAIN))
                .orElse(false);
    }

    /** Writes a controller's settings, and runs it until {@link #end}. */
    void start(int index, String settings) throws IOException {
        String name = "rig-" + index;
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings, StandardCharsets.UTF_8);
        Thread keeper = new Thread(() -> keep(name, file, folder.resolve(name + ".log")), name);
        keeper.setDaemon(true);
        keeper.start();
    }

    /** Kills all controllers, and starts none again. */
    void end() {
        ending = true;
        synchronized (running) {
            running.forEach(Process::destroyForcibly);
        }
    }

    private void keep(String name, Path settings, Path log) {
        try {
            while (!ending) {
                runOnce(name, settings, log);
            }
        } catch (IOException e) {
            System.err.println("landingridge: cannot start a controller: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runOnce(String name, Path settings, Path log) throws IOException, InterruptedException {
        Process process;
        synchronized (running) {
            if (ending) {
                return;
            }
            process = process(settings, log);
            running.add(process);
            writePids();
        }
        System.out.printf("%s runs as process %d%n", name, process.pid());
        int code = process.waitFor();
        synchronized (running) {
            running.remove(process);
        }
        if (!ending) {
            System.out.printf("%s ended with %d, back in %d s%n", name, code, RESTART_MS / 1000);
            TimeUnit.MILLISECONDS.sleep(RESTART_MS);
        }
    }

    private static Process process(Path settings, Path log) throws IOException {
        return new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        MAIN,
                        "--config",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    private void writePids() throws IOException {
        StringBuilder lines = new StringBuilder();
        for (Process process : running) {
            lines.append(process.pid()).append('\n');
        }
        Files.writeString(pids, lines);
    }
}
