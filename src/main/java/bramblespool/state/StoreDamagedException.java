package bramblespool.state;

import java.sql.SQLException;
import org.sqlite.SQLiteErrorCode;
import org.sqlite.SQLiteException;

/** What is on the disk cannot be the whole of what was written: the database must not be used any more. */
final class StoreDamagedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Extended result codes of SQLite have their primary code in these bits. */
    private static final int PRIMARY_CODE_MASK = 0xff;

    StoreDamagedException(String reason) {
        super(reason);
    }

    StoreDamagedException(SQLException cause) {
        super(cause.getMessage(), cause);
    }

    /**
     * Whether an error of SQLite's means that the file is damaged or not a database of ours. All other errors pass, and
     * leave the file as it was.
     */
    static boolean isDamage(SQLException e) {
        if (!(e instanceof SQLiteException sqliteException)) {
            return false;
        }
        SQLiteErrorCode resultCode = sqliteException.getResultCode();
        if (resultCode == SQLiteErrorCode.SQLITE_IOERR_SHORT_READ) {
            // A read that ends early without an error of the disk's: the file is too short.
            return true;
        }
        int primaryCode = resultCode.code & PRIMARY_CODE_MASK;
        return primaryCode == SQLiteErrorCode.SQLITE_CORRUPT.code
                || primaryCode == SQLiteErrorCode.SQLITE_FORMAT.code
                || primaryCode == SQLiteErrorCode.SQLITE_NOTADB.code;
    }
}
