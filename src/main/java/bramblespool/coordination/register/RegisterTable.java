package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.AcceptedRegister;
import bramblespool.coordination.register.RegisterMessages.Page;
import bramblespool.state.DurableStore.StoredRegister;
import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The registers that one voter holds in memory, each for its retention time after the last promise or acceptance.
 * Whether a change is allowed is {@link RegisterAcceptor}'s to decide. Confined to the event loop.
 */
final class RegisterTable {
    private record Expiry(String registerId, long expiresAtMs) {}

    private final Clock clock;
    private final long retentionMs;
    private final TreeMap<String, RegisterState> registers = new TreeMap<>();
    /** One for each register, in the order in which they are looked at again; a register's own time may be later. */
    private final ArrayDeque<Expiry> expiries = new ArrayDeque<>();

    /**
     * What was stored is retained for a whole retention time from now, since nobody knows how long this process was
     * away.
     */
    RegisterTable(Clock clock, long retentionMs, List<StoredRegister> storedRegisters) {
        this.clock = clock;
        this.retentionMs = retentionMs;
        for (StoredRegister stored : storedRegisters) {
            if (!RegisterCodec.isSyncMarker(stored)) {
                RegisterState state = getOrCreate(stored.registerId());
                state.promise(RegisterCodec.promisedNumber(stored));
                state.accept(RegisterCodec.acceptedNumber(stored), stored.acceptedValue());
            }
        }
    }

    int size() {
        return registers.size();
    }

    /** The register's state, or {@link RegisterState#UNKNOWN}. */
    RegisterState get(String registerId) {
        return registers.getOrDefault(registerId, RegisterState.UNKNOWN);
    }

    void promise(String registerId, ProposalNumber number) {
        RegisterState state = getOrCreate(registerId);
        state.promise(number);
        state.setExpiresAtMs(clock.nowMs() + retentionMs);
    }

    void accept(String registerId, ProposalNumber number, String value) {
        RegisterState state = getOrCreate(registerId);
        state.accept(number, value);
        state.setExpiresAtMs(clock.nowMs() + retentionMs);
    }

    /**
     * Copies what another acceptor has accepted, unless what is held here is as new.
     *
     * @return whether it was copied
     */
    boolean copyAccepted(AcceptedRegister accepted) {
        RegisterState state = getOrCreate(accepted.registerId());
        if (state.acceptedNumber().compareTo(accepted.number()) >= 0) {
            return false;
        }
        state.copyAccepted(accepted.number(), accepted.value());
        return true;
    }

    /** Notes that a quorum has accepted the proposal; no effect where this voter holds another one. */
    void markChosen(String registerId, ProposalNumber number) {
        RegisterState state = get(registerId);
        if (state.acceptedNumber().equals(number)) {
            state.markChosen();
        }
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
            page.add(new AcceptedRegister(entry.getKey(), state.acceptedNumber(), state.acceptedValue()));
        }
        return new Page(page, page.size() == limit);
    }

    /** Removes the registers whose retention time is over. */
    void expire() {
        long nowMs = clock.nowMs();
        while (!expiries.isEmpty() && expiries.peek().expiresAtMs < nowMs) {
            String registerId = expiries.poll().registerId;
            long expiresAtMs = registers.get(registerId).expiresAtMs();
            if (expiresAtMs < nowMs) {
                registers.remove(registerId);
            } else {
                expiries.add(new Expiry(registerId, expiresAtMs));
            }
        }
    }

    private RegisterState getOrCreate(String registerId) {
        RegisterState state = registers.get(registerId);
        if (state == null) {
            state = new RegisterState();
            state.setExpiresAtMs(clock.nowMs() + retentionMs);
            registers.put(registerId, state);
            expiries.add(new Expiry(registerId, state.expiresAtMs()));
        }
        return state;
    }
}
