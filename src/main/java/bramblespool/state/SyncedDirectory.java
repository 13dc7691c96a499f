package bramblespool.state;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * A directory on a disk. What a file holds outlasts a loss of power only from the file's sync on; names that are
 * created, moved or removed do so only from the directory's sync on. Tests replace it by one that loses power. Not
 * thread-safe.
 */
class SyncedDirectory {
    final Path path;

    SyncedDirectory(Path path) {
        this.path = path;
    }

    /** The names of all files. */
    List<String> names() throws IOException {
        String[] entries = path.toFile().list();
        if (entries == null) {
            throw new IOException("cannot be listed: " + path);
        }
        return List.of(entries);
    }

    /**
     * Whether there is a file of this name; found by listing, for a directory that cannot be read is not an empty one.
     */
    boolean contains(String name) throws IOException {
        return names().contains(name);
    }

    /** Bytes in the file, 0 where there is none. */
    long size(String name) throws IOException {
        return contains(name) ? Files.size(path.resolve(name)) : 0;
    }

    /** Creates an empty file if there is none. */
    void createIfAbsent(String name) throws IOException {
        FileChannel.open(path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
                .close();
    }

    /** Moves a file in one step; a file that has the new name is replaced. */
    void move(String from, String to) throws IOException {
        Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Removes a file if it is there. */
    void remove(String name) throws IOException {
        Files.deleteIfExists(path.resolve(name));
    }

    /** Syncs a file. Not for one that SQLite has open: closing any handle of it would give up SQLite's locks. */
    void sync(String name) throws IOException {
        try (FileChannel file = FileChannel.open(path.resolve(name), StandardOpenOption.WRITE)) {
            file.force(true);
        }
    }

    /** Syncs the names. */
    void sync() throws IOException {
        try (FileChannel directory = FileChannel.open(path, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}
