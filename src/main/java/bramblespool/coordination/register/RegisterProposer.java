package bramblespool.coordination.register;

import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.raft.RaftNode;
import bramblespool.state.DurableStore;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.VoterSet;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Rewritable single-value registers without a log: each change is a round of Paxos with a comparison in it (CASPaxos).
 * The acceptors are the agreed voters; any helm may propose. Where nothing is known of a register, the voter that
 * rendezvous hashing names for its slice proposes without a prepare, under the lowest ballot: it writes the value to its
 * own disk before it sends it, so it never proposes two, and an acceptor takes such a ballot only into an empty register
 * and under the voters it knows to be in force.
 */
public final class RegisterProposer {
    /**
     * Begins the key by which rendezvous hashing names the voter that leads a shard's registers; the shard's number follows.
     */
    public static final String SHARD_KEY_PREFIX = "tenants/";

    /** Rounds that one proposal may take, where others propose at the same time. */
    private static final int MAX_ROUNDS = 6;
    /** A register's life in parts, for the removal of old words from the disk. */
    private static final int RETENTION_PARTS = 4;
    /** Registers in one message where a new voter reads them. */
    private static final int PAGE_SIZE = 1000;
    /** The store's own mark: since which entry this voter has held all that those before it held. */
    private static final String SYNCED_MARKER = "";

    private final ReplicatedState replicatedState;
    private final String self;
    private final boolean isFounder;
    private final int requiredCopies;
    private final Clock clock;
    private final PeerTransport transport;
    private final DurableStore durableStore;
    private final EventLog log;
    private final long batchDelayMs;
    private final long callTimeoutMs;
    private final long retentionMs;
    private final RegisterAcceptor acceptor;
    /** Words gathered for the next write, and whom to tell then; null where there are none. */
    private Map<String, DurableStore.StoredRegister> unsavedRegisters;

    private List<Runnable> unsavedCallbacks;
    private final Map<String, ArrayList<AcceptorRequest>> outgoingRequests = new LinkedHashMap<>();
    /** Registers whose present value is known here to be chosen. */
    private final Set<String> chosenRegisters = new HashSet<>();

    private long syncedSince;
    private boolean isSyncing;
    private long roundCount;
    private long unknownCount;

    /** One acceptor's part of one round. */
    private record AcceptorRequest(
            boolean isPrepare,
            String id,
            ProposalNumber proposalNumber,
            String value,
            Consumer<AcceptorReply> callback) {}

    /** Who has agreed and who has not, and whether that decides the round, under the voters that were in force when it began. */
    private final class VoteCount {
        private final VoterSet voterSet = replicatedState.voterSet();
        private final Set<String> granted = new HashSet<>();
        private final Set<String> refused = new HashSet<>();

        boolean hasQuorum() {
            return voterSet.hasQuorum(granted::contains, requiredCopies);
        }

        boolean cannotReachQuorum() {
            return !voterSet.hasQuorum(voter -> !refused.contains(voter), requiredCopies);
        }

        void add(String voter, AcceptorReply reply) {
            (reply != null && reply.isGranted ? granted : refused).add(voter);
        }
    }

    /** Takes one voter's answer. */
    private interface ReplyHandler {
        void onReply(String voter, AcceptorReply reply);
    }

    /** What an acceptor answers: whether it agrees, and what it has accepted; or null where it is silent. */
    private record AcceptorReply(
            boolean isGranted, long highestSeenNumber, ProposalNumber acceptedProposal, String value) {}

    /** {@code copies}: how many durable copies there must be at least; {@code lifeMs}: how long a value is kept. */
    public RegisterProposer(
            ReplicatedState replicatedState,
            String self,
            int requiredCopies,
            DurableStore durableStore,
            Clock clock,
            PeerTransport transport,
            long batchDelayMs,
            long callTimeoutMs,
            long retentionMs,
            EventLog log) {
        this.replicatedState = replicatedState;
        this.self = self;
        this.isFounder = self.endsWith("#" + RaftNode.FOUNDER_INCARNATION);
        this.requiredCopies = requiredCopies;
        this.durableStore = durableStore;
        this.clock = clock;
        this.transport = transport;
        this.batchDelayMs = batchDelayMs;
        this.callTimeoutMs = callTimeoutMs;
        this.retentionMs = retentionMs;
        this.log = log;
        List<DurableStore.StoredRegister> storedRegisters = durableStore.loadRegisters();
        this.acceptor = new RegisterAcceptor(clock, retentionMs, storedRegisters);
        for (DurableStore.StoredRegister stored : storedRegisters) {
            if (stored.registerId().equals(SYNCED_MARKER)) {
                syncedSince = Long.parseLong(stored.acceptedValue());
            }
        }
    }

