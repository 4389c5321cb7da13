import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with seconds since the start. */
final class Rec {
    private static final long START = System.nanoTime();
    private static final double MOST_S = 117;
    private static PrintWriter out;

    private Rec() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
            if (thread.getName().equals("main")) {
                log("the case could not run: %s", e);
                System.exit(2);
            }
        });
        Thread watchdog = new Thread(() -> {
            Cases.sleep(MOST_S);
            Cases.exit(2, "the case took too long");
        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void log(String format, Object... args) {
        out.printf("%8.3f  %s%n", now(), args.length == 0 ? format : String.format(format, args));
    }
}
