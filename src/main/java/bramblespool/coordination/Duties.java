package bramblespool.coordination;

import bramblespool.state.Ledger;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/** Hands out the keyed duties as the leader: each key is held by a live helm, and changes hands with a higher fence. */
final class Duties {
    private final Quorum quorum;
    private final Ledger ledger;
    private final Supplier<Collection<String>> keys;
    private final Set<String> proposed = new HashSet<>();

    Duties(Quorum quorum, Ledger ledger, Supplier<Collection<String>> keys) {
        this.quorum = quorum;
        this.ledger = ledger;
        this.keys = keys;
    }

    /** One round: what nobody alive holds is given away. */
    void check() {
        if (!quorum.leads()) {
            proposed.clear();
            return;
        }
        List<String> alive = quorum.alive();
        for (String key : keys.get()) {
            Ledger.Duty d = ledger.duties().get(key);
            if (d != null && alive.contains(d.holder()) || !proposed.add(key)) {
                continue;
            }
            quorum.propose(Ledger.entry("duty").put("key", key).put("holder", Rendezvous.first(key, alive)),
                    ok -> proposed.remove(key));
        }
    }
}