    public void start() {
        clock.scheduleRepeatedly(
                retentionMs / RETENTION_PARTS, () -> durableStore.expireRegisters(RETENTION_PARTS + 1));
        clock.scheduleRepeatedly(retentionMs / (RETENTION_PARTS * 16), () -> {
            acceptor.expire();
            chosenRegisters.removeIf(id -> acceptor.get(id) == null);
        });
    }

    // ---- what others may know

    /** How many registers this voter holds. */
    public int registerCount() {
        return acceptor.size();
    }

    public long proposalRounds() {
        return roundCount;
    }

    public long unknownOutcomes() {
        return unknownCount;
    }

    /** Whether this voter holds all that the voters before it held: a founder does, another one reads it first. */
    public boolean isSynced() {
        Long since = replicatedState.voterSinceIndexes().get(self);
        if (since == null) {
            return false;
        }
        return isFounder && since == 1 || syncedSince == since;
    }

    /** The slice that a register belongs to, as its id tells before the slash. */
    static String shardOf(String id) {
        return SHARD_KEY_PREFIX + id.substring(0, id.indexOf('/'));
    }

    private boolean maySkipPrepare(String id) {
        if (!isSynced()) {
            return false;
        }
        List<String> addresses = replicatedState.voterSinceIndexes().keySet().stream()
                .map(RaftNode::addressOf)
                .toList();
        // Two voters at one address are a lost disk and its successor: neither goes first until one of them is gone.
        return Set.copyOf(addresses).size() == addresses.size()
                && RaftNode.addressOf(self).equals(RendezvousHash.highestWeighted(shardOf(id), addresses));
    }

    // ---- proposing

    /**
     * Sets the register to {@code value} where it is empty, holds that already, or holds {@code instead}, which whoever
     * asks knows to have been given up for good. Answers once, in the time given.
     */
    public void compareAndSet(
            String id, String value, String expectedValue, long timeoutMs, Consumer<RegisterResult> callback) {
        new Proposal(id, value, expectedValue, false, timeoutMs, callback).begin();
    }

    /** Agrees on a value for good: where one stands already that one, whosever it is. */
    public void setIfAbsent(String id, String value, long timeoutMs, Consumer<RegisterResult> callback) {
        new Proposal(id, value, null, true, timeoutMs, callback).begin();
    }

    /** What a majority holds: a value that is then chosen, or empty where none can have been chosen before. */
    public void read(String id, long timeoutMs, Consumer<RegisterResult> callback) {
        new Proposal(id, null, null, true, timeoutMs, callback).prepare();
    }

    private final class Proposal {
        private final String id;
        private final String value;
        private final String expectedValue;
        /** Whether a value that stands is as good as the own one. */
        private final boolean acceptsAnyValue;

        private final Consumer<RegisterResult> callback;
        private long number;
        private int attempts;
        private int currentPhase;
        private boolean isFinished;

        Proposal(
                String id,
                String value,
                String expectedValue,
                boolean acceptsAnyValue,
                long timeoutMs,
                Consumer<RegisterResult> callback) {
            this.id = id;
            this.value = value;
            this.expectedValue = expectedValue;
            this.acceptsAnyValue = acceptsAnyValue;
            this.callback = callback;
            clock.schedule(timeoutMs, () -> finish(RegisterResult.UNKNOWN));
        }

        private void finish(RegisterResult result) {
            if (isFinished) {
                return;
            }
            isFinished = true;
            if (result instanceof RegisterResult.Unknown) {
                unknownCount++;
            }
            callback.accept(result);
        }

