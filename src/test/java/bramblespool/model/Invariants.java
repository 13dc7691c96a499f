package bramblespool.model;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.state.CompressedDocument;
import bramblespool.state.DurableStore;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.ReplicatedEntryCodec;
import bramblespool.state.ReplicatedState;
import bramblespool.state.ReplicatedStateSnapshotCodec;
import bramblespool.state.RoutingConfiguration;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/** What must hold after every event, seen from outside: in messages, on disks, in ledgers and in answers. */
final class Invariants implements Simulator.Observer {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** An acknowledgement is under way for no longer than this. */
    private static final long LOST_DISK_GRACE_MS = 1000;

    /** Where a route's row has its path prefix. */
    private static final int PREFIX_COLUMN = 2;

    private record Vote(long term, String candidate) {}

    private record LogPosition(long index, long term) {}

    /** What an entry is, and the term of the one before it. */
    private record EntryContent(String data, long previousTerm) {}

    private final SimulatedMesh mesh;
    private final History history;
    private final int requiredReplicas;
    private final Map<Long, String> leaders = new HashMap<>();
    private final Map<String, Vote> votes = new HashMap<>();
    private final Map<LogPosition, EntryContent> entryContents = new HashMap<>();
    private final Map<Long, DurableStore.LogEntry> committed = new HashMap<>();
    private final Map<Long, String> stateByIndex = new HashMap<>();
    private final Map<ControllerNode, Long> appliedByController = new IdentityHashMap<>();
    private final Map<ControllerNode, Long> termLedByController = new IdentityHashMap<>();
    private final Map<DataPlaneNode, Long> versionBySidecar = new IdentityHashMap<>();
    private final Map<Long, String> stampByVersion = new HashMap<>();
    private final Map<DurableStore.PersistentState, Long> recentlyLostDisks = new IdentityHashMap<>();
    private long highestAcknowledged;
    private long highestTerm;

    Invariants(SimulatedMesh mesh, History history, int losses) {
        this.mesh = mesh;
        this.history = history;
        this.requiredReplicas = losses + 1;
    }

    // ---- messages

    @Override
    public void onSent(SimulatedMachine from, String kind, ObjectNode body) {
        if (RaftView.isSentByLeader(kind)) {
            recordLeader(body.path("term").asLong(), body.path("from").asText());
        }
    }

    /** Whoever answers yes to a vote or to entries has them on its disk. */
    @Override
    public void onAnswered(SimulatedMachine machine, String kind, JsonNode request, JsonNode answer) {
        boolean vote = kind.equals("vote")
                && !request.path("pre").asBoolean()
                && answer.path("ok").asBoolean();
        long acknowledgedIndex = RaftView.acknowledgedIndex(kind, request, answer);
        if (!vote && acknowledgedIndex == 0) {
            return;
        }
        DurableStore.PersistentState saved = machine.disk.load();
        String member = machine.peer + "#" + saved.incarnation();
        long term = request.path("term").asLong();
        if (vote) {
            recordVote(member, term, request.path("from").asText());
        }
        if (saved.currentTerm() > term) {
            return;
        }
        long base = saved.snapshot() == null ? 0 : saved.snapshot().index();
        long last = saved.entries().isEmpty()
                ? base
                : saved.entries().get(saved.entries().size() - 1).index();
        if (vote
                ? saved.currentTerm() < term || !request.path("from").asText().equals(saved.votedFor())
                : last < acknowledgedIndex) {
            throw new InvariantViolation(
                    "DurableBeforeTold", member + " says yes to " + kind + " before its disk has it");
        }
    }

    private void recordVote(String member, long term, String candidate) {
        Vote vote = votes.get(member);
        if (vote != null && vote.term == term && !vote.candidate.equals(candidate)) {
            throw new InvariantViolation(
                    "OneVoteATerm", member + " votes for " + vote.candidate + " and " + candidate + " in term " + term);
        }
        if (vote == null || vote.term < term) {
            votes.put(member, new Vote(term, candidate));
        }
    }

    private void recordLeader(long term, String member) {
        highestTerm = Math.max(highestTerm, term);
        String other = leaders.putIfAbsent(term, member);
        if (other != null && !other.equals(member)) {
            throw new InvariantViolation("OneLeaderATerm", other + " and " + member + " lead in term " + term);
        }
    }

    // ---- disks

    @Override
    public void onWritten(
            SimulatedMachine machine,
            DurableStore.Change change,
            DurableStore.PersistentState before,
            DurableStore.PersistentState after) {
        String member = machine.peer + "#" + after.incarnation();
        if (change.currentTerm() < before.currentTerm()) {
            throw new InvariantViolation(
                    "TermsOnlyRise",
                    member + " goes from term " + before.currentTerm() + " to " + change.currentTerm());
        }
        if (change.votedFor() != null) {
            recordVote(member, change.currentTerm(), change.votedFor());
        }
        if (change.truncateFrom() > 0 && change.truncateFrom() <= before.commitIndex() && change.snapshot() == null) {
            throw new InvariantViolation(
                    "AgreedStays", member + " drops what it held as agreed, from " + change.truncateFrom());
        }
        if (change.snapshot() != null
                && before.snapshot() != null
                && change.snapshot().index() < before.snapshot().index()) {
            throw new InvariantViolation("AgreedStays", member + " takes an older snapshot");
        }
        if (change.snapshot() != null) {
            checkState(change.snapshot().index(), RaftView.snapshotState(change.snapshot()), member);
        }
        checkLogsMatch(member, change, after);
    }

