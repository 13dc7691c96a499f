package bramblespool.raft;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** What the agreed entries act on. */
public interface StateMachine {
    void apply(long index, JsonNode entry);

    ObjectNode snapshot();

    void restore(JsonNode snapshot);

    /** Called with true once this member leads and has applied all that was agreed before. */
    void onLeadershipChanged(boolean isLeader);

    /** Whether this member, as a voter, holds all that the voters before it had agreed besides the log. */
    boolean isSynced();
}
