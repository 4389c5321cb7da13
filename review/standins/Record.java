package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** What was sent, answered and run, with the seconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) {
        try {
            out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Seconds since the start. */
    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void line(String format, Object... values) {
        String line = String.format("%8.3f  ", now()) + String.format(format, values);
        out.println(line);
        out.flush();
        System.out.println(line);
    }
}
