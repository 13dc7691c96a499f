package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.AcceptedRegister;
import bramblespool.coordination.register.RegisterMessages.Page;
import bramblespool.coordination.register.RegisterMessages.PageRequest;
import bramblespool.state.DurableStore;
import bramblespool.state.DurableStore.StoredRegister;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.PeerTransport;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Brings a new voter up to date before its acceptor takes part: it reads what a majority of the other voters has
 * accepted. Otherwise a quorum that counts it might miss a chosen value (CASPaxos, "Cluster membership change", which
 * has all values rewritten under the new acceptors before the old ones go). Confined to the event loop.
 */
final class RegisterSynchronizer {
    private final RegisterVoters voters;
    private final RegisterTable registers;
    private final DurableStore durableStore;
    private final PeerTransport transport;
    private final long pageTimeoutMs;
    private final EventLog log;
    /**
     * The log index, of those since which this controller has been a voter, for which it has last read all registers.
     */
    private long syncedSince;

    private boolean isSyncing;

    RegisterSynchronizer(
            RegisterVoters voters,
            RegisterTable registers,
            DurableStore durableStore,
            List<StoredRegister> storedRegisters,
            PeerTransport transport,
            long pageTimeoutMs,
            EventLog log) {
        this.voters = voters;
        this.registers = registers;
        this.durableStore = durableStore;
        this.transport = transport;
        this.pageTimeoutMs = pageTimeoutMs;
        this.log = log;
        for (StoredRegister stored : storedRegisters) {
            if (RegisterCodec.isSyncMarker(stored)) {
                syncedSince = RegisterCodec.syncedSince(stored);
            }
        }
    }

    /**
     * Whether this voter holds all that the voters before it held: a founder does, another one has to read it first.
     */
    boolean isSynced() {
        return voters.isSelfVoter() && (voters.isSelfFoundingVoter() || syncedSince == voters.selfVoterSince());
    }

    /** Reads the registers of the others where this voter is new; does nothing while that is under way. */
    void sync() {
        if (!voters.isSelfVoter() || isSynced() || isSyncing) {
            return;
        }
        List<String> otherVoters = new ArrayList<>(voters.voterSet().oldVoters());
        otherVoters.remove(voters.self());
        if (!otherVoters.isEmpty()) {
            isSyncing = true;
            new Sync(otherVoters).start();
        }
    }

    /** One attempt to read the registers under the voters in force at its beginning. */
    private final class Sync {
        private final long votersEpoch = voters.epoch();
        private final long voterSince = voters.selfVoterSince();
        private final List<String> otherVoters;
        private final int majority;
        private final Map<String, StoredRegister> copied = new TreeMap<>();
        private int completeCount;
        private int pendingCount;

        Sync(List<String> otherVoters) {
            this.otherVoters = otherVoters;
            this.majority = otherVoters.size() / 2 + 1;
            this.pendingCount = otherVoters.size();
        }

        void start() {
            for (String voter : otherVoters) {
                requestPage(voter, "");
            }
        }

        private void requestPage(String voter, String afterId) {
            transport.call(
                    RegisterVoters.addressOf(voter),
                    RegisterCodec.PAGE_KIND,
                    RegisterCodec.encode(new PageRequest(voter, votersEpoch, afterId)),
                    pageTimeoutMs,
                    json -> onPage(voter, afterId, json == null ? Optional.empty() : RegisterCodec.decodePage(json)));
        }

        private void onPage(String voter, String afterId, Optional<Page> answer) {
            if (answer.isEmpty() || voters.epoch() != votersEpoch) {
                onVoterFailed();
                return;
            }
            Page page = answer.get();
            String lastId = afterId;
            for (AcceptedRegister register : page.registers()) {
                lastId = register.registerId();
                if (registers.copyAccepted(register)) {
                    copied.put(lastId, RegisterCodec.toStored(lastId, registers.get(lastId)));
                }
            }
            if (page.hasMore()) {
                requestPage(voter, lastId);
            } else {
                onVoterComplete();
            }
        }

        private void onVoterFailed() {
            pendingCount--;
            endIfShortOfMajority();
        }

        private void onVoterComplete() {
            pendingCount--;
            completeCount++;
            if (completeCount == majority) {
                save();
            } else {
                endIfShortOfMajority();
            }
        }

        private void endIfShortOfMajority() {
            if (pendingCount == 0 && completeCount < majority) {
                isSyncing = false;
            }
        }

        private void save() {
            List<StoredRegister> changed = new ArrayList<>(copied.values());
            int registerCount = changed.size();
            changed.add(RegisterCodec.syncMarker(voterSince));
            durableStore.saveRegisters(changed, () -> {
                syncedSince = voterSince;
                isSyncing = false;
                log.log(Event.REGISTERS_SYNCED, "registers", registerCount, "votersIndex", votersEpoch);
            });
        }
    }
}
