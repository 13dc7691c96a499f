package bramblespool.model;

import bramblespool.coordination.HelmCore;
import bramblespool.raft.Raft;
import java.util.List;

/** All that the model reads of a helm's agreement. */
final class RaftView {
    private RaftView() {
    }

    static boolean leads(HelmCore h) {
        return h.raft.leads();
    }

    static long term(HelmCore h) {
        return h.raft.term();
    }

    static long applied(HelmCore h) {
        return h.raft.applied();
    }

    /** Where a caller is sent on to, or null. */
    static String leaderControl(HelmCore h) {
        return h.raft.leaderControl();
    }

    static List<String> voters(HelmCore h) {
        return h.raft.voters();
    }

    static String member(HelmCore h) {
        return h.raft.self();
    }

    static String addressOf(String member) {
        return Raft.addressOf(member);
    }
}