        void begin() {
            roundCount++;
            RegisterAcceptor.RegisterState state = acceptor.get(id);
            if (acceptsAnyValue && state != null) {
                prepare();
            } else if (state == null && maySkipPrepare(id)) {
                accept(new ProposalNumber(0, replicatedState.votersChangedIndex(), self), value);
            } else if (state != null && value.equals(state.value()) && chosenRegisters.contains(id)) {
                finish(new RegisterResult.Chosen(value));
            } else if (state != null
                    && state.value() != null
                    && !state.value().equals(value)
                    && !state.value().equals(expectedValue)) {
                // It may not have been chosen; whoever asks is only told not to go on.
                finish(new RegisterResult.Conflict(state.value()));
            } else {
                prepare();
            }
        }

        private void retry(long highestSeenNumber) {
            number = Math.max(number, highestSeenNumber);
            if (isFinished) {
                return;
            }
            if (++attempts >= MAX_ROUNDS) {
                finish(RegisterResult.UNKNOWN);
                return;
            }
            clock.schedule((long) (batchDelayMs * (1 + clock.random() * (2 << attempts))), () -> {
                if (!isFinished) {
                    prepare();
                }
            });
        }

        private void prepare() {
            number++;
            ProposalNumber proposalNumber = new ProposalNumber(number, replicatedState.votersChangedIndex(), self);
            int ownPhase = ++currentPhase;
            List<AcceptorReply> promises = new ArrayList<>();
            long[] highestSeenNumber = {0};
            VoteCount votes = new VoteCount();
            sendToAll(true, proposalNumber, null, (voter, reply) -> {
                if (isFinished || ownPhase != currentPhase) {
                    return;
                }
                votes.add(voter, reply);
                if (reply != null && reply.isGranted) {
                    promises.add(reply);
                } else if (reply != null) {
                    highestSeenNumber[0] = Math.max(highestSeenNumber[0], reply.highestSeenNumber);
                }
                if (votes.hasQuorum()) {
                    currentPhase++;
                    chooseValue(proposalNumber, promises);
                } else if (votes.cannotReachQuorum()) {
                    currentPhase++;
                    retry(highestSeenNumber[0]);
                }
            });
        }

        private void chooseValue(ProposalNumber proposalNumber, List<AcceptorReply> promises) {
            ProposalNumber newestAccepted = null;
            String acceptedValue = null;
            boolean hasConflict = false;
            for (AcceptorReply reply : promises) {
                int comparison = reply.acceptedProposal == null
                        ? -1
                        : newestAccepted == null ? 1 : reply.acceptedProposal.compareTo(newestAccepted);
                if (comparison > 0) {
                    newestAccepted = reply.acceptedProposal;
                    acceptedValue = reply.value;
                    hasConflict = false;
                } else if (comparison == 0 && !reply.value.equals(acceptedValue)) {
                    hasConflict = true;
                }
            }
            if (proposalNumber.votersChangedIndex() != replicatedState.votersChangedIndex()) {
                retry(proposalNumber.number());
            } else if (hasConflict) {
                // Only where one copy has outlived the register's life and another has not: nobody may go on.
                finish(RegisterResult.UNKNOWN);
            } else if (acceptedValue == null && value == null) {
                finish(RegisterResult.EMPTY);
            } else if (acceptsAnyValue && acceptedValue != null) {
                accept(proposalNumber, acceptedValue);
            } else if (acceptedValue == null || acceptedValue.equals(value) || acceptedValue.equals(expectedValue)) {
                accept(proposalNumber, value);
            } else {
                finish(new RegisterResult.Conflict(acceptedValue));
            }
        }

