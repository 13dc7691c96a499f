package bramblespool.state;

import com.google.gson.Gson;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;

/** The vault on SQLite: one disk thread does every write and sync and posts the results back to the loop. */
public final class SqliteVault implements Vault, AutoCloseable {
    /** A failed write is tried again after this long; a full disk is emptied by somebody else, not by haste. */
    private static final long RETRY_MS = 150;
    /** Pages in the write-ahead log before SQLite moves them: keeps the file well under a megabyte. */
    private static final int CHECKPOINT_PAGES = 128;

    /** How long an ending process waits for a write under way; the disk keeps all that was acknowledged anyway. */
    private static final long LAST_WRITE_MS = 200;

    /** A change of the log, or words on registers, or the removal of words up to one. */
    private record Job(Change change, List<Kept> words, long first, long fadeTo, Runnable durable) {
    }

    private final Connection db;
    private final java.util.concurrent.Executor loop;
    private final LongSupplier now;
    private final Log log;
    private final ManyToOneConcurrentLinkedQueue<Job> jobs = new ManyToOneConcurrentLinkedQueue<>();
    private final ArrayDeque<Long> waiting = new ArrayDeque<>();
    private final Thread thread;
    private volatile boolean closed;
    private boolean failing;
    /** The number of the last word handed to the disk, and what it was at the last calls of {@code fade}. */
    private long written;
    private final ArrayDeque<Long> marks = new ArrayDeque<>();
    private static final Gson GSON = new Gson();

