package bramblespool.state;

import java.io.PrintStream;
import java.util.EnumMap;

/** Numbered events on standard error; docs/log-events.md is the catalogue, and a test compares the two. */
public final class Log {
    public enum Level {
        ERROR,
        WARN,
        INFO,
        DEBUG
    }

    /** Every event the programs can write. The number is for good: numbers are not given out again. */
    public enum Event {
        STARTED(101, Level.INFO),
        READY(102, Level.INFO),
        STOPPING(103, Level.INFO),
        STOPPED(104, Level.INFO),
        SETTINGS_RELOADED(105, Level.INFO),
        SETTINGS_UNFIT(106, Level.WARN),
        LISTEN_FAILED(107, Level.ERROR),
        UNEXPECTED(108, Level.ERROR),
        PAUSED(109, Level.WARN),
        STRAINED(110, Level.WARN),
        RELIEVED(111, Level.INFO),
        SERVER_NEW(201, Level.INFO),
        SERVER_DRAINING(202, Level.INFO),
        SERVER_GONE(203, Level.INFO),
        SERVER_SILENT(204, Level.WARN),
        BEAT_REFUSED(205, Level.WARN),
        SERVER_BACK(206, Level.INFO),
        SESSION_OPEN(301, Level.INFO),
        SESSION_LOST(302, Level.WARN),
        SESSION_CLOSED(303, Level.INFO),
        MESSAGE_DROPPED(304, Level.WARN),
        ASSIGNED(305, Level.DEBUG),
        ASSIGNMENT_REFUSED(306, Level.WARN),
        DUTY_TAKEN(307, Level.INFO),
        LIST_FAILED(308, Level.WARN),
        LIST_READ(309, Level.DEBUG),
        RIGHT_LAPSED(310, Level.WARN),
        RIGHT_BACK(311, Level.INFO),
        USAGE_REPORTED(312, Level.DEBUG),
        USAGE_FAILED(313, Level.WARN),
        USAGE_FENCED(314, Level.WARN),
        UNCONFIRMED(315, Level.WARN),
        CONFIRMED(316, Level.INFO),
        ELECTION(401, Level.INFO),
        LEADING(402, Level.INFO),
        STEPPED_DOWN(403, Level.WARN),
        MEMBER_ADDED(404, Level.INFO),
        MEMBER_REMOVED(405, Level.INFO),
        SNAPSHOT_TAKEN(406, Level.DEBUG),
        SNAPSHOT_INSTALLED(407, Level.INFO),
        JOINING(408, Level.INFO),
        REGISTERS_READ(409, Level.INFO),
        HANDED_OVER(410, Level.INFO),
        NO_MAJORITY(411, Level.WARN),
        TRANSFER_RESUMED(415, Level.INFO),
        STATE_DIFFERS(416, Level.ERROR),
        SNAPSHOT_REFUSED(417, Level.ERROR),
        DISK_FAILED(501, Level.ERROR),
        DISK_BACK(502, Level.INFO),
        DISK_SET_ASIDE(503, Level.ERROR),
        CONFIG_REFUSED(601, Level.WARN),
        CANDIDATE(602, Level.INFO),
        COMMIT_ABORTED(603, Level.WARN),
        COMMIT_DECIDED(604, Level.INFO),
        COMMIT_UNCONFIRMED(605, Level.WARN),
        COMMIT_DONE(606, Level.INFO),
        COMMIT_TAKEN_OVER(607, Level.INFO),
        VERSION_ADOPTED(608, Level.INFO),
        SHADOW_REVERTED(609, Level.INFO),
        EVACUATION(610, Level.INFO),
        LOWER_TERM_REFUSED(611, Level.WARN),
        EARLIER_ROUND_REFUSED(612, Level.INFO),
        FAILED_CALL(701, Level.DEBUG),
        NOT_ADMITTED(704, Level.DEBUG),
        KEY_HELD(705, Level.DEBUG),
        BAD_REQUEST(703, Level.DEBUG);

        public final int number;
        public final Level level;

        Event(int number, Level level) {
            this.number = number;
            this.level = level;
        }
    }

    private final String node;
    private final PrintStream out;
    private Level shown;
    private final EnumMap<Event, String> lastOnce = new EnumMap<>(Event.class);

    public Log(String node, PrintStream out, Level shown) {
        this.node = node;
        this.out = out;
        this.shown = shown;
    }

    public static Log silent() {
        return new Log("", null, Level.ERROR);
    }

    public boolean shows(Event event) {
        return out != null && event.level.ordinal() <= shown.ordinal();
    }

    public void say(Event event, Object... words) {
        if (!shows(event)) {
            return;
        }
        StringBuilder line = new StringBuilder(96)
                .append(event.level)
                .append(" B")
                .append(event.number)
                .append(' ')
                .append(event.name())
                .append(" node=")
                .append(node);
        for (int i = 0; i + 1 < words.length; i += 2) {
            line.append(' ')
                    .append(words[i])
                    .append('=')
                    .append(String.valueOf(words[i + 1]).replace('\n', ' '));
        }
        out.println(line);
    }

    /** Says it only when the cause differs from the last one said for this event. */
    public void once(Event event, String cause, Object... words) {
        if (!cause.equals(lastOnce.put(event, cause))) {
            say(event, words);
        }
    }

    public void unexpected(Throwable t) {
        StackTraceElement[] at = t.getStackTrace();
        StringBuilder where = new StringBuilder();
        for (int i = 0; i < Math.min(8, at.length); i++) {
            where.append(i == 0 ? "" : " < ").append(at[i]);
        }
        say(Event.UNEXPECTED, "error", t, "at", where);
    }
}
