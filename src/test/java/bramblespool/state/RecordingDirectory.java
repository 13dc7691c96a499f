package bramblespool.state;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The real folder, which also knows what has been synced, and keeps the moment after each of its steps. */
final class RecordingDirectory extends SyncedDirectory {
    final List<DiskState> states = new ArrayList<>();
    final Map<String, byte[]> synced = new TreeMap<>();
    final Set<String> names = new HashSet<>();

    RecordingDirectory(Path path) {
        super(path);
    }

    DiskState state() throws IOException {
        return new DiskState(StoreTestSupport.read(path), Set.copyOf(names), Map.copyOf(synced));
    }

    private void recordState() throws IOException {
        states.add(state());
    }

    /** After an acknowledgement: SQLite has synced both of its files. */
    DiskState markSynced() throws IOException {
        Map<String, byte[]> currentFiles = StoreTestSupport.read(path);
        synced.put(StoreTestSupport.DB, currentFiles.get(StoreTestSupport.DB));
        synced.put(StoreTestSupport.WAL, currentFiles.get(StoreTestSupport.WAL));
        return state();
    }

    @Override
    void createIfAbsent(String name) throws IOException {
        super.createIfAbsent(name);
        recordState();
    }

    @Override
    void move(String from, String to) throws IOException {
        super.move(from, to);
        if (synced.containsKey(from)) {
            synced.put(to, synced.get(from));
        }
        recordState();
    }

    @Override
    void remove(String name) throws IOException {
        super.remove(name);
        recordState();
    }

    @Override
    void sync(String name) throws IOException {
        recordState();
        super.sync(name);
        synced.put(name, Files.readAllBytes(path.resolve(name)));
        recordState();
    }

    @Override
    void sync() throws IOException {
        recordState();
        super.sync();
        names.clear();
        names.addAll(names());
        synced.keySet().retainAll(names);
        recordState();
    }
}
