package bramblespool.coordination;

import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The operations whose keys this side has claimed. The register of a key names a side and its life; that side alone says
 * what became of the operation: while its claim stands, the request is run from here or nowhere.
 */
public final class Operations {
    /** What is known of an operation here. */
    public enum State {
        /** Its claim is being asked for. */
        CLAIMING,
        /** Never handed on under its claim, whether that was won or not: it may be run, or given away. */
        IDLE,
        /** In work. */
        RUNNING,
        /** Answered, and the answer is here or was dropped for want of room. */
        ANSWERED,
        /** Handed on, and nobody can say what came of it: it stays shut. */
        UNKNOWN,
        /** The claim was given up for good, for another side to replace. */
        GIVEN
    }

    /** The first answer, whole, as every repeat gets it: names and values of headers in turn. */
    public record Answer(int code, List<String> headers, byte[] body) {
        /** About what it takes in memory. */
        int size() {
            int n = body.length;
            for (String h : headers) {
                n += h.length();
            }
            return n;
        }
    }

    /** An operation as it stands here. */
    public static final class Operation {
        private final String id;
        private final long print;
        private State state = State.CLAIMING;
        /** The last claim: every one is written differently, so that one given up is never taken for a later one. */
        private String claim;

        private boolean won;
        private Answer answer;
        private int bytes;
        private long until;

        private Operation(String id, long print) {
            this.id = id;
            this.print = print;
        }

        public String id() {
            return id;
        }

        public State state() {
            return state;
        }

        public String claim() {
            return claim;
        }

        public Answer answer() {
            return answer;
        }

        /** Whether its claim stands, so that it needs no other one to be run. */
        public boolean won() {
            return won;
        }

        /** Whether this is the same request as the one that came with the key first. */
        public boolean same(long otherPrint) {
            return print == otherPrint;
        }
    }

    private record Expiry(String id, long at) {}

    /** An operation and its claim are known for longer than the window, which begins when the client sends the request. */
    private static final double KEEPS = 1.25;

    private final Clock clock;
    private final String claimer;
    private final long windowMs;
    private final long mostBytes;
    private final Map<String, Operation> all = new HashMap<>();
    private final ArrayDeque<Expiry> expiries = new ArrayDeque<>();
    private final ArrayDeque<Operation> answered = new ArrayDeque<>();
    private long bytes;
    private long claims;

    /**
     * {@code claimer}: this side and its life; {@code mostBytes}: what the answers kept may take. Of the oldest ones beyond
     * it only the fact is kept.
     */
    public Operations(Clock clock, String claimer, long windowMs, long mostBytes) {
        this.claimer = claimer;
        this.clock = clock;
        this.windowMs = windowMs;
        this.mostBytes = mostBytes;
    }

    /** For how long an operation is remembered, here and in its register, where tries within a window may not both run. */
    static long keeps(long windowMs) {
        return (long) (windowMs * KEEPS);
    }

    public int held() {
        return all.size();
    }

    public long bytes() {
        return bytes;
    }

    public Operation get(String id) {
        expire();
        return all.get(id);
    }

    /** A claim for a key that nothing is known of here, or that was not won, or was given away. */
    public Operation claiming(String id, long print) {
        Operation o = all.get(id);
        if (o == null) {
            o = new Operation(id, print);
            all.put(id, o);
        }
        o.state = State.CLAIMING;
        o.won = false;
        o.claim = claimer + " " + ++claims;
        o.until = clock.now() + windowMs;
        expiries.add(new Expiry(id, o.until));
        return o;
    }

    /** The claim stands and the request is in work from now on. */
    public void running(Operation o) {
        o.state = State.RUNNING;
        o.won = true;
        o.until = clock.now() + windowMs;
    }

    /** It was refused before it was handed on: it may be tried again, here or elsewhere. */
    public void idle(Operation o) {
        o.state = State.IDLE;
    }

    /** It may have run, and no answer came. */
    public void unknown(Operation o) {
        o.state = State.UNKNOWN;
    }

    /** It was answered; null where the answer was too large to be kept. */
    public void answered(Operation o, Answer answer) {
        o.state = State.ANSWERED;
        if (answer == null) {
            return;
        }
        o.answer = answer;
        o.bytes = answer.size();
        bytes += o.bytes;
        answered.add(o);
        while (bytes > mostBytes) {
            drop(answered.poll());
        }
    }

    private void drop(Operation o) {
        bytes -= o.bytes;
        o.bytes = 0;
        o.answer = null;
    }

    /**
     * What another side is told that found a claim of this life in the register: the operation, or null where that claim
     * is void and will never be acted on, as of now at the latest.
     */
    public Operation asked(String id, String claim) {
        expire();
        Operation o = all.get(id);
        if (o == null || !claim.equals(o.claim) || o.state == State.GIVEN) {
            // Forgotten only when its window is over, and replaced only where it was never acted on.
            return null;
        }
        if (o.state == State.IDLE) {
            o.state = State.GIVEN;
            o.won = false;
            return null;
        }
        return o;
    }

    private void expire() {
        long now = clock.now();
        while (!expiries.isEmpty() && expiries.peek().at <= now) {
            Expiry e = expiries.poll();
            Operation o = all.get(e.id);
            boolean open = o != null && (o.state == State.RUNNING || o.state == State.CLAIMING);
            if (o != null && (open || o.until > now)) {
                expiries.add(new Expiry(e.id, open ? now + windowMs : o.until));
            } else if (o != null) {
                all.remove(e.id);
                if (o.answer != null) {
                    drop(o);
                    removeAnswered(o);
                }
            }
        }
    }

    /** Answers expire nearly in the order in which they came. */
    private void removeAnswered(Operation o) {
        for (Iterator<Operation> i = answered.iterator(); i.hasNext(); ) {
            if (i.next() == o) {
                i.remove();
                return;
            }
        }
    }
}