        private void accept(ProposalNumber proposalNumber, String proposedValue) {
            int ownPhase = ++currentPhase;
            long[] highestSeenNumber = {0};
            VoteCount votes = new VoteCount();
            ReplyHandler onEachReply = (voter, reply) -> {
                if (isFinished || ownPhase != currentPhase) {
                    return;
                }
                votes.add(voter, reply);
                if (reply != null && !reply.isGranted) {
                    highestSeenNumber[0] = Math.max(highestSeenNumber[0], reply.highestSeenNumber);
                }
                if (votes.hasQuorum()) {
                    currentPhase++;
                    if (acceptor.get(id) != null
                            && proposalNumber.equals(acceptor.get(id).acceptedProposal())) {
                        chosenRegisters.add(id);
                    }
                    finish(new RegisterResult.Chosen(proposedValue));
                } else if (votes.cannotReachQuorum()) {
                    currentPhase++;
                    retry(highestSeenNumber[0]);
                }
            };
            if (proposalNumber.number() > 0) {
                sendToAll(false, proposalNumber, proposedValue, onEachReply);
                return;
            }
            // The own word is on disk before anybody else hears the value: a later life of this helm knows of it.
            AcceptorRequest ownRequest = new AcceptorRequest(false, id, proposalNumber, proposedValue, reply -> {
                if (reply != null && reply.isGranted) {
                    for (String voter : replicatedState.voterSinceIndexes().keySet()) {
                        if (!voter.equals(self)) {
                            enqueue(
                                    voter,
                                    new AcceptorRequest(
                                            false,
                                            id,
                                            proposalNumber,
                                            proposedValue,
                                            voterReply -> onEachReply.onReply(voter, voterReply)));
                        }
                    }
                }
                onEachReply.onReply(self, reply);
                if (reply == null || !reply.isGranted) {
                    replicatedState.voterSinceIndexes().keySet().forEach(voter -> onEachReply.onReply(voter, null));
                }
            });
            acceptLocally(List.of(ownRequest));
        }

        private void sendToAll(
                boolean isPrepare, ProposalNumber proposalNumber, String proposedValue, ReplyHandler replyHandler) {
            if (replicatedState.voterSinceIndexes().isEmpty()) {
                finish(RegisterResult.UNKNOWN);
                return;
            }
            for (String voter : List.copyOf(replicatedState.voterSinceIndexes().keySet())) {
                AcceptorRequest request = new AcceptorRequest(
                        isPrepare, id, proposalNumber, proposedValue, reply -> replyHandler.onReply(voter, reply));
                if (voter.equals(self)) {
                    acceptLocally(List.of(request));
                } else {
                    enqueue(voter, request);
                }
            }
        }
    }

    // ---- messages

    /** Items for one voter that come within a short time go as one message. */
    private void enqueue(String voter, AcceptorRequest request) {
        List<AcceptorRequest> batch = outgoingRequests.get(voter);
        if (batch != null) {
            batch.add(request);
            return;
        }
        ArrayList<AcceptorRequest> newBatch = new ArrayList<>();
        newBatch.add(request);
        outgoingRequests.put(voter, newBatch);
        clock.schedule(batchDelayMs, () -> send(voter, outgoingRequests.remove(voter)));
    }

    private void send(String voter, List<AcceptorRequest> requests) {
        List<AcceptorRequest> current = currentRequests(requests);
        if (current.isEmpty()) {
            return;
        }
        ObjectNode message = JsonNodeFactory.instance
                .objectNode()
                .put("to", voter)
                .put("epoch", replicatedState.votersChangedIndex());
        ArrayNode requestArray = message.putArray("items");
        for (AcceptorRequest request : current) {
            ArrayNode json = requestArray
                    .addArray()
                    .add(request.isPrepare ? 1 : 0)
                    .add(request.id)
                    .add(request.proposalNumber.encode());
            if (!request.isPrepare) {
                json.add(request.value);
            }
        }
        transport.call(RaftNode.addressOf(voter), "register", message, callTimeoutMs, json -> {
            JsonNode replies = json == null ? null : json.path("items");
            for (int index = 0; index < current.size(); index++) {
                current.get(index)
                        .callback
                        .accept(replies == null || index >= replies.size() ? null : read(replies.get(index)));
            }
        });
    }

    /** Rounds begun under other voters than those in force now end unsure, and are begun anew. */
    private List<AcceptorRequest> currentRequests(List<AcceptorRequest> requests) {
        List<AcceptorRequest> current = new ArrayList<>(requests.size());
        for (AcceptorRequest request : requests) {
            if (request.proposalNumber.votersChangedIndex() == replicatedState.votersChangedIndex()) {
                current.add(request);
            } else {
                request.callback.accept(null);
            }
        }
        return current;
    }

    private static AcceptorReply read(JsonNode json) {
        return new AcceptorReply(
                json.path(0).asInt() == 1,
                json.path(1).asLong(),
                ProposalNumber.decode(json.path(2).asText("")),
                json.path(3).isTextual() ? json.path(3).asText() : null);
    }

