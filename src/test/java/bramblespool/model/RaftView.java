package bramblespool.model;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.raft.RaftNode;
import bramblespool.state.DurableStore;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** All that the model reads of a controller's consensus state. */
final class RaftView {
    private RaftView() {}

    static boolean isLeader(ControllerNode controller) {
        return controller.raft().isLeader();
    }

    static long term(ControllerNode controller) {
        return controller.raft().currentTerm();
    }

    static long applied(ControllerNode controller) {
        return controller.raft().lastApplied();
    }

    /** Where a caller is sent on to, or null. */
    static String leaderControl(ControllerNode controller) {
        return controller.raft().leaderControlAddress();
    }

    static List<String> voters(ControllerNode controller) {
        return controller.raft().voters();
    }

    static String memberId(ControllerNode controller) {
        return controller.raft().localId();
    }

    /** Whether only a leader sends this kind of message. */
    static boolean isSentByLeader(String kind) {
        return kind.equals("append") || kind.equals("part") || kind.equals("heartbeat");
    }

    /** The index that an answer says the answering member has on its disk, or 0. */
    static long acknowledgedIndex(String kind, JsonNode request, JsonNode answer) {
        if (!answer.path("ok").asBoolean() || answer.has("have")) {
            return 0;
        }
        long upTo =
                switch (kind) {
                    case "append" ->
                        request.path("prevIndex").asLong()
                                + request.path("entries").size();
                    case "part" -> request.path("index").asLong();
                    default -> 0;
                };
        return Math.min(upTo, answer.path("stored").asLong(upTo));
    }

    /** The state that a snapshot on a disk holds, without the digest before it. */
    static String snapshotState(DurableStore.Snapshot snapshot) {
        return snapshot.data().substring(snapshot.data().indexOf('{'));
    }

    static String addressOf(String member) {
        return RaftNode.addressOf(member);
    }
}
