package bramblespool.model;

/**
 * One thing that happens in a schedule. {@code who}: a controller by its number from 1, {@code L} for the leader then,
 * {@code O} for the one before it, {@code F} for some other controller that runs, {@code ?} for any; {@code ms}: how
 * long; {@code n}: what else the kind needs.
 */
record ScheduleStep(long atMs, Kind kind, String target, long durationMs, int argument) {
    /** How long a controller may take for a graceful end. */
    static final long GRACE_MS = 3000;

    enum Kind {
        /** An order sent first to who; n: its name; ms: by how much its number is above its base. */
        ORDER,
        /** As an order; the change adds a route to the configuration that it is based on. */
        AMEND,
        /**
         * A request with an idempotency key to sidecar number who; n: its key, and what becomes of it, see {@link
         * #keyedTry}.
         */
        TRY,
        /** Order n once more, whatever became of it. */
        AGAIN,
        READ,
        /** n: zone, and from 10 on its taking back. */
        EVACUATE,
        /** So many changes, each as soon as the last one is acknowledged. */
        MANY,
        /**
         * n changes, by turns to who leads and to who, each as soon as the last one is acknowledged; begins as
         * another leads.
         */
        CHAIN,
        /** Cut from the other controllers; n: 0 both ways, 1 what it sends, 2 what it is sent. */
        CUT,
        /** Cut from everybody, operators and sidecars too. */
        ISOLATE,
        /** The controllers whose bits are set in n are cut from the others. */
        SPLIT,
        /** One link, from who to controller n. */
        LINK_CUT,
        /** n: whether timers go before messages after it. */
        FREEZE,
        KILL,
        POWER,
        /** Loses power and its disk, and is back after ms. */
        WIPE,
        /** Gone for good; another machine starts after ms. */
        REPLACE,
        /** Ends gracefully, and is back after ms. */
        LEAVE,
        SPARE,
        ALL_KILLED,
        ALL_POWER,
        /** n controllers lose their disks and all others lose power. */
        CLOSING,
        /** Each sync takes n ms more. */
        SLOW_DISK,
        HANGING_DISK,
        FULL_DISK,
        /** n bytes in a millisecond. */
        SLOW_LINK,
        /** n in 100 messages are lost, as many come twice, and some come late. */
        LOSSY,
        /** No answer reaches the operators. */
        MUTE,
        /** The time of day is n ms off. */
        CLOCK,
        WEFT_KILLED,
        WEFT_CUT;

        boolean isOrder() {
            return ordinal() <= CHAIN.ordinal();
        }
    }

    /** A request with this key to a sidecar, by its number from 0. */
    static ScheduleStep keyedTry(long atMs, int sidecar, int key, KeyedClients.ServerOutcome outcome) {
        int argument = key * KeyedClients.ServerOutcome.values().length + outcome.ordinal();
        return new ScheduleStep(atMs, Kind.TRY, String.valueOf(sidecar), 0, argument);
    }

    int key() {
        return argument / KeyedClients.ServerOutcome.values().length;
    }

    KeyedClients.ServerOutcome serverOutcome() {
        return KeyedClients.ServerOutcome.values()[argument % KeyedClients.ServerOutcome.values().length];
    }

    @Override
    public String toString() {
        return atMs + " " + kind + " " + target + " " + durationMs + " " + argument;
    }

    static ScheduleStep parse(String line) {
        String[] fields = line.trim().split(" ");
        return new ScheduleStep(
                Long.parseLong(fields[0]),
                Kind.valueOf(fields[1]),
                fields[2],
                Long.parseLong(fields[3]),
                Integer.parseInt(fields[4]));
    }

    ScheduleStep with(long newAtMs, long newDurationMs) {
        return new ScheduleStep(newAtMs, kind, target, newDurationMs, argument);
    }

    /** How many machines it makes lost, as the budget counts them; -1: that is not limited. */
    int losses(int controllers) {
        return switch (kind) {
            case CUT,
                    ISOLATE,
                    LINK_CUT,
                    FREEZE,
                    KILL,
                    POWER,
                    WIPE,
                    REPLACE,
                    LEAVE,
                    SLOW_DISK,
                    HANGING_DISK,
                    FULL_DISK,
                    SLOW_LINK -> 1;
            case SPLIT -> Math.min(Integer.bitCount(argument), controllers - Integer.bitCount(argument));
            case CLOSING -> argument;
            case ALL_KILLED, ALL_POWER -> -1;
            default -> 0;
        };
    }

    boolean losesDisk() {
        return kind == Kind.WIPE || kind == Kind.REPLACE || kind == Kind.CLOSING;
    }

    /** Whether the controllers are disturbed by it, or operators cannot reach them. */
    boolean isFault() {
        return !kind.isOrder() && kind != Kind.WEFT_CUT && kind != Kind.WEFT_KILLED;
    }

    /** Until when the core is troubled: one that is gone for good troubles it only as it goes. */
    long endMs() {
        return kind == Kind.SPARE ? atMs : atMs + durationMs + (kind == Kind.LEAVE ? GRACE_MS + 120 : 0);
    }
}
