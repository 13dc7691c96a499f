package bramblespool.raft;

import java.util.ArrayList;
import java.util.List;

/** Keeps the entries that it is given; its state is their list. */
final class FakeStateMachine implements StateMachine {
    final List<String> entries = new ArrayList<>();
    boolean isSynced = true;

    @Override
    public void apply(long index, String entry) {
        entries.add(entry);
    }

    @Override
    public String snapshot() {
        return "{" + String.join(";", entries) + "}";
    }

    @Override
    public void restore(String snapshot) {
        entries.clear();
        entries.addAll(List.of(snapshot.substring(1, snapshot.length() - 1).split(";")));
    }

    @Override
    public void onLeadershipChanged(boolean isLeader) {}

    @Override
    public boolean isSynced() {
        return isSynced;
    }
}
