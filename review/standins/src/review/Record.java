package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with ms since the start. Safe on any thread. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", nowMs(), text);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