    /** This voter's own answer to its own proposals. */
    private void acceptLocally(List<AcceptorRequest> requests) {
        if (!isSynced()) {
            clock.execute(() -> requests.forEach(request -> request.callback.accept(null)));
            return;
        }
        List<AcceptorReply> replies = new ArrayList<>();
        processAsAcceptor(requests, replies, () -> {
            for (int index = 0; index < requests.size(); index++) {
                requests.get(index).callback.accept(replies.get(index));
            }
        });
    }

    /** Decides on items as an acceptor; what was decided may be told once it is on disk. */
    private void processAsAcceptor(List<AcceptorRequest> requests, List<AcceptorReply> replies, Runnable onDurable) {
        Map<String, DurableStore.StoredRegister> changedRegisters = new LinkedHashMap<>();
        for (AcceptorRequest request : requests) {
            RegisterAcceptor.RegisterState stateBefore = acceptor.get(request.id);
            boolean wasAccepted = stateBefore != null && request.proposalNumber.equals(stateBefore.acceptedProposal());
            // A round without a prepare is the right of one voter under these voters, and of nobody under others.
            boolean isOutdated = request.proposalNumber.number() == 0
                    && request.proposalNumber.votersChangedIndex() != replicatedState.votersChangedIndex();
            boolean isGranted = !isOutdated
                    && (request.isPrepare
                            ? acceptor.prepare(request.id, request.proposalNumber)
                            : acceptor.accept(request.id, request.proposalNumber, request.value));
            if (isGranted && !wasAccepted) {
                changedRegisters.put(request.id, acceptor.storedRegister(request.id));
                chosenRegisters.remove(request.id);
            }
            RegisterAcceptor.RegisterState state = acceptor.get(request.id);
            if (state == null) {
                replies.add(new AcceptorReply(false, 0, null, null));
                continue;
            }
            long highestSeenNumber = Math.max(
                    state.promisedProposal() == null
                            ? 0
                            : state.promisedProposal().number(),
                    state.acceptedProposal() == null
                            ? 0
                            : state.acceptedProposal().number());
            replies.add(new AcceptorReply(isGranted, highestSeenNumber, state.acceptedProposal(), state.value()));
        }
        // Also where nothing changed: what is told may still be on its way to the disk.
        persist(changedRegisters, onDurable);
    }

    /** Words that come within a short time go to the disk as one write: each costs a small helm as much as a message. */
    private void persist(Map<String, DurableStore.StoredRegister> changedRegisters, Runnable onDurable) {
        if (unsavedRegisters == null) {
            unsavedRegisters = new LinkedHashMap<>();
            unsavedCallbacks = new ArrayList<>();
            clock.schedule(batchDelayMs / 2, () -> {
                List<Runnable> callbacks = unsavedCallbacks;
                List<DurableStore.StoredRegister> batch = new ArrayList<>(unsavedRegisters.values());
                unsavedRegisters = null;
                unsavedCallbacks = null;
                durableStore.saveRegisters(batch, () -> callbacks.forEach(Runnable::run));
            });
        }
        unsavedRegisters.putAll(changedRegisters);
        unsavedCallbacks.add(onDurable);
    }

