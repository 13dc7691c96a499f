package bramblespool.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/** What operators sent and what controllers answered, each with the moments between which it took effect. */
final class History {
    /** A change as an operator sends it. */
    static final class Change {
        /** So many characters of a digest are kept in the replicated state. */
        private static final int DIGEST_LENGTH = 32;

        final int name;
        final long base;
        final long number;
        final String document;
        final boolean isAmendment;
        final String digest;
        long sentAt = Long.MAX_VALUE;
        long acknowledgedAt = Long.MAX_VALUE;
        int rejectionStatus;

        Change(int name, long base, long number, String document, boolean isAmendment, String digest) {
            this.name = name;
            this.base = base;
            this.number = number;
            this.document = document;
            this.isAmendment = isAmendment;
            this.digest = digest.substring(0, DIGEST_LENGTH);
        }

        @Override
        public String toString() {
            return "order " + name + " (" + number + " on " + base + ")";
        }
    }

    /** A refusal of a change, or a read-back, of {@code number}, which began and ended at these steps. */
    private record Observation(long startedAt, long endedAt, Change rejected, long number) {}

    private final Map<String, Change> byDigest = new HashMap<>();
    private final Map<Long, Change> acknowledgedByBase = new HashMap<>();
    private final List<Observation> observations = new ArrayList<>();
    /** The versions agreed, in order: digest and number. */
    final Map<String, Long> versions = new LinkedHashMap<>();

    void recordSent(Change change, long step) {
        byDigest.put(change.digest, change);
        change.sentAt = Math.min(change.sentAt, step);
    }

    void recordAcknowledged(Change change, long step) {
        if (change.rejectionStatus != 0) {
            throw new InvariantViolation(
                    "RefusedStaysOut", change + " was refused " + change.rejectionStatus + " and is acknowledged");
        }
        Change rival = acknowledgedByBase.putIfAbsent(change.base, change);
        if (rival != null && rival != change) {
            throw new InvariantViolation("OneChangeOnEachVersion", rival + " and " + change + " are both acknowledged");
        }
        change.acknowledgedAt = Math.min(change.acknowledgedAt, step);
    }

    void recordRejected(Change change, int status, long startedAt, long endedAt) {
        change.rejectionStatus = status;
        if (change.acknowledgedAt != Long.MAX_VALUE) {
            throw new InvariantViolation("TakenIsNotRefused", change + " was acknowledged and is refused " + status);
        }
        if (versions.containsKey(change.digest)) {
            throw new InvariantViolation("TakenIsNotRefused", change + " is agreed and is refused " + status);
        }
        observations.add(new Observation(startedAt, endedAt, change, 0));
    }

    void recordRead(long number, long startedAt, long endedAt) {
        observations.add(new Observation(startedAt, endedAt, null, number));
    }

    /** Takes up the versions that a controller has committed. */
    void recordCommitted(Map<String, Long> committed) {
        if (committed.size() <= versions.size() && versions.keySet().containsAll(committed.keySet())) {
            return;
        }
        committed.forEach((digest, number) -> {
            if (versions.putIfAbsent(digest, number) == null) {
                Change change = byDigest.get(digest);
                if (change == null || change.number != number) {
                    throw new InvariantViolation("OnlyWhatWasSent", "version " + number + " is no order's");
                }
                if (change.rejectionStatus != 0) {
                    throw new InvariantViolation(
                            "RefusedStaysOut", change + " was refused " + change.rejectionStatus + " and is agreed");
                }
            }
        });
    }

    /**
     * The path prefixes of the routes that a committed version must have: those of the last whole document, and what
     * the amendments since have added. In the order of their names.
     */
    SortedSet<String> expectedPrefixes(long number) {
        SortedSet<String> prefixes = new TreeSet<>();
        for (Map.Entry<String, Long> version : versions.entrySet()) {
            Change change = byDigest.get(version.getKey());
            if (!change.isAmendment) {
                prefixes.clear();
            }
            prefixes.add("/p" + change.name + "/");
            if (version.getValue() == number) {
                break;
            }
        }
        return prefixes;
    }

    /**
     * Whether all answers fit one register that goes through the committed versions in their order: each rejection and
     * each read gets the first place in that order that it allows and that no earlier answer has passed.
     */
    void checkLinearizable() {
        List<Change> committed = new ArrayList<>();
        long lastVersion = 0;
        for (String digest : versions.keySet()) {
            Change change = byDigest.get(digest);
            if (change.base != lastVersion || change.number <= lastVersion) {
                throw new InvariantViolation("Linearizable", change + " is agreed on top of " + lastVersion);
            }
            lastVersion = change.number;
            committed.add(change);
        }
        for (Change change : byDigest.values()) {
            if (change.acknowledgedAt != Long.MAX_VALUE && !versions.containsKey(change.digest)) {
                throw new InvariantViolation(
                        "AcknowledgedIsKept", change + " was acknowledged and is not among " + versions.values());
            }
        }
        observations.sort(Comparator.comparingLong(Observation::startedAt));
        // Places that are passed for whatever begins after a step.
        List<long[]> passed = new ArrayList<>();
        for (int k = 0; k < committed.size(); k++) {
            if (committed.get(k).acknowledgedAt != Long.MAX_VALUE) {
                passed.add(new long[] {committed.get(k).acknowledgedAt, k + 1});
            }
        }
        for (Observation observation : observations) {
            int from = lastPositionPassedBefore(passed, observation.startedAt);
            int position = from;
            while (position <= committed.size() && !isConsistentAt(observation, committed, position)) {
                position++;
            }
            if (position > committed.size()
                    || position > 0 && committed.get(position - 1).sentAt >= observation.endedAt) {
                String description = observation.rejected != null
                        ? observation.rejected + " was refused"
                        : observation.number + " was read";
                throw new InvariantViolation(
                        "Linearizable",
                        description + " when " + (from == 0 ? 0 : committed.get(from - 1).number)
                                + " had been answered as current, of " + versions.values());
            }
            passed.add(new long[] {observation.endedAt, position});
        }
        for (int k = 0; k < committed.size(); k++) {
            if (lastPositionPassedBefore(passed, committed.get(k).sentAt) > k) {
                throw new InvariantViolation("Linearizable", committed.get(k) + " was answered before it was sent");
            }
        }
    }

    private static int lastPositionPassedBefore(List<long[]> positions, long step) {
        int lastPosition = 0;
        for (long[] passedPosition : positions) {
            if (passedPosition[0] < step && passedPosition[1] > lastPosition) {
                lastPosition = (int) passedPosition[1];
            }
        }
        return lastPosition;
    }

    private static boolean isConsistentAt(Observation observation, List<Change> committed, int position) {
        long current = position == 0 ? 0 : committed.get(position - 1).number;
        return observation.rejected == null
                ? current == observation.number
                : observation.rejected.base != current && committed.indexOf(observation.rejected) < 0;
    }
}
