package bramblespool.state;

import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Damaged databases that were moved out of the way. They are never repaired or read, but may be looked at by people;
 * and as long as there is one, the disk is known to have been used before. Not thread-safe.
 */
final class QuarantinedDatabases {
    static final String PREFIX = SqliteDatabaseFiles.DATABASE + ".aside-";
    /** So many are kept, the newest ones: disks are small. */
    static final int MAX_RETAINED = 2;

    private final SyncedDirectory directory;
    private final EventLog log;

    QuarantinedDatabases(SyncedDirectory directory, EventLog log) {
        this.directory = directory;
        this.log = log;
    }

    /** Whether there is one. */
    boolean exist() throws StoreUnavailableException {
        try {
            return directory.names().stream().anyMatch(name -> name.startsWith(PREFIX));
        } catch (IOException e) {
            throw new StoreUnavailableException(e);
        }
    }

    /**
     * Moves the database out of the way. To be called before it is closed, for closing would write to it. May be called
     * again after a failure.
     *
     * @param cause what is wrong with it, for the log
     */
    void add(String cause) throws StoreUnavailableException {
        try {
            moveDatabase(cause);
        } catch (IOException e) {
            throw new StoreUnavailableException(e);
        }
    }

    private void moveDatabase(String cause) throws IOException {
        int number = numbers().stream().reduce(0, Math::max) + 1;
        String quarantineName = PREFIX + number;
        log.logOnChange(
                EventLog.Event.STORE_QUARANTINED,
                quarantineName + cause,
                "path",
                directory.path.resolve(quarantineName),
                "cause",
                cause);
        // The database first, and it alone until that lasts: without its log it might pass for a sound, older one.
        if (directory.contains(SqliteDatabaseFiles.DATABASE)) {
            directory.move(SqliteDatabaseFiles.DATABASE, quarantineName);
            directory.sync();
        }
        for (String suffix : SqliteDatabaseFiles.COMPANION_SUFFIXES) {
            if (directory.contains(SqliteDatabaseFiles.DATABASE + suffix)) {
                directory.move(SqliteDatabaseFiles.DATABASE + suffix, quarantineName + suffix);
            }
        }
        directory.sync();
        removeUpTo(number - MAX_RETAINED);
    }

    private void removeUpTo(int lastNumber) throws IOException {
        for (int number : numbers()) {
            if (number <= lastNumber) {
                directory.remove(PREFIX + number);
                for (String suffix : SqliteDatabaseFiles.COMPANION_SUFFIXES) {
                    directory.remove(PREFIX + number + suffix);
                }
            }
        }
    }

    private Set<Integer> numbers() throws IOException {
        // Compiled here and not once for all: this hardly ever runs, and a start needn't pay for it.
        Pattern pattern = Pattern.compile(Pattern.quote(PREFIX) + "(\\d{1,9})(-\\w+)?");
        Set<Integer> result = new TreeSet<>();
        for (String name : directory.names()) {
            Matcher matcher = pattern.matcher(name);
            if (matcher.matches()) {
                result.add(Integer.parseInt(matcher.group(1)));
            }
        }
        return result;
    }
}
