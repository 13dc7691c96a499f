package bramblespool.state;

import java.io.PrintStream;
import java.util.EnumMap;

/**
 * Writes numbered events, a line each; docs/log-events.md is the catalogue, and a test compares the two. A line has the
 * level, the event's number and name, the node and pairs of field and value. Safe on any thread, save
 * {@link #logOnChange}, which is confined to one.
 */
public final class EventLog {
    /** How much an event matters, the most urgent first. */
    public enum Level {
        /** Something is broken, and people are to look. */
        ERROR,
        /** Something is not as it should be, and the program copes. */
        WARN,
        /** A change worth knowing. */
        INFO,
        /** Detail, for somebody who looks into something. */
        DEBUG
    }

    /** Every event that the programs can write. A number is never given to another event. */
    public enum Event {
        STARTED(101, Level.INFO),
        READY(102, Level.INFO),
        STOPPING(103, Level.INFO),
        STOPPED(104, Level.INFO),
        SETTINGS_RELOADED(105, Level.INFO),
        SETTINGS_INVALID(106, Level.WARN),
        LISTEN_FAILED(107, Level.ERROR),
        INTERNAL_ERROR(108, Level.ERROR),
        PROCESS_PAUSED(109, Level.WARN),
        OVERLOADED(110, Level.WARN),
        OVERLOAD_CLEARED(111, Level.INFO),
        INVARIANT_VIOLATED(112, Level.ERROR),
        SERVER_REGISTERED(201, Level.INFO),
        SERVER_DRAINING(202, Level.INFO),
        SERVER_DEREGISTERED(203, Level.INFO),
        SERVER_UNRESPONSIVE(204, Level.WARN),
        HEARTBEAT_REJECTED(205, Level.WARN),
        SERVER_RECOVERED(206, Level.INFO),
        SESSION_OPENED(301, Level.INFO),
        SESSION_LOST(302, Level.WARN),
        SESSION_CLOSED(303, Level.INFO),
        MESSAGE_DROPPED(304, Level.WARN),
        ENDPOINTS_ASSIGNED(305, Level.DEBUG),
        ASSIGNMENT_REJECTED(306, Level.WARN),
        SINGLETON_ROLE_ACQUIRED(307, Level.INFO),
        REGISTRY_READ_FAILED(308, Level.WARN),
        REGISTRY_READ(309, Level.DEBUG),
        LEASE_LOST(310, Level.WARN),
        LEASE_REGAINED(311, Level.INFO),
        USAGE_REPORTED(312, Level.DEBUG),
        USAGE_REPORT_FAILED(313, Level.WARN),
        USAGE_REPORT_FENCED(314, Level.WARN),
        CONFIGURATION_UNCONFIRMED(315, Level.WARN),
        CONFIGURATION_CONFIRMED(316, Level.INFO),
        BUCKETS_ACQUIRED(317, Level.DEBUG),
        BUCKETS_LOST(318, Level.INFO),
        ELECTION_STARTED(401, Level.INFO),
        LEADER_ELECTED(402, Level.INFO),
        STEPPED_DOWN(403, Level.WARN),
        VOTER_ADDED(404, Level.INFO),
        VOTER_REMOVED(405, Level.INFO),
        SNAPSHOT_TAKEN(406, Level.DEBUG),
        SNAPSHOT_INSTALLED(407, Level.INFO),
        JOIN_REQUESTED(408, Level.INFO),
        REGISTERS_SYNCED(409, Level.INFO),
        LEADERSHIP_TRANSFERRED(410, Level.INFO),
        QUORUM_UNCONFIRMED(411, Level.WARN),
        TRANSFER_RESUMED(415, Level.INFO),
        STATE_DIVERGED(416, Level.ERROR),
        SNAPSHOT_REJECTED(417, Level.ERROR),
        DISK_FAILED(501, Level.ERROR),
        DISK_RECOVERED(502, Level.INFO),
        STORE_QUARANTINED(503, Level.ERROR),
        ANSWER_STORE_FAILED(504, Level.WARN),
        CONFIGURATION_REJECTED(601, Level.WARN),
        CONFIGURATION_CANDIDATE_STORED(602, Level.INFO),
        COMMIT_ABORTED(603, Level.WARN),
        COMMIT_DECIDED(604, Level.INFO),
        COMMIT_UNCONFIRMED(605, Level.WARN),
        COMMIT_COMPLETED(606, Level.INFO),
        COMMIT_RECOVERED(607, Level.INFO),
        CONFIGURATION_ADOPTED(608, Level.INFO),
        SHADOW_REVERTED(609, Level.INFO),
        ZONE_EVACUATION_CHANGED(610, Level.INFO),
        STALE_TERM_REJECTED(611, Level.WARN),
        STALE_ROUND_REJECTED(612, Level.INFO),
        ATTEMPT_FAILED(701, Level.DEBUG),
        BAD_REQUEST(703, Level.DEBUG),
        ADMISSION_UNAVAILABLE(704, Level.DEBUG),
        IDEMPOTENCY_KEY_IN_USE(705, Level.DEBUG),
        CLIENT_CLOSED(706, Level.DEBUG);

        private final int number;
        private final Level level;

        Event(int number, Level level) {
            this.number = number;
            this.level = level;
        }

        /** The number that stands in the log, after a B. */
        public int number() {
            return number;
        }

        /** The level. */
        public Level level() {
            return level;
        }
    }

    /** Room for most lines. */
    private static final int LINE_CHARS = 96;

    private static final int MAX_STACK_FRAMES = 8;

    private final String node;
    /** Null where nothing is to be written. */
    private final PrintStream out;

    private final Level threshold;
    /** The cause that each event was last logged with by {@link #logOnChange}. */
    private final EnumMap<Event, String> lastCauses = new EnumMap<>(Event.class);

    /** A log of events at the threshold or above, each with the name of this node. */
    public EventLog(String node, PrintStream out, Level threshold) {
        this.node = node;
        this.out = out;
        this.threshold = threshold;
    }

    /** A log that writes nothing. */
    public static EventLog silent() {
        return new EventLog("", null, Level.ERROR);
    }

    /** Whether the event would be written: to be asked where its fields are costly. */
    public boolean isEnabled(Event event) {
        return out != null && event.level.ordinal() <= threshold.ordinal();
    }

    /** Writes an event. {@code fields}: names and values in turn; line ends in a value become spaces. */
    public void log(Event event, Object... fields) {
        if (!isEnabled(event)) {
            return;
        }
        StringBuilder line = new StringBuilder(LINE_CHARS)
                .append(event.level)
                .append(" B")
                .append(event.number)
                .append(' ')
                .append(event.name())
                .append(" node=")
                .append(node);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ')
                    .append(fields[i])
                    .append('=')
                    .append(String.valueOf(fields[i + 1]).replace('\n', ' '));
        }
        out.println(line);
    }

    /** Writes an event only where its cause is another one than the last time. */
    public void logOnChange(Event event, String cause, Object... fields) {
        if (!cause.equals(lastCauses.put(event, cause))) {
            log(event, fields);
        }
    }

    /** Writes an error that should never happen, with the innermost frames of its stack. */
    public void logUnexpected(Throwable failure) {
        StackTraceElement[] frames = failure.getStackTrace();
        StringBuilder location = new StringBuilder();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, frames.length); i++) {
            location.append(i == 0 ? "" : " < ").append(frames[i]);
        }
        log(Event.INTERNAL_ERROR, "error", failure, "stack", location);
    }
}
