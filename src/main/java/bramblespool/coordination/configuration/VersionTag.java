package bramblespool.coordination.configuration;

import java.util.Optional;

/**
 * A tag on a call, which names a version during a commit (C_old or C_new in "Shadow Configuration as a Network
 * Management Primitive", section 6.1). Its text is {@code t<epoch>-<stamp>}, see
 * {@link bramblespool.state.RoutingConfiguration#tag()}.
 *
 * @param epoch the version's number
 * @param stamp identifies the document among those of one number; {@link #ANY_STAMP} means each of them
 */
record VersionTag(long epoch, String stamp) {
    /** Stands for every document of a number. */
    static final String ANY_STAMP = "";

    private static final String PREFIX = "t";
    private static final char STAMP_SEPARATOR = '-';

    /** The tag in a call's mark; empty where the mark is none. */
    static Optional<VersionTag> parse(String mark) {
        if (mark == null || !mark.startsWith(PREFIX)) {
            return Optional.empty();
        }
        int separator = mark.indexOf(STAMP_SEPARATOR);
        String number = mark.substring(PREFIX.length(), separator < 0 ? mark.length() : separator);
        String stamp = separator < 0 ? ANY_STAMP : mark.substring(separator + 1);
        try {
            return Optional.of(new VersionTag(Long.parseLong(number), stamp));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
