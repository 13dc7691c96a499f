package bramblespool.state;

import java.nio.file.Path;

/** A folder whose syncs cost nothing: an image is only looked at. */
final class DirectoryImage extends SyncedDirectory {
    DirectoryImage(Path path) {
        super(path);
    }

    @Override
    void sync(String name) {}

    @Override
    void sync() {}
}
