package bramblespool.coordination;

import bramblespool.state.DurableStore;
import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A voter's part in the registers: what it has promised and accepted. Nothing here waits for the disk: whoever answers a
 * proposer does so only when the word returned by {@link #promise} or {@link #accept} is kept.
 */
final class Acceptor {
    /** One register here: the highest ballot promised, and what was accepted under which. */
    static final class Cell {
        private Ballot promised;
        private Ballot accepted;
        private String value;
        private long until;

        Ballot promised() {
            return promised;
        }

        Ballot accepted() {
            return accepted;
        }

        String value() {
            return value;
        }
    }

    private record Expiry(String id, long at) {}

    private final Clock clock;
    private final long lifeMs;
    private final TreeMap<String, Cell> cells = new TreeMap<>();
    private final ArrayDeque<Expiry> expiries = new ArrayDeque<>();

    /** What is loaded from disk lives on for a whole life from now: nobody knows how long this process was away. */
    Acceptor(Clock clock, long lifeMs, List<DurableStore.StoredRegister> kept) {
        this.clock = clock;
        this.lifeMs = lifeMs;
        for (DurableStore.StoredRegister k : kept) {
            if (!k.registerId().isEmpty()) {
                Cell c = cell(k.registerId());
                c.promised = Ballot.read(k.promisedProposal());
                c.accepted = Ballot.read(k.acceptedProposal());
                c.value = k.acceptedValue();
            }
        }
    }

    int size() {
        return cells.size();
    }

    /** The register here, or null where nothing was ever promised or accepted. */
    Cell get(String id) {
        return cells.get(id);
    }

    private Cell cell(String id) {
        return cells.computeIfAbsent(id, i -> {
            Cell c = new Cell();
            c.until = clock.now() + lifeMs;
            expiries.add(new Expiry(i, c.until));
            return c;
        });
    }

    /** Promises to accept nothing below the ballot; false where it has promised or accepted that or a higher one. */
    boolean promise(String id, Ballot b) {
        Cell c = cells.get(id);
        if (c != null && (notBelow(c.promised, b) || notBelow(c.accepted, b))) {
            return false;
        }
        c = cell(id);
        c.promised = b;
        c.until = clock.now() + lifeMs;
        return true;
    }

    private static boolean notBelow(Ballot a, Ballot b) {
        return a != null && a.compareTo(b) >= 0;
    }

    /** Accepts a value; a round without a prepare only into a register of which nothing is known. */
    boolean accept(String id, Ballot b, String value) {
        Cell c = cells.get(id);
        if (c != null) {
            if (b.equals(c.accepted)) {
                return value.equals(c.value);
            }
            if (b.number() == 0
                    || c.promised != null && c.promised.compareTo(b) > 0
                    || c.accepted != null && c.accepted.compareTo(b) > 0) {
                return false;
            }
        }
        c = cell(id);
        c.accepted = b;
        c.value = value;
        c.until = clock.now() + lifeMs;
        return true;
    }

    /** Takes over what another acceptor has accepted, where that is newer. */
    boolean copy(String id, Ballot accepted, String value) {
        Cell c = cell(id);
        if (accepted == null || c.accepted != null && c.accepted.compareTo(accepted) >= 0) {
            return false;
        }
        c.accepted = accepted;
        c.value = value;
        return true;
    }

    /** The register as it goes to disk. */
    DurableStore.StoredRegister word(String id) {
        Cell c = cells.get(id);
        return new DurableStore.StoredRegister(
                id,
                c.promised == null ? null : c.promised.written(),
                c.accepted == null ? null : c.accepted.written(),
                c.value);
    }

    /** Some of the registers in the order of their ids, from after the one named. */
    List<String> after(String id, int most) {
        List<String> out = new ArrayList<>();
        for (Map.Entry<String, Cell> e : cells.tailMap(id, false).entrySet()) {
            if (out.size() == most) {
                break;
            }
            out.add(e.getKey());
        }
        return out;
    }

    /** Forgets what is past its life. */
    void expire() {
        long now = clock.now();
        while (!expiries.isEmpty() && expiries.peek().at < now) {
            Expiry e = expiries.poll();
            Cell c = cells.get(e.id);
            if (c != null && c.until < now) {
                cells.remove(e.id);
            } else if (c != null) {
                expiries.add(new Expiry(e.id, c.until));
            }
        }
    }
}
