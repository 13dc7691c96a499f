package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.AcceptedRegister;
import bramblespool.coordination.register.RegisterMessages.Page;
import bramblespool.coordination.time.ClusterClock;
import bramblespool.state.DurableStore.StoredRegister;
import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The registers that one voter holds in memory. A value is held for a retention time from its acceptance, and a promise
 * from when it was given; neither prolongs the other. What was loaded or copied has an age already, which its proposal
 * number tells by the cluster's clock: so all voters forget a value at about the same time, restarted or not. What has
 * expired is not there for anybody, though it may still take up memory for a while.
 *
 * <p>Whether a change is allowed is {@link RegisterAcceptor}'s to decide. Confined to the event loop.
 */
final class RegisterTable {
    private record Expiry(String registerId, long expiresAtMs) {}

    private final Clock clock;
    private final ClusterClock clusterClock;
    private final long retentionMs;
    private final TreeMap<String, RegisterState> registers = new TreeMap<>();
    /** One for each register, in the order in which they are looked at again; a register's own time may be later. */
    private final ArrayDeque<Expiry> expiries = new ArrayDeque<>();
    /** Registers as they were loaded, whose age is not known before the cluster's time is. */
    private final Set<String> loadedIds = new HashSet<>();

    /**
     * What was stored is retained for a whole retention time from now at most. How much of that is over already is told
     * by {@link #onTimeAgreed}.
     */
    RegisterTable(Clock clock, ClusterClock clusterClock, long retentionMs, List<StoredRegister> storedRegisters) {
        this.clock = clock;
        this.clusterClock = clusterClock;
        this.retentionMs = retentionMs;
        long expiresAtMs = clock.nowMs() + retentionMs;
        for (StoredRegister stored : storedRegisters) {
            if (!RegisterCodec.isSyncMarker(stored)) {
                RegisterState state = getOrCreate(stored.registerId());
                state.promise(RegisterCodec.promisedNumber(stored), expiresAtMs);
                state.accept(RegisterCodec.acceptedNumber(stored), stored.acceptedValue(), expiresAtMs);
                loadedIds.add(stored.registerId());
            }
        }
    }

    int size() {
        return registers.size();
    }

    /** The register's state, or {@link RegisterState#UNKNOWN}. */
    RegisterState get(String registerId) {
        RegisterState state = registers.get(registerId);
        return state == null || isExpired(state) ? RegisterState.UNKNOWN : state;
    }

    /** Whether nothing of the register is left; forgets its value where that alone has expired. */
    private boolean isExpired(RegisterState state) {
        long nowMs = clock.nowMs();
        state.dropExpiredValue(nowMs);
        return state.expiresAtMs() < nowMs;
    }

    void promise(String registerId, ProposalNumber number) {
        getOrCreate(registerId).promise(number, clock.nowMs() + retentionMs);
    }

    void accept(String registerId, ProposalNumber number, String value) {
        getOrCreate(registerId).accept(number, value, clock.nowMs() + retentionMs);
        loadedIds.remove(registerId);
    }

    /**
     * Copies what another acceptor has accepted, unless what is held here is as new.
     *
     * @return whether it was copied
     */
    boolean copyAccepted(AcceptedRegister accepted) {
        long expiresAtMs = expiryOf(accepted.number());
        boolean isNewer = get(accepted.registerId()).acceptedNumber().compareTo(accepted.number()) < 0;
        if (!isNewer || expiresAtMs < clock.nowMs()) {
            return false;
        }
        getOrCreate(accepted.registerId()).accept(accepted.number(), accepted.value(), expiresAtMs);
        return true;
    }

    /** Notes that a quorum has accepted the proposal; no effect where this voter holds another one. */
    void markChosen(String registerId, ProposalNumber number) {
        RegisterState state = get(registerId);
        if (state.acceptedNumber().equals(number)) {
            state.markChosen();
        }
    }

    /**
     * The cluster's time is known now: what was loaded expires a retention time after its proposal, as at the voters
     * that were not restarted.
     */
    void onTimeAgreed() {
        for (String registerId : loadedIds) {
            RegisterState state = registers.get(registerId);
            if (state != null) {
                state.limitExpiry(expiryOf(state.promisedNumber()), expiryOf(state.acceptedNumber()));
            }
        }
        loadedIds.clear();
    }

    /** When something of this number expires that is not new here; never later than if it were. */
    private long expiryOf(ProposalNumber number) {
        long nowMs = clock.nowMs();
        if (!number.hasTime() || !clusterClock.isAgreed()) {
            return nowMs + retentionMs;
        }
        long ageMs = Math.max(0, clusterClock.now() - number.issuedAtMs());
        return nowMs + retentionMs - ageMs;
    }

    /** At most {@code limit} registers in the order of their ids, from the first one after {@code afterId} on. */
    Page pageAfter(String afterId, int limit) {
        List<AcceptedRegister> page = new ArrayList<>();
        for (Map.Entry<String, RegisterState> entry :
                registers.tailMap(afterId, false).entrySet()) {
            if (page.size() == limit) {
                break;
            }
            RegisterState state = entry.getValue();
            if (!isExpired(state)) {
                page.add(new AcceptedRegister(entry.getKey(), state.acceptedNumber(), state.acceptedValue()));
            }
        }
        return new Page(page, page.size() == limit);
    }

    /** Removes the registers of which nothing is left. */
    void expire() {
        long nowMs = clock.nowMs();
        while (!expiries.isEmpty() && expiries.peek().expiresAtMs < nowMs) {
            String registerId = expiries.poll().registerId;
            RegisterState state = registers.get(registerId);
            if (isExpired(state)) {
                registers.remove(registerId);
                loadedIds.remove(registerId);
            } else {
                expiries.add(new Expiry(registerId, state.expiresAtMs()));
            }
        }
    }

    private RegisterState getOrCreate(String registerId) {
        RegisterState state = registers.get(registerId);
        if (state == null) {
            state = new RegisterState();
            registers.put(registerId, state);
            expiries.add(new Expiry(registerId, clock.nowMs() + retentionMs));
        } else if (isExpired(state)) {
            state.promise(ProposalNumber.NONE, Long.MIN_VALUE);
        }
        return state;
    }
}