    @SuppressWarnings("ReferenceEquality") // the very entry: all before it were looked at
    private void checkLogsMatch(String member, DurableStore.Change change, DurableStore.PersistentState after) {
        List<DurableStore.LogEntry> entryList = after.entries();
        for (int i = entryList.size() - 1; i >= 0; i--) {
            DurableStore.LogEntry entry = entryList.get(i);
            DurableStore.LogEntry previous = i > 0 ? entryList.get(i - 1) : null;
            if (previous != null && previous.index() != entry.index() - 1) {
                throw new InvariantViolation("LogsMatch", member + " has a gap before " + entry.index());
            }
            if (i < entryList.size() - change.appendedEntries().size()) {
                break;
            }
            long termBefore = previous != null
                    ? previous.term()
                    : after.snapshot() != null ? after.snapshot().term() : -1;
            EntryContent content = new EntryContent(entry.data(), termBefore);
            EntryContent other = entryContents.putIfAbsent(new LogPosition(entry.index(), entry.term()), content);
            if (other != null
                    && (!other.data.equals(content.data)
                            || other.previousTerm >= 0 && termBefore >= 0 && other.previousTerm != termBefore)) {
                throw new InvariantViolation(
                        "LogsMatch", member + " differs at " + entry.index() + " of term " + entry.term());
            }
        }
        for (int i = entryList.size() - 1; i >= 0; i--) {
            DurableStore.LogEntry entry = entryList.get(i);
            if (entry.index() > after.commitIndex()) {
                continue;
            }
            DurableStore.LogEntry known = committed.putIfAbsent(entry.index(), entry);
            if (known == entry
                    || known != null
                            && known.equals(entry)
                            && i < entryList.size() - change.appendedEntries().size() - 8) {
                break;
            }
            if (known != null && !known.equals(entry)) {
                throw new InvariantViolation(
                        "AgreedStays", member + " holds another entry " + entry.index() + " as agreed");
            }
        }
    }

    /** Whether this disk has a change's candidate and its decision, or a snapshot that knows it as taken. */
    private static boolean holdsChange(DurableStore.PersistentState saved, History.Change change) {
        boolean decided = false;
        for (int i = saved.entries().size() - 1; i >= 0; i--) {
            String data = saved.entries().get(i).data();
            boolean candidate = data.startsWith("{\"k\":\"candidate\"");
            if ((candidate || data.startsWith("{\"k\":\"decide\""))
                    && parse(data).path("epoch").asLong() == change.number) {
                if (candidate && decided) {
                    return data.contains(change.digest);
                }
                decided = !candidate;
            }
        }
        return saved.snapshot() != null
                && saved.snapshot().data() != null
                && replayed(saved).isCommitted(change.digest);
    }

    /** Applies what a disk holds: the state of this controller were it alone and all its entries committed. */
    private static ReplicatedState replayed(DurableStore.PersistentState saved) {
        ReplicatedState replayedState = new ReplicatedState();
        if (saved.snapshot() != null && saved.snapshot().data() != null) {
            replayedState.restore(ReplicatedStateSnapshotCodec.decode(RaftView.snapshotState(saved.snapshot())));
        }
        saved.entries().forEach(e -> replayedState.apply(e.index(), ReplicatedEntryCodec.decode(e.data())));
        return replayedState;
    }

