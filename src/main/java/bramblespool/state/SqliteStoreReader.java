package bramblespool.state;

import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.PersistentState;
import bramblespool.state.DurableStore.Snapshot;
import bramblespool.state.DurableStore.StoredRegister;
import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads a database whole, so that what is wrong with it is found at the start or not at all. */
final class SqliteStoreReader {
    private static final Gson GSON = new Gson();

    /**
     * All that a database holds.
     *
     * @param newestSequence the highest number of a row in {@code register}, 0 where there is none
     */
    record Contents(PersistentState persistentState, List<StoredRegister> registers, long newestSequence) {}

    private SqliteStoreReader() {}

    /**
     * Reads everything and checks that it fits together.
     *
     * @throws StoreDamagedException where a row is missing or is not as it was written
     */
    static Contents readAll(Connection connection) throws SQLException, StoreDamagedException {
        try (Statement statement = connection.createStatement()) {
            PersistentState persistentState = readPersistentState(statement);
            List<StoredRegister> registers = new ArrayList<>();
            long newestSequence = readRegisters(statement, registers);
            return new Contents(persistentState, registers, newestSequence);
        }
    }

    /** Adds the registers to the list; gives the number of the newest. */
    private static long readRegisters(Statement statement, List<StoredRegister> registers)
            throws SQLException, StoreDamagedException {
        long sequence = 0;
        try (ResultSet row = statement.executeQuery(StoreSchema.SELECT_REGISTERS)) {
            while (row.next()) {
                sequence = row.getLong(1);
                String id = row.getString(2);
                String promised = row.getString(3);
                String accepted = row.getString(4);
                String value = row.getString(5);
                checkSum(row.getLong(6), "register", sequence, id, promised, accepted, value);
                registers.add(new StoredRegister(id, promised, accepted, value));
            }
        }
        return sequence;
    }

    private static PersistentState readPersistentState(Statement statement) throws SQLException, StoreDamagedException {
        String incarnation;
        String votedFor;
        long currentTerm;
        long commitIndex;
        try (ResultSet row = statement.executeQuery(StoreSchema.SELECT_SELF)) {
            check(row.next(), "no row of its own");
            incarnation = row.getString(1);
            currentTerm = row.getLong(2);
            votedFor = row.getString(3);
            commitIndex = row.getLong(4);
            checkSum(
                    row.getLong(5),
                    "row of its own",
                    StoreSchema.SINGLE_ROW_ID,
                    incarnation,
                    currentTerm,
                    votedFor,
                    commitIndex);
        }
        Snapshot snapshot = readSnapshot(statement);
        List<LogEntry> entries = readLog(statement, snapshot);
        long lastIndex = snapshot == null ? 0 : snapshot.index();
        long lastTerm = snapshot == null ? 0 : snapshot.term();
        if (!entries.isEmpty()) {
            LogEntry lastEntry = entries.get(entries.size() - 1);
            lastIndex = lastEntry.index();
            lastTerm = lastEntry.term();
        }
        check(lastTerm <= currentTerm, "an entry of a term to come");
        check(commitIndex <= lastIndex, "committed entries are missing");
        return new PersistentState(incarnation, currentTerm, votedFor, commitIndex, snapshot, entries);
    }

    /** The snapshot, or null where there is none. */
    private static Snapshot readSnapshot(Statement statement) throws SQLException, StoreDamagedException {
        try (ResultSet row = statement.executeQuery(StoreSchema.SELECT_SNAPSHOT)) {
            if (!row.next()) {
                return null;
            }
            long index = row.getLong(1);
            long term = row.getLong(2);
            String voters = row.getString(3);
            String data = row.getString(4);
            checkSum(row.getLong(5), "snapshot", StoreSchema.SINGLE_ROW_ID, index, term, voters, data);
            return new Snapshot(index, term, Arrays.asList(GSON.fromJson(voters, String[].class)), data);
        } catch (JsonParseException e) {
            throw new StoreDamagedException("a torn snapshot");
        }
    }

    private static List<LogEntry> readLog(Statement statement, Snapshot snapshot)
            throws SQLException, StoreDamagedException {
        List<LogEntry> entries = new ArrayList<>();
        long lastIndex = snapshot == null ? 0 : snapshot.index();
        long lastTerm = snapshot == null ? 0 : snapshot.term();
        try (ResultSet row = statement.executeQuery(StoreSchema.SELECT_LOG)) {
            while (row.next()) {
                LogEntry entry = new LogEntry(row.getLong(1), row.getLong(2), row.getString(3));
                checkSum(row.getLong(4), "entry", entry.index(), entry.term(), entry.data());
                check(entry.index() == lastIndex + 1, "a gap in the log");
                check(entry.term() >= lastTerm, "terms of the log go back");
                lastIndex = entry.index();
                lastTerm = entry.term();
                entries.add(entry);
            }
        }
        return entries;
    }

    private static void checkSum(long storedChecksum, String rowName, Object... fields) throws StoreDamagedException {
        check(storedChecksum == StoreSchema.checksum(fields), "a torn " + rowName);
    }

    private static void check(boolean isSound, String reason) throws StoreDamagedException {
        if (!isSound) {
            throw new StoreDamagedException(reason);
        }
    }
}
