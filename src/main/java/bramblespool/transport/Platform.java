package bramblespool.transport;

import java.util.function.Consumer;

/** The platform that keeps the list of servers and takes reports. */
public interface Platform {
    /** A page as it came; {@code body} is null where none came in time. */
    record Page(int code, byte[] body) {}

    /** Asks for a page of a zone's list; {@code token} is null for the first. */
    void page(String zone, String token, Consumer<Page> answer);

    /** Reports usage as the holder of that duty; the code is 0 where no whole answer came in time. */
    void usage(String holder, long fence, String report, long withinMs, Consumer<Integer> code);
}
