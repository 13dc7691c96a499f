package bramblespool.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads that wait until a majority has confirmed, after each was asked for, that this member still leads (ReadIndex). */
final class Reads {
    private record Read(long at, Consumer<Boolean> done) {}

    private final Raft raft;
    private final List<Read> waiting = new ArrayList<>();

    Reads(Raft raft) {
        this.raft = raft;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Answers true once a majority has confirmed that this member still leads. */
    void confirm(Consumer<Boolean> done) {
        if (!raft.leads()) {
            done.accept(false);
            return;
        }
        waiting.add(new Read(raft.clock.now(), done));
        if (!settle()) {
            raft.replication.replicate(true);
        }
    }

    boolean settle() {
        List<Read> done = new ArrayList<>();
        for (Read r : waiting) {
            if (raft.group().majority(v -> v.equals(raft.self) || raft.replication.acked(v) > r.at)) {
                done.add(r);
            }
        }
        waiting.removeAll(done);
        done.forEach(r -> r.done.accept(true));
        return !done.isEmpty() && waiting.isEmpty();
    }

    /** Gives up those that have waited for longer than an election takes. */
    void expire(long now) {
        waiting.removeIf(r -> {
            boolean late = now - r.at > raft.times.election();
            if (late) {
                r.done.accept(false);
            }
            return late;
        });
    }

    /** The lead is lost: takes out all that wait, to be answered false. */
    List<Consumer<Boolean>> drain() {
        List<Consumer<Boolean>> out = new ArrayList<>();
        waiting.forEach(r -> out.add(r.done));
        waiting.clear();
        return out;
    }
}
