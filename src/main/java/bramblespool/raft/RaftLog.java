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

/**
 * The log as this member holds it: a snapshot of what is folded, and the entries behind it. Some of the entries that the
 * snapshot covers stay in memory, for members that are only a little behind.
 */
final class RaftLog {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String MEMBERS = "members";

    private Vault.Snapshot snapshot;
    private final List<Vault.Entry> entries = new ArrayList<>();
    /** The index and the term of the entry right before the first one held. */
    private long before;

    private long beforeTerm;
    /** What {@link #voters} found; null after entries have changed. */
    private Voters newestVoters;

    RaftLog(Vault.Saved saved) {
        snapshot = saved.snapshot() != null ? saved.snapshot() : new Vault.Snapshot(0, 0, List.of(), null);
        before = snapshot.index();
        beforeTerm = snapshot.term();
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
        return before + entries.size();
    }

    /** The index right before the first entry held. */
    long before() {
        return before;
    }

    /** How many letters the entries from one index to another hold. */
    long letters(long from, long to) {
        long sum = 0;
        for (long i = from; i <= to; i++) {
            sum += get(i).data().length();
        }
        return sum;
    }

    long lastTerm() {
        return termAt(last());
    }

    long termAt(long index) {
        return index == before
                ? beforeTerm
                : index < before || index > last() ? -1 : get(index).term();
    }

    Vault.Entry get(long index) {
        return entries.get((int) (index - before - 1));
    }

    void add(Vault.Entry e) {
        entries.add(e);
        newestVoters = null;
    }

    void truncate(long from) {
        entries.subList((int) (from - before - 1), entries.size()).clear();
        newestVoters = null;
    }

    /**
     * Takes a snapshot of the state as of an index in place of the entries up to there. As many of these stay in memory as
     * are together no larger than the snapshot, which is the better thing to send to whoever lacks more.
     */
    void fold(long upTo, String data) {
        List<String> votersThen = snapshot.voters();
        for (long i = base() + 1; i <= upTo; i++) {
            if (names(get(i))) {
                votersThen = votersOf(get(i));
            }
        }
        snapshot = new Vault.Snapshot(upTo, termAt(upTo), votersThen, data);
        long from = upTo;
        long kept = 0;
        while (from > before && kept + get(from).data().length() <= data.length()) {
            kept += get(from).data().length();
            from--;
        }
        drop(from);
        newestVoters = null;
    }

    private void drop(long upTo) {
        long termThen = termAt(upTo);
        entries.subList(0, (int) (upTo - before)).clear();
        before = upTo;
        beforeTerm = termThen;
    }

    /**
     * Another member's snapshot in place of what it covers. Answers whether the entries behind it stay: they do where the
     * log holds the last entry that the snapshot covers, for some may be agreed because this member has them.
     */
    boolean replace(Vault.Snapshot by) {
        boolean agrees = termAt(by.index()) == by.term();
        if (agrees) {
            drop(by.index());
        } else {
            entries.clear();
            before = by.index();
            beforeTerm = by.term();
        }
        snapshot = by;
        newestVoters = null;
        return agrees;
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
