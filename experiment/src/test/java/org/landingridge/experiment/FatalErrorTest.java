package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.net.FatalErrors;
import org.landingridge.net.XnioEventLoop;

/** Guards against a process that stays but does nothing after an error that it cannot work on after, with real processes. */
class FatalErrorTest {
    private static final int TIMEOUT_S = 30;
    private static final String IN_TIMER = "timer";
    private static final String IN_THREAD = "thread";

    /** A process that meets an error on its event loop or in another thread, and would stay otherwise. */
    static final class FailingProcess {
        private FailingProcess() {}

        public static void main(String[] args) throws Exception {
            FatalErrors.endProcessWhenThreadEnds();
            XnioEventLoop loop = new XnioEventLoop(XnioEventLoop.worker().getIoThread());
            if (args[0].equals(IN_TIMER)) {
                loop.after(0, FailingProcess::fail);
            } else {
                new Thread(FailingProcess::fail).start();
            }
            TimeUnit.SECONDS.sleep(2L * TIMEOUT_S);
        }

        private static void fail() {
            throw new OutOfMemoryError("test");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {IN_TIMER, IN_THREAD})
    @DisplayName("a process that meets a fatal error ends itself, and one line says why")
    void processEndsAfterFatalError(String place) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        FailingProcess.class.getName(),
                        place)
                .start();
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process should end by itself");
        assertEquals(FatalErrors.EXIT_CODE, process.exitValue());
        String output = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(
                1,
                output.lines()
                        .filter(line -> line.startsWith("landingridge: ends after a fatal error in "))
                        .count(),
                output);
    }
}
