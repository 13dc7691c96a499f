package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.AnswerStore.Answer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SqliteAnswerStoreTest {
    private static final long WAIT_S = 20;
    private static final Answer FIRST = new Answer("1/r", "peer life 1", -7, 123_456, "{\"code\":200}", "a:1 b:1");
    private static final Answer SECOND = new Answer("1/r", "peer life 2", 8, 123_457, "ä", "b:1");

    @TempDir
    Path dir;

    private SqliteAnswerStore open() {
        return new SqliteAnswerStore(dir.toString(), Runnable::run, EventLog.silent());
    }

    private static <T> T await(BlockingQueue<T> results) throws InterruptedException {
        T result = results.poll(WAIT_S, TimeUnit.SECONDS);
        assertTrue(result != null, "no callback");
        return result;
    }

    private static boolean save(AnswerStore store, Answer... answers) throws InterruptedException {
        BlockingQueue<Boolean> results = new ArrayBlockingQueue<>(1);
        store.saveAnswers(List.of(answers), results::add);
        return await(results);
    }

    private static Optional<Answer> find(AnswerStore store, Answer answer) throws InterruptedException {
        BlockingQueue<Optional<Answer>> results = new ArrayBlockingQueue<>(1);
        store.findAnswer(answer.registerId(), answer.claim(), results::add);
        return await(results);
    }

    @Test
    void whatWasSavedIsThereAfterARestart() throws Exception {
        SqliteAnswerStore store = open();
        assertTrue(save(store, FIRST, SECOND));
        assertEquals(Optional.of(FIRST), find(store, FIRST));
        store.close();
        SqliteAnswerStore reopened = open();
        assertEquals(Optional.of(SECOND), find(reopened, SECOND));
        assertTrue(save(reopened, new Answer("1/s", "c", 1, 2, "x", "")), "numbers go on");
        assertEquals(Optional.of(FIRST), find(reopened, FIRST));
        reopened.close();
    }

    @Test
    void nothingIsCreatedBeforeTheFirstAnswer() throws Exception {
        SqliteAnswerStore store = open();
        store.expireAnswers(1);
        assertEquals(Optional.empty(), find(store, FIRST));
        store.close();
        try (var files = Files.list(dir)) {
            assertEquals(0, files.count());
        }
    }

    private static AnswerStore.AnswerPage page(AnswerStore store, String holder, long after, int limit)
            throws InterruptedException {
        BlockingQueue<AnswerStore.AnswerPage> results = new ArrayBlockingQueue<>(1);
        store.pageAnswers(holder, after, limit, results::add);
        return await(results);
    }

    @Test
    void pagesAreOfOneHolder() throws Exception {
        SqliteAnswerStore store = open();
        assertEquals(AnswerStore.AnswerPage.NONE, page(store, "b:1", 0, 1));
        assertTrue(save(store, FIRST, SECOND));
        assertEquals(new AnswerStore.AnswerPage(List.of(FIRST), 1, true), page(store, "b:1", 0, 1));
        assertEquals(new AnswerStore.AnswerPage(List.of(SECOND), 2, true), page(store, "b:1", 1, 1));
        assertEquals(new AnswerStore.AnswerPage(List.of(), 2, false), page(store, "b:1", 2, 1));
        assertEquals(List.of(FIRST), page(store, "a:1", 0, 9).answers());
        assertEquals(List.of(), page(store, "a", 0, 9).answers());
        store.close();
    }

    @Test
    void answersExpireAfterSoManyPeriods() throws Exception {
        SqliteAnswerStore store = open();
        assertTrue(save(store, FIRST));
        store.expireAnswers(2);
        assertTrue(save(store, SECOND));
        store.expireAnswers(2);
        assertEquals(Optional.of(FIRST), find(store, FIRST));
        store.expireAnswers(2);
        assertEquals(Optional.empty(), find(store, FIRST));
        assertEquals(Optional.of(SECOND), find(store, SECOND));
        store.close();
    }

    @Test
    void damagedDatabaseIsCreatedAnew() throws Exception {
        Files.writeString(dir.resolve("answers.db"), "no database at all, ".repeat(500));
        SqliteAnswerStore store = open();
        assertFalse(save(store, FIRST), "it is found out");
        assertTrue(save(store, FIRST));
        assertEquals(Optional.of(FIRST), find(store, FIRST));
        store.close();
    }

    @Test
    void alteredAnswerIsNone() throws Exception {
        SqliteAnswerStore store = open();
        assertTrue(save(store, FIRST, SECOND));
        store.close();
        sql("UPDATE answer SET response='altered' WHERE claim='" + FIRST.claim() + "'");
        SqliteAnswerStore reopened = open();
        assertEquals(Optional.empty(), find(reopened, FIRST));
        assertEquals(Optional.of(SECOND), find(reopened, SECOND));
        reopened.close();
    }

    @Test
    void directoryThatIsGoneIsAFailureNotACrash() throws Exception {
        Files.delete(dir);
        SqliteAnswerStore store = open();
        assertFalse(save(store, FIRST));
        assertEquals(Optional.empty(), find(store, FIRST));
        Files.createDirectory(dir);
        assertTrue(save(store, FIRST));
        store.close();
    }

    private void sql(String statement) throws Exception {
        try (var connection = SqliteConnections.connect(new SyncedDirectory(dir), "answers.db");
                var sql = connection.createStatement()) {
            sql.execute(statement);
        }
    }
}
