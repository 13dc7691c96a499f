package bramblespool.raft;

/** What a leader knows of another member. */
final class Follower {
    /** Letters of entries or of a snapshot in one message: at first, at least and at most. */
    static final int FIRST_ROOM = 16 << 10;

    private static final int LEAST_ROOM = 2 << 10;
    private static final int MOST_ROOM = 256 << 10;
    /** Ratio of a part's time limit to what answers usually take; it is a heartbeat's interval at least. */
    private static final int PATIENCE = 4;
    /** How often the time limit of a message may be doubled. */
    private static final int MOST_DOUBLINGS = 3;
    /** Ratios to the heartbeat's interval: an answer within this makes room for more, and one later than that for less. */
    private static final double QUICK = 0.25;

    private static final double SLOW = 0.5;

    final String id;
    /** The next index to send, and the highest one known to be on its disk. */
    long next;

    long match;
    /** A message is under way, and another is to follow at once. */
    boolean busy;

    boolean again;
    /** The one under way carries entries or a part; since when, and when the last heartbeat went beside it. */
    boolean loaded;

    long busySince;
    long beatSent;
    /** When it last answered, and when what it answered had been sent. */
    long heard;

    long ackedSent;
    boolean settled;
    /** Messages sent to it, and the last one it has answered. */
    long sent;

    long answered;
    /** What goes to it in parts, or null. */
    Transfer transfer;
    /** Snapshots sent to it since it last had all that is agreed. */
    int snapshots;
    /** Its state is not what the group agreed on, and the index from which on a snapshot would mend that, or -1. */
    boolean differs;

    long renewFrom = -1;
    private int room = FIRST_ROOM;
    private int doublings;
    /** Messages in turn that were not answered. */
    private int missed;
    /** How long answers to parts usually take, or 0 where none has come. */
    private long usual;

    Follower(String id, long next, long now) {
        this.id = id;
        this.next = next;
        this.heard = now;
    }

    int room() {
        return room;
    }

    /** The time limit for a message with so much in it; a lost part is sent again sooner, for its answer waits for no disk. */
    long limit(Times times, int load, boolean part) {
        if (load == 0) {
            return times.call();
        }
        return part && usual > 0 && doublings == 0
                ? Math.max(times.heartbeat(), Math.min(times.call(), usual * PATIENCE))
                : times.call() << doublings;
    }

    /** A message with so much in it was answered after so long: it is to cross the link in a part of a heartbeat's interval. */
    void took(long ms, int load, Times times) {
        if (load == 0) {
            return;
        }
        doublings = Math.max(0, doublings - 1);
        missed = 0;
        usual = usual == 0 ? ms : (usual * 3 + ms) / 4;
        if (ms > times.heartbeat() * SLOW) {
            room = Math.max(LEAST_ROOM, room / 2);
        } else if (ms <= times.heartbeat() * QUICK && load >= room / 2) {
            room = Math.min(MOST_ROOM, room * 2);
        }
    }

    /** A message with so much in it was not answered in time: the next holds less, or has longer where it cannot. */
    void missed(int load) {
        if (load == 0) {
            return;
        }
        usual *= 2;
        if (missed++ == 0 && usual > 0) {
            // Others of its size were answered: this one was lost.
            return;
        }
        if (room > LEAST_ROOM) {
            room = Math.max(LEAST_ROOM, room / 2);
        } else {
            doublings = Math.min(MOST_DOUBLINGS, doublings + 1);
        }
    }
}
