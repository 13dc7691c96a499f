package bramblespool.coordination.controller;

import bramblespool.raft.MemberProgress;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * A controller's report on itself and on what it knows, as the status command shows it.
 *
 * @param usageReporting the usage reporter's part; null where the platform wants no reports
 * @param proxies the proxies that gossip knows, by name
 */
record ControllerStatus(
        Identity identity,
        Consensus consensus,
        Agreed agreed,
        Load load,
        Tenancy tenancy,
        ObjectNode usageReporting,
        Map<String, Proxy> proxies) {
    /** Which controller this is. */
    record Identity(String node, String zone, String memberId) {}

    /**
     * Where the group of controllers stands.
     *
     * @param leaderId the member that leads; null where none is known
     * @param lastApplied the index of the last log entry applied
     * @param followers how far the others are; empty where this controller does not lead
     */
    record Consensus(
            long term,
            String leaderId,
            boolean isLeader,
            long lastApplied,
            List<String> voters,
            List<MemberProgress> followers) {}

    /**
     * What the group has agreed on.
     *
     * @param epoch the version in force
     * @param phase the phase that the shadow commit has reached
     * @param unconfirmedProxies proxies that have not confirmed the last commit; only its leader knows them
     * @param evacuations whether each zone is evacuated, of those that ever were
     * @param roleOwners peer addresses of the singleton roles' owners
     */
    record Agreed(
            long epoch,
            String phase,
            Collection<String> unconfirmedProxies,
            Map<String, Boolean> evacuations,
            Map<String, String> roleOwners) {}

    /** Whether this controller keeps up: by how much its timers come late. */
    record Load(long latenessMs, boolean isOverloaded) {}

    /**
     * Shards, registers and rate limits.
     *
     * @param unknownOutcomes proposals that ended without a certain outcome
     * @param hasSyncedRegisters whether this controller takes part as an acceptor
     * @param deniedCounts how often tenants were over their limits here
     */
    record Tenancy(
            int ownedShards,
            int registers,
            long proposalRounds,
            long unknownOutcomes,
            boolean hasSyncedRegisters,
            Map<String, Long> deniedCounts) {}

    /**
     * A proxy.
     *
     * @param record the proxy's own gossip entry
     * @param hasSession whether it has an open session with any controller
     */
    record Proxy(JsonNode record, boolean hasSession) {}
}
