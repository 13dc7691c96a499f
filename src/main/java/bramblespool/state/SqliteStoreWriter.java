package bramblespool.state;

import bramblespool.state.DurableStore.Change;
import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.Snapshot;
import bramblespool.state.DurableStore.StoredRegister;
import com.google.gson.Gson;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;

/** Writes to the database, many writes in one transaction. Confined to the disk thread. */
final class SqliteStoreWriter {
    private static final Gson GSON = new Gson();

    /** A write that is durable as a whole or not at all. */
    sealed interface Write {}

    /** A change of the log or of term and vote. {@code incarnation}: as the database was created with. */
    record LogWrite(String incarnation, Change change) implements Write {}

    /** Registers, stored under numbers that rise from the first one. */
    record RegisterWrite(long firstSequence, List<StoredRegister> registers) implements Write {}

    /** The removal of registers up to a number. */
    record RegisterExpiry(long lastSequence) implements Write {}

    private final Connection connection;

    SqliteStoreWriter(Connection connection) {
        this.connection = connection;
    }

    /**
     * Writes a batch: the changes of the log first, then registers, then their expiry. All of it is durable once this
     * returns, and none of it where it throws.
     *
     * @throws StoreUnavailableException where the same batch may succeed later
     * @throws StoreDamagedException where the database must not be used any more
     */
    void write(List<Write> batch) throws StoreUnavailableException, StoreDamagedException {
        try (Statement statement = connection.createStatement();
                SqliteTransaction transaction = SqliteTransaction.begin(statement)) {
            // Statements are prepared only where they are needed: to prepare one costs more than to run it.
            if (batch.stream().anyMatch(LogWrite.class::isInstance)) {
                writeLogChanges(batch);
            }
            if (batch.stream().anyMatch(RegisterWrite.class::isInstance)) {
                writeRegisters(batch);
            }
            for (Write write : batch) {
                if (write instanceof RegisterExpiry expiry) {
                    expireRegisters(expiry);
                }
            }
            transaction.commit();
        } catch (SQLException e) {
            if (StoreDamagedException.isDamage(e)) {
                throw new StoreDamagedException(e);
            }
            throw new StoreUnavailableException(e);
        }
    }

    private void writeLogChanges(List<Write> batch) throws SQLException {
        try (PreparedStatement selfUpdate = connection.prepareStatement(StoreSchema.UPDATE_SELF);
                PreparedStatement logTruncation = connection.prepareStatement(StoreSchema.DELETE_LOG_FROM);
                PreparedStatement logPrefixDeletion = connection.prepareStatement(StoreSchema.DELETE_LOG_UP_TO);
                PreparedStatement entryPut = connection.prepareStatement(StoreSchema.PUT_LOG_ENTRY);
                PreparedStatement snapshotPut = connection.prepareStatement(StoreSchema.PUT_SNAPSHOT)) {
            for (Write write : batch) {
                if (!(write instanceof LogWrite logWrite)) {
                    continue;
                }
                Change change = logWrite.change;
                updateSelf(selfUpdate, logWrite.incarnation, change);
                if (change.truncateFrom() > 0) {
                    logTruncation.setLong(1, change.truncateFrom());
                    logTruncation.executeUpdate();
                }
                if (change.snapshot() != null) {
                    putSnapshot(snapshotPut, change.snapshot());
                    logPrefixDeletion.setLong(1, change.snapshot().index());
                    logPrefixDeletion.executeUpdate();
                }
                for (LogEntry entry : change.appendedEntries()) {
                    putLogEntry(entryPut, entry);
                }
            }
        }
    }

    private static void updateSelf(PreparedStatement selfUpdate, String incarnation, Change change)
            throws SQLException {
        selfUpdate.setLong(1, change.currentTerm());
        selfUpdate.setString(2, change.votedFor());
        selfUpdate.setLong(3, change.commitIndex());
        selfUpdate.setLong(
                4,
                StoreSchema.checksum(
                        StoreSchema.SINGLE_ROW_ID,
                        incarnation,
                        change.currentTerm(),
                        change.votedFor(),
                        change.commitIndex()));
        selfUpdate.executeUpdate();
    }

    private static void putSnapshot(PreparedStatement snapshotPut, Snapshot snapshot) throws SQLException {
        String voters = GSON.toJson(snapshot.voters());
        snapshotPut.setLong(1, snapshot.index());
        snapshotPut.setLong(2, snapshot.term());
        snapshotPut.setString(3, voters);
        snapshotPut.setString(4, snapshot.data());
        snapshotPut.setLong(
                5,
                StoreSchema.checksum(
                        StoreSchema.SINGLE_ROW_ID, snapshot.index(), snapshot.term(), voters, snapshot.data()));
        snapshotPut.executeUpdate();
    }

    /** Runs {@link StoreSchema#PUT_LOG_ENTRY}. */
    static void putLogEntry(PreparedStatement entryPut, LogEntry entry) throws SQLException {
        entryPut.setLong(1, entry.index());
        entryPut.setLong(2, entry.term());
        entryPut.setString(3, entry.data());
        entryPut.setLong(4, StoreSchema.checksum(entry.index(), entry.term(), entry.data()));
        entryPut.executeUpdate();
    }

    private void writeRegisters(List<Write> batch) throws SQLException {
        try (PreparedStatement registerPut = connection.prepareStatement(StoreSchema.PUT_REGISTER)) {
            for (Write write : batch) {
                if (write instanceof RegisterWrite registerWrite) {
                    long sequence = registerWrite.firstSequence;
                    for (StoredRegister register : registerWrite.registers) {
                        putRegister(registerPut, sequence, register);
                        sequence++;
                    }
                }
            }
        }
    }

    private static void putRegister(PreparedStatement registerPut, long sequence, StoredRegister register)
            throws SQLException {
        registerPut.setLong(1, sequence);
        registerPut.setString(2, register.registerId());
        registerPut.setString(3, register.promisedProposal());
        registerPut.setString(4, register.acceptedProposal());
        registerPut.setString(5, register.acceptedValue());
        registerPut.setLong(
                6,
                StoreSchema.checksum(
                        sequence,
                        register.registerId(),
                        register.promisedProposal(),
                        register.acceptedProposal(),
                        register.acceptedValue()));
        registerPut.executeUpdate();
    }

    private void expireRegisters(RegisterExpiry expiry) throws SQLException {
        try (PreparedStatement expiryDeletion = connection.prepareStatement(StoreSchema.DELETE_REGISTERS_UP_TO)) {
            expiryDeletion.setLong(1, expiry.lastSequence);
            expiryDeletion.executeUpdate();
        }
    }
}
