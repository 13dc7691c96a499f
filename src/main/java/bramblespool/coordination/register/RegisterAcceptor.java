package bramblespool.coordination.register;

import bramblespool.state.DurableStore;
import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A voter's part in the registers: what it has promised and accepted. Nothing here waits for the disk: whoever answers a
 * proposer does so only when the word returned by {@link #prepare} or {@link #accept} is kept.
 */
final class RegisterAcceptor {
    /** One register here: the highest ballot promised, and what was accepted under which. */
    static final class RegisterState {
        private ProposalNumber promisedProposal;
        private ProposalNumber acceptedProposal;
        private String value;
        private long expiresAtMs;

        ProposalNumber promisedProposal() {
            return promisedProposal;
        }

        ProposalNumber acceptedProposal() {
            return acceptedProposal;
        }

        String value() {
            return value;
        }
    }

    private record Expiry(String id, long expiresAtMs) {}

    private final Clock clock;
    private final long retentionMs;
    private final TreeMap<String, RegisterState> registers = new TreeMap<>();
    private final ArrayDeque<Expiry> expiries = new ArrayDeque<>();

    /** What is loaded from disk lives on for a whole life from now: nobody knows how long this process was away. */
    RegisterAcceptor(Clock clock, long retentionMs, List<DurableStore.StoredRegister> storedRegisters) {
        this.clock = clock;
        this.retentionMs = retentionMs;
        for (DurableStore.StoredRegister stored : storedRegisters) {
            if (!stored.registerId().isEmpty()) {
                RegisterState state = registerState(stored.registerId());
                state.promisedProposal = ProposalNumber.decode(stored.promisedProposal());
                state.acceptedProposal = ProposalNumber.decode(stored.acceptedProposal());
                state.value = stored.acceptedValue();
            }
        }
    }

    int size() {
        return registers.size();
    }

    /** The register here, or null where nothing was ever promised or accepted. */
    RegisterState get(String id) {
        return registers.get(id);
    }

    private RegisterState registerState(String id) {
        return registers.computeIfAbsent(id, registerId -> {
            RegisterState state = new RegisterState();
            state.expiresAtMs = clock.nowMs() + retentionMs;
            expiries.add(new Expiry(registerId, state.expiresAtMs));
            return state;
        });
    }

    /** Promises to accept nothing below the ballot; false where it has promised or accepted that or a higher one. */
    boolean prepare(String id, ProposalNumber proposalNumber) {
        RegisterState state = registers.get(id);
        if (state != null
                && (notBelow(state.promisedProposal, proposalNumber)
                        || notBelow(state.acceptedProposal, proposalNumber))) {
            return false;
        }
        state = registerState(id);
        state.promisedProposal = proposalNumber;
        state.expiresAtMs = clock.nowMs() + retentionMs;
        return true;
    }

    private static boolean notBelow(ProposalNumber current, ProposalNumber proposalNumber) {
        return current != null && current.compareTo(proposalNumber) >= 0;
    }

    /** Accepts a value; a round without a prepare only into a register of which nothing is known. */
    boolean accept(String id, ProposalNumber proposalNumber, String value) {
        RegisterState state = registers.get(id);
        if (state != null) {
            if (proposalNumber.equals(state.acceptedProposal)) {
                return value.equals(state.value);
            }
            if (proposalNumber.number() == 0
                    || state.promisedProposal != null && state.promisedProposal.compareTo(proposalNumber) > 0
                    || state.acceptedProposal != null && state.acceptedProposal.compareTo(proposalNumber) > 0) {
                return false;
            }
        }
        state = registerState(id);
        state.acceptedProposal = proposalNumber;
        state.value = value;
        state.expiresAtMs = clock.nowMs() + retentionMs;
        return true;
    }

    /** Takes over what another acceptor has accepted, where that is newer. */
    boolean adoptAccepted(String id, ProposalNumber acceptedProposal, String value) {
        RegisterState state = registerState(id);
        if (acceptedProposal == null
                || state.acceptedProposal != null && state.acceptedProposal.compareTo(acceptedProposal) >= 0) {
            return false;
        }
        state.acceptedProposal = acceptedProposal;
        state.value = value;
        return true;
    }

    /** The register as it goes to disk. */
    DurableStore.StoredRegister storedRegister(String id) {
        RegisterState state = registers.get(id);
        return new DurableStore.StoredRegister(
                id,
                state.promisedProposal == null ? null : state.promisedProposal.encode(),
                state.acceptedProposal == null ? null : state.acceptedProposal.encode(),
                state.value);
    }

    /** Some of the registers in the order of their ids, from after the one named. */
    List<String> idsAfter(String id, int limit) {
        List<String> ids = new ArrayList<>();
        for (Map.Entry<String, RegisterState> entry :
                registers.tailMap(id, false).entrySet()) {
            if (ids.size() == limit) {
                break;
            }
            ids.add(entry.getKey());
        }
        return ids;
    }

    /** Forgets what is past its life. */
    void expire() {
        long nowMs = clock.nowMs();
        while (!expiries.isEmpty() && expiries.peek().expiresAtMs < nowMs) {
            Expiry expiry = expiries.poll();
            RegisterState state = registers.get(expiry.id);
            if (state != null && state.expiresAtMs < nowMs) {
                registers.remove(expiry.id);
            } else if (state != null) {
                expiries.add(new Expiry(expiry.id, state.expiresAtMs));
            }
        }
    }
}
