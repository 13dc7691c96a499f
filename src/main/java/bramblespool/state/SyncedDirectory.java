package bramblespool.state;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/** A folder on a disk: what a file holds lasts from its own sync on, names made, moved or removed from the folder's. */
class SyncedDirectory {
    final Path path;

    SyncedDirectory(Path path) {
        this.path = path;
    }

    List<String> names() throws IOException {
        String[] entries = path.toFile().list();
        if (entries == null) {
            throw new IOException("cannot be listed: " + path);
        }
        return List.of(entries);
    }

    /** By the list of names: a folder that cannot be read is not an empty one. */
    boolean contains(String name) throws IOException {
        return names().contains(name);
    }

    /** Bytes in the file, 0 where there is none. */
    long size(String name) throws IOException {
        return contains(name) ? Files.size(path.resolve(name)) : 0;
    }

    /** Makes an empty file if there is none. */
    void createIfAbsent(String name) throws IOException {
        FileChannel.open(path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
                .close();
    }

    void move(String from, String to) throws IOException {
        Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

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