    public SqliteVault(String dir, java.util.concurrent.Executor loop, LongSupplier now, Log log) throws SQLException {
        this.loop = loop;
        this.now = now;
        this.log = log;
        db = DriverManager.getConnection("jdbc:sqlite:" + dir + "/helm.db");
        try (Statement s = db.createStatement()) {
            s.execute("PRAGMA locking_mode=EXCLUSIVE");
            s.execute("PRAGMA journal_mode=WAL");
            s.execute("PRAGMA synchronous=FULL");
            s.execute("PRAGMA cache_size=-512");
            s.execute("PRAGMA wal_autocheckpoint=" + CHECKPOINT_PAGES);
            s.execute("CREATE TABLE IF NOT EXISTS self(id INTEGER PRIMARY KEY CHECK(id=1), incarnation TEXT, term INTEGER, vote TEXT, agreed INTEGER)");
            s.execute("CREATE TABLE IF NOT EXISTS log(idx INTEGER PRIMARY KEY, term INTEGER, data TEXT)");
            // Rows are only ever added at the end, and removed from the beginning: few pages to each write.
            s.execute("CREATE TABLE IF NOT EXISTS register(seq INTEGER PRIMARY KEY, id TEXT, promised TEXT, accepted TEXT, value TEXT)");
            s.execute("CREATE TABLE IF NOT EXISTS snapshot(id INTEGER PRIMARY KEY CHECK(id=1), idx INTEGER, term INTEGER, voters TEXT, data TEXT)");
        }
        try (Statement s = db.createStatement(); ResultSet r = s.executeQuery("SELECT max(seq) FROM register")) {
            written = r.next() ? r.getLong(1) : 0;
        }
        thread = new Thread(null, this::work, "disk", 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public Saved load() {
        try (Statement s = db.createStatement()) {
            String incarnation;
            String vote;
            long term;
            long agreed;
            try (ResultSet r = s.executeQuery("SELECT incarnation, term, vote, agreed FROM self")) {
                if (!r.next()) {
                    return null;
                }
                incarnation = r.getString(1);
                term = r.getLong(2);
                vote = r.getString(3);
                agreed = r.getLong(4);
            }
            Snapshot snapshot = null;
            try (ResultSet r = s.executeQuery("SELECT idx, term, voters, data FROM snapshot")) {
                if (r.next()) {
                    snapshot = new Snapshot(r.getLong(1), r.getLong(2),
                            Arrays.asList(GSON.fromJson(r.getString(3), String[].class)), r.getString(4));
                }
            }
            List<Entry> entries = new ArrayList<>();
            try (ResultSet r = s.executeQuery("SELECT idx, term, data FROM log ORDER BY idx")) {
                while (r.next()) {
                    entries.add(new Entry(r.getLong(1), r.getLong(2), r.getString(3)));
                }
            }
            return new Saved(incarnation, term, vote, agreed, snapshot, entries);
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void found(String incarnation, List<Entry> first) {
        try (Statement s = db.createStatement();
                PreparedStatement p = db.prepareStatement("INSERT INTO self VALUES(1,?,0,NULL,0)");
                PreparedStatement add = db.prepareStatement("INSERT INTO log VALUES(?,?,?)")) {
            s.execute("BEGIN");
            p.setString(1, incarnation);
            p.executeUpdate();
            for (Entry e : first) {
                add.setLong(1, e.index());
                add.setLong(2, e.term());
                add.setString(3, e.data());
                add.executeUpdate();
            }
            s.execute("COMMIT");
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void save(Change change, Runnable durable) {
        add(new Job(change, List.of(), 0, 0, durable));
    }

    private void add(Job job) {
        waiting.add(now.getAsLong());
        jobs.offer(job);
        LockSupport.unpark(thread);
    }

    @Override
    public void keep(List<Kept> words, Runnable durable) {
        add(new Job(null, List.copyOf(words), written + 1, 0, durable));
        written += words.size();
    }

    @Override
    public List<Kept> kept() {
        List<Kept> out = new ArrayList<>();
        try (Statement s = db.createStatement();
                ResultSet r = s.executeQuery("SELECT id, promised, accepted, value FROM register ORDER BY seq")) {
            while (r.next()) {
                out.add(new Kept(r.getString(1), r.getString(2), r.getString(3), r.getString(4)));
            }
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
        return out;
    }

    @Override
    public void fade(int parts) {
        marks.add(written);
        if (marks.size() > parts) {
            add(new Job(null, List.of(), 0, marks.poll(), () -> { }));
        }
    }

    @Override
    public long waitingSince() {
        return waiting.isEmpty() ? -1 : waiting.peek();
    }

    @Override
    public boolean failing() {
        return failing;
    }

    private void work() {
        List<Job> batch = new ArrayList<>();
        while (!closed) {
            Job job = jobs.poll();
            if (job == null) {
                LockSupport.park(this);
                continue;
            }
            batch.clear();
            while (job != null) {
                batch.add(job);
                job = jobs.poll();
            }
            List<Job> done = List.copyOf(batch);
            while (!closed) {
                try {
                    if (done.stream().anyMatch(j -> j.change != null || !j.words.isEmpty() || j.fadeTo > 0)) {
                        write(done);
                    }
                    loop.execute(() -> finished(done));
                    break;
                } catch (SQLException e) {
                    loop.execute(() -> failed(e));
                    LockSupport.parkNanos(RETRY_MS * 1_000_000);
                }
            }
        }
    }

    private void finished(List<Job> done) {
        if (failing) {
            failing = false;
            log.say(Log.Event.DISK_BACK);
        }
        for (Job j : done) {
            waiting.poll();
            j.durable.run();
        }
    }

    private void failed(SQLException e) {
        if (!failing) {
            log.say(Log.Event.DISK_FAILED, "error", e.getMessage());
        }
        failing = true;
    }

    /**
     * One transaction for the batch. It is begun and ended in words: after some errors, a full disk among them, SQLite
     * has rolled back by itself, and the driver's own book-keeping would take the next writes for a transaction that
     * is no longer there.
     */
    private void write(List<Job> batch) throws SQLException {
        try (Statement s = db.createStatement()) {
            s.execute("BEGIN");
            try {
                fill(batch);
                s.execute("COMMIT");
            } catch (SQLException e) {
                try {
                    s.execute("ROLLBACK");
                } catch (SQLException none) {
                    e.addSuppressed(none);
                }
                throw e;
            }
        }
    }

    private void fill(List<Job> batch) throws SQLException {
        // Statements are made only where they are needed: making one costs more than running it.
        if (batch.stream().anyMatch(j -> j.change != null)) {
            fillLog(batch);
        }
        if (batch.stream().anyMatch(j -> !j.words.isEmpty())) {
            try (PreparedStatement word = db.prepareStatement("INSERT OR REPLACE INTO register VALUES(?,?,?,?,?)")) {
                for (Job j : batch) {
                    long seq = j.first;
                    for (Kept k : j.words) {
                        word.setLong(1, seq++);
                        word.setString(2, k.id());
                        word.setString(3, k.promised());
                        word.setString(4, k.accepted());
                        word.setString(5, k.value());
                        word.executeUpdate();
                    }
                }
            }
        }
        for (Job j : batch) {
            if (j.fadeTo > 0) {
                try (PreparedStatement fade = db.prepareStatement("DELETE FROM register WHERE seq<=? AND id<>''")) {
                    fade.setLong(1, j.fadeTo);
                    fade.executeUpdate();
                }
            }
        }
    }

    private void fillLog(List<Job> batch) throws SQLException {
        try (PreparedStatement self = db.prepareStatement("UPDATE self SET term=?, vote=?, agreed=?");
                PreparedStatement cut = db.prepareStatement("DELETE FROM log WHERE idx>=?");
                PreparedStatement drop = db.prepareStatement("DELETE FROM log WHERE idx<=?");
                PreparedStatement add = db.prepareStatement("INSERT OR REPLACE INTO log VALUES(?,?,?)");
                PreparedStatement snap = db.prepareStatement("INSERT OR REPLACE INTO snapshot VALUES(1,?,?,?,?)")) {
            for (Job j : batch) {
                Change c = j.change;
                if (c == null) {
                    continue;
                }
                self.setLong(1, c.term());
                self.setString(2, c.vote());
                self.setLong(3, c.commit());
                self.executeUpdate();
                if (c.truncateFrom() > 0) {
                    cut.setLong(1, c.truncateFrom());
                    cut.executeUpdate();
                }
                if (c.snapshot() != null) {
                    snap.setLong(1, c.snapshot().index());
                    snap.setLong(2, c.snapshot().term());
                    snap.setString(3, GSON.toJson(c.snapshot().voters()));
                    snap.setString(4, c.snapshot().data());
                    snap.executeUpdate();
                    drop.setLong(1, c.snapshot().index());
                    drop.executeUpdate();
                }
                for (Entry e : c.append()) {
                    add.setLong(1, e.index());
                    add.setLong(2, e.term());
                    add.setString(3, e.data());
                    add.executeUpdate();
                }
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(LAST_WRITE_MS);
            if (!thread.isAlive()) {
                db.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (SQLException e) {
            log.say(Log.Event.DISK_FAILED, "error", e.getMessage());
        }
    }
}
