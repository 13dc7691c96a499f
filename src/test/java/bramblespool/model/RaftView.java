package bramblespool.model;

import bramblespool.coordination.HelmCore;
import bramblespool.coordination.Quorum;
import java.util.List;

/** All that the model reads of a helm's agreement. */
final class RaftView {
    private RaftView() {
    }

    static boolean leads(HelmCore h) {
        return h.quorum.leads();
    }

    static long term(HelmCore h) {
        return h.quorum.term();
    }

    static long applied(HelmCore h) {
        return h.quorum.applied();
    }

    /** Where a caller is sent on to, or null. */
    static String leaderControl(HelmCore h) {
        return h.quorum.leaderControl();
    }

    static List<String> voters(HelmCore h) {
        return h.quorum.voters();
    }

    static String member(HelmCore h) {
        return h.quorum.self();
    }

    static String addressOf(String member) {
        return Quorum.addressOf(member);
    }
}
