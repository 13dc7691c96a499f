package bramblespool.raft;

import bramblespool.state.Ledger;
import bramblespool.state.Vault;
import bramblespool.state.Voters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** The log as this member holds it: a snapshot of what is folded, and the entries behind it. */
final class RaftLog {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String MEMBERS = "members";

    private Vault.Snapshot snapshot;
    private final List<Vault.Entry> entries = new ArrayList<>();
    /** What {@link #voters} found; null after entries have changed. */
    private Voters newestVoters;

    RaftLog(Vault.Saved saved) {
        snapshot = saved.snapshot() != null ? saved.snapshot() : new Vault.Snapshot(0, 0, List.of(), null);
        for (Vault.Entry e : saved.entries()) {
            if (e.index() == last() + 1) {
                entries.add(e);
            }
        }
    }

    /** An entry that makes these the voters. */
    static ObjectNode members(Voters voters) {
        ObjectNode e = Ledger.entry(MEMBERS);
        ArrayNode list = e.putArray("voters");
        voters.written().forEach(list::add);
        return e;
    }

    static JsonNode parse(String data) {
        try {
            return JSON.readTree(data);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an agreed entry cannot be read", e);
        }
    }

    private static boolean names(Vault.Entry e) {
        return e.data().startsWith("{\"k\":\"" + MEMBERS + "\"");
    }

    private static List<String> votersOf(Vault.Entry e) {
        List<String> out = new ArrayList<>();
        parse(e.data()).path("voters").forEach(v -> out.add(v.asText()));
        return out;
    }

    Vault.Snapshot snapshot() {
        return snapshot;
    }

    /** The index up to which the snapshot goes. */
    long base() {
        return snapshot.index();
    }

    long last() {
        return snapshot.index() + entries.size();
    }

    long lastTerm() {
        return termAt(last());
    }

    long termAt(long index) {
        return index == base() ? snapshot.term() : index < base() || index > last() ? -1 : get(index).term();
    }

    Vault.Entry get(long index) {
        return entries.get((int) (index - base() - 1));
    }

    void add(Vault.Entry e) {
        entries.add(e);
        newestVoters = null;
    }

    void truncate(long from) {
        entries.subList((int) (from - base() - 1), entries.size()).clear();
        newestVoters = null;
    }

    /** Takes a snapshot of the state as of an index in place of the entries up to there. */
    void fold(long upTo, String data) {
        List<String> votersThen = snapshot.voters();
        int n = (int) (upTo - base());
        for (int i = 0; i < n; i++) {
            if (names(entries.get(i))) {
                votersThen = votersOf(entries.get(i));
            }
        }
        snapshot = new Vault.Snapshot(upTo, termAt(upTo), votersThen, data);
        entries.subList(0, n).clear();
        newestVoters = null;
    }

    /** Another member's snapshot in place of all that is here. */
    void replace(Vault.Snapshot by) {
        snapshot = by;
        entries.clear();
        newestVoters = null;
    }

    /** The voters as the newest entry that names them says, agreed or not. */
    Voters voters() {
        if (newestVoters == null) {
            newestVoters = Voters.read(findVoters());
        }
        return newestVoters;
    }

    private List<String> findVoters() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (names(entries.get(i))) {
                return votersOf(entries.get(i));
            }
        }
        return snapshot.voters();
    }

    /** Whether an entry behind this index names voters. */
    boolean changesVoters(long behind) {
        for (long i = Math.max(behind, base()) + 1; i <= last(); i++) {
            if (names(get(i))) {
                return true;
            }
        }
        return false;
    }
}