    private static JsonNode parse(String data) {
        try {
            return JSON.readTree(data);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- answers

    /** A disk is about to be lost: for a moment it counts among those that an entry had reached. */
    void onDiskWiped(SimulatedMachine machine) {
        if (!machine.disk.isEmpty()) {
            recentlyLostDisks.put(machine.disk.load(), mesh.simulator.nowMs());
        }
    }

    private List<DurableStore.PersistentState> disks() {
        List<DurableStore.PersistentState> out = new ArrayList<>();
        for (SimulatedMachine machine : mesh.simulator.machines()) {
            if (!machine.disk.isEmpty()) {
                out.add(machine.disk.load());
            }
        }
        recentlyLostDisks.values().removeIf(at -> mesh.simulator.nowMs() - at > LOST_DISK_GRACE_MS);
        out.addAll(recentlyLostDisks.keySet());
        return out;
    }

    void onChangeAcknowledged(History.Change change) {
        highestAcknowledged = Math.max(highestAcknowledged, change.number);
        int replicaCount = 0;
        for (DurableStore.PersistentState saved : disks()) {
            if (holdsChange(saved, change)) {
                replicaCount++;
            }
        }
        if (replicaCount < requiredReplicas) {
            throw new InvariantViolation(
                    "AcknowledgedOnEnoughDisks", change + " is on " + replicaCount + " disks as it is acknowledged");
        }
    }

    void onEvacuationAcknowledged(String zone, boolean isEvacuated) {
        int replicaCount = 0;
        for (DurableStore.PersistentState saved : disks()) {
            ReplicatedState.Evacuation evacuation =
                    replayed(saved).evacuations().get(zone);
            if (evacuation == null ? !isEvacuated : evacuation.isEvacuated() == isEvacuated) {
                replicaCount++;
            }
        }
        if (replicaCount < requiredReplicas) {
            throw new InvariantViolation(
                    "AcknowledgedOnEnoughDisks", "evacuation of " + zone + " is on " + replicaCount + " disks");
        }
    }

    // ---- after each event

    void check() {
        for (ControllerNode controller : mesh.controllers.values()) {
            long appliedIndex = RaftView.applied(controller);
            Long previous = appliedByController.get(controller);
            if (previous == null || previous != appliedIndex) {
                if (previous != null && appliedIndex < previous) {
                    throw new InvariantViolation(
                            "AgreedStays",
                            RaftView.memberId(controller) + " goes back from " + previous + " to " + appliedIndex);
                }
                appliedByController.put(controller, appliedIndex);
                String state = ReplicatedStateSnapshotCodec.encode(
                        controller.replicatedState().snapshot());
                checkState(appliedIndex, state, RaftView.memberId(controller));
                history.recordCommitted(new LinkedHashMap<>(
                        controller.replicatedState().snapshot().configurations().committedDigests()));
                checkContent(controller.replicatedState().current());
                checkStamp(controller.replicatedState().current());
                checkStamp(controller.replicatedState().previous());
            }
            if (RaftView.isLeader(controller)) {
                Long term = termLedByController.get(controller);
                if (term == null || term != RaftView.term(controller)) {
                    termLedByController.put(controller, RaftView.term(controller));
                    checkNewLeader(controller);
                }
            }
        }
        mesh.sidecars.forEach(this::checkSidecar);
    }

    /** Two controllers that have applied the same entries have the same state. */
    private void checkState(long index, String state, String member) {
        String other = stateByIndex.putIfAbsent(index, state);
        if (other != null && !other.equals(state)) {
            throw new InvariantViolation(
                    "StatesMatch", member + " differs at " + index + ": " + state + " from " + other);
        }
    }

    /** A version holds what its change says, on top of the version that the change is based on. */
    private void checkContent(ReplicatedState.Version version) {
        if (version.epoch() == 0 || stampByVersion.containsKey(version.epoch())) {
            return;
        }
        SortedSet<String> prefixes = prefixesOf(version);
        SortedSet<String> expected = history.expectedPrefixes(version.epoch());
        if (!prefixes.equals(expected)) {
            throw new InvariantViolation(
                    "AgreedIsWhatWasSent", "version " + version.epoch() + " has " + prefixes + ", not " + expected);
        }
    }

    private static SortedSet<String> prefixesOf(ReplicatedState.Version version) {
        SortedSet<String> prefixes = new TreeSet<>();
        try {
            String document = CompressedDocument.decompress(version.compressedDocument());
            for (JsonNode route : parse(document).path("routeTable").path("rows")) {
                prefixes.add(route.path(PREFIX_COLUMN).asText());
            }
        } catch (InvalidConfigurationException e) {
            throw new InvariantViolation("AgreedIsWhatWasSent", "version " + version.epoch() + " can't be read");
        }
        return prefixes;
    }

    private void checkStamp(ReplicatedState.Version version) {
        if (version.epoch() > 0) {
            String stamp = RoutingConfiguration.stampOf(version.compressedDocument());
            String other = stampByVersion.putIfAbsent(version.epoch(), stamp);
            if (other != null && !other.equals(stamp)) {
                throw new InvariantViolation("AgreedStays", "two documents are agreed as " + version.epoch());
            }
        }
    }

    private void checkNewLeader(ControllerNode controller) {
        recordLeader(RaftView.term(controller), RaftView.memberId(controller));
        if (RaftView.term(controller) == highestTerm
                && controller.replicatedState().current().epoch() < highestAcknowledged) {
            throw new InvariantViolation(
                    "NobodyLeadsWithOldState",
                    RaftView.memberId(controller) + " leads term " + highestTerm + " with version "
                            + controller.replicatedState().current().epoch() + ", " + highestAcknowledged
                            + " was acknowledged");
        }
    }

    private void checkSidecar(String peer, DataPlaneNode proxy) {
        long version = proxy.shadowCommit.epoch();
        Long previousVersion = versionBySidecar.get(proxy);
        if (previousVersion != null && previousVersion == version) {
            return;
        }
        if (previousVersion != null && version < previousVersion) {
            throw new InvariantViolation("SidesNeverGoBack", peer + " goes from " + previousVersion + " to " + version);
        }
        versionBySidecar.put(proxy, version);
        if (version > 0 && !proxy.shadowCommit.realConfiguration().stamp().equals(stampByVersion.get(version))) {
            throw new InvariantViolation(
                    "SidesUseWhatIsAgreed", peer + " uses a version " + version + " that is not agreed");
        }
    }
}
