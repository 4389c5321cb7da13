package org.landingridge.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.landingridge.experiment.HistoryBenchmark;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/** Measures what a history of ended jobs costs a controller. */
@Command(
        name = "benchmark-history",
        mixinStandardHelpOptions = true,
        description = "Start a controller beside a state service full of ended jobs, and measure it.")
class BenchmarkHistoryCommand implements Callable<Integer> {
    /** The command under its former name, for scripts that still call it. */
    @Command(
            name = "probe-history",
            hidden = true,
            mixinStandardHelpOptions = true,
            description = "The former name of benchmark-history.")
    static final class FormerName extends BenchmarkHistoryCommand {}

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--jar", required = true, paramLabel = "FILE", description = "the controller's jar, of any version")
    private Path jar;

    @Option(names = "--ended", required = true, split = ",", paramLabel = "N", description = "how many jobs have ended")
    private List<Integer> ended;

    @Option(names = "--form", defaultValue = "SEGMENTS", description = "how they stand there: ${COMPLETION-CANDIDATES}")
    private HistoryBenchmark.Form form;

    @Option(
            names = "--limit",
            defaultValue = "60",
            paramLabel = "S",
            description = "seconds until the controller must be ready (${DEFAULT-VALUE})")
    private int limitS;

    @Override
    public Integer call() throws Exception {
        if (!Files.isRegularFile(jar)) {
            throw new ParameterException(spec.commandLine(), "--jar: there is no file " + jar);
        }
        System.out.println("form       ended      ready ms   requests   peak MB   failed");
        boolean allKept = true;
        for (int jobs : ended) {
            HistoryBenchmark.Result result = new HistoryBenchmark().measure(jar, form, jobs, limitS);
            print(result);
            allKept &= result.failed().isEmpty();
        }
        return allKept ? 0 : 1;
    }

    private static void print(HistoryBenchmark.Result result) {
        System.out.printf(
                "%-10s %-10d %-10d %-10d %-9.1f %s%n",
                result.form(),
                result.ended(),
                result.readyMs(),
                result.requests(),
                result.peakKb() / 1024.0,
                String.join("; ", result.failed()));
    }
}