    /** Serves the registers' messages; false where the kind is another's. */
    public boolean handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        if (!kind.equals("register") && !kind.equals("registers")) {
            return false;
        }
        // Under other voters than those in force here a majority would be another one.
        boolean isCurrent = self.equals(request.path("to").asText())
                && request.path("epoch").asLong() == replicatedState.votersChangedIndex()
                && isSynced();
        if (!isCurrent) {
            callback.accept(JsonNodeFactory.instance.objectNode());
        } else if (kind.equals("registers")) {
            callback.accept(registerPage(request.path("after").asText()));
        } else {
            answerRequests(request, callback);
        }
        return true;
    }

    private void answerRequests(JsonNode request, Consumer<ObjectNode> callback) {
        List<AcceptorRequest> requests = new ArrayList<>();
        for (JsonNode json : request.path("items")) {
            requests.add(new AcceptorRequest(
                    json.path(0).asInt() == 1,
                    json.path(1).asText(),
                    ProposalNumber.decode(json.path(2).asText()),
                    json.path(3).asText(),
                    null));
        }
        List<AcceptorReply> replies = new ArrayList<>();
        processAsAcceptor(requests, replies, () -> {
            ObjectNode response = JsonNodeFactory.instance.objectNode();
            ArrayNode replyArray = response.putArray("items");
            for (int index = 0; index < requests.size(); index++) {
                AcceptorReply reply = replies.get(index);
                ArrayNode json = replyArray.addArray().add(reply.isGranted ? 1 : 0);
                // A proposer that was agreed with needs more only of a prepare.
                if (!reply.isGranted || requests.get(index).isPrepare) {
                    json.add(reply.highestSeenNumber)
                            .add(reply.acceptedProposal == null ? "" : reply.acceptedProposal.encode());
                    if (reply.value != null) {
                        json.add(reply.value);
                    }
                }
            }
            callback.accept(response);
        });
    }

    // ---- a new voter

    /** To be called now and then: a voter that is new reads what a majority of the others has accepted. */
    public void sync() {
        Long voterSince = replicatedState.voterSinceIndexes().get(self);
        if (voterSince == null || isSynced() || isSyncing) {
            return;
        }
        isSyncing = true;
        long votersChangedIndex = replicatedState.votersChangedIndex();
        List<String> otherVoters = new ArrayList<>(replicatedState.voterSet().oldVoters());
        otherVoters.remove(self);
        int majority = otherVoters.size() / 2 + 1;
        Map<String, DurableStore.StoredRegister> copied = new TreeMap<>();
        int[] completed = {0};
        int[] pending = {otherVoters.size()};
        Consumer<Boolean> onRead = isComplete -> {
            pending[0]--;
            completed[0] += isComplete ? 1 : 0;
            if (completed[0] == majority && isComplete) {
                List<DurableStore.StoredRegister> changedRegisters = new ArrayList<>(copied.values());
                changedRegisters.add(
                        new DurableStore.StoredRegister(SYNCED_MARKER, null, null, Long.toString(voterSince)));
                durableStore.saveRegisters(changedRegisters, () -> {
                    syncedSince = voterSince;
                    isSyncing = false;
                    log.log(
                            Event.REGISTERS_SYNCED,
                            "registers",
                            changedRegisters.size() - 1,
                            "votersIndex",
                            votersChangedIndex);
                });
            } else if (pending[0] == 0 && completed[0] < majority) {
                isSyncing = false;
            }
        };
        otherVoters.forEach(voter -> read(voter, votersChangedIndex, "", copied, onRead));
        if (otherVoters.isEmpty()) {
            isSyncing = false;
        }
    }

    private void read(
            String voter,
            long votersChangedIndex,
            String afterId,
            Map<String, DurableStore.StoredRegister> copied,
            Consumer<Boolean> callback) {
        ObjectNode request = JsonNodeFactory.instance
                .objectNode()
                .put("to", voter)
                .put("epoch", votersChangedIndex)
                .put("after", afterId);
        transport.call(RaftNode.addressOf(voter), "registers", request, callTimeoutMs * 4, json -> {
            if (json == null
                    || !json.path("items").isArray()
                    || replicatedState.votersChangedIndex() != votersChangedIndex) {
                callback.accept(false);
                return;
            }
            String lastId = afterId;
            for (JsonNode item : json.path("items")) {
                lastId = item.path(0).asText();
                if (acceptor.adoptAccepted(
                        lastId,
                        ProposalNumber.decode(item.path(1).asText()),
                        item.path(2).isTextual() ? item.path(2).asText() : null)) {
                    copied.put(lastId, acceptor.storedRegister(lastId));
                }
            }
            if (json.path("more").asBoolean()) {
                read(voter, votersChangedIndex, lastId, copied, callback);
            } else {
                callback.accept(true);
            }
        });
    }

    private ObjectNode registerPage(String afterId) {
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        ArrayNode itemArray = response.putArray("items");
        List<String> ids = acceptor.idsAfter(afterId, PAGE_SIZE);
        for (String id : ids) {
            RegisterAcceptor.RegisterState state = acceptor.get(id);
            ArrayNode json = itemArray
                    .addArray()
                    .add(id)
                    .add(
                            state.acceptedProposal() == null
                                    ? ""
                                    : state.acceptedProposal().encode());
            if (state.value() != null) {
                json.add(state.value());
            }
        }
        return response.put("more", ids.size() == PAGE_SIZE);
    }
}
