package bramblespool.coordination.controller;

import bramblespool.coordination.tenancy.TenantSharding;
import bramblespool.raft.MemberProgress;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON of the status report, which the status command reads, also that of 0.4.0; the request has no fields. */
final class ControllerStatusCodec {
    private static final String ROLE = "role";
    /** Value of the role; a proxy's differ. */
    private static final String CONTROLLER_ROLE = "helm";

    private static final String NODE = "node";
    private static final String ZONE = "zone";
    private static final String MEMBER_ID = "self";
    private static final String TERM = "term";
    private static final String LEADER_ID = "leader";
    private static final String IS_LEADER = "leads";
    private static final String EPOCH = "epoch";
    private static final String PHASE = "phase";
    private static final String LAST_APPLIED = "applied";
    private static final String LATENESS_MS = "late";
    private static final String IS_OVERLOADED = "strained";
    private static final String VOTERS = "voters";
    private static final String FOLLOWERS = "followers";
    private static final String FOLLOWER_ID = "member";
    private static final String MATCH_INDEX = "match";
    private static final String ENTRIES_BEHIND = "behind";
    private static final String TRANSFERRED_CHARS = "sent";
    private static final String TRANSFER_CHARS = "size";
    private static final String SNAPSHOTS_SENT = "snapshots";
    private static final String SILENT_MS = "silentMs";
    private static final String HAS_DIVERGED = "differs";
    private static final String UNCONFIRMED_PROXIES = "unconfirmed";
    private static final String EVACUATIONS = "evacuations";
    private static final String ROLE_OWNERS = "duties";
    private static final String OWNED_SHARDS = "slices";
    private static final String SHARD_COUNT = "slicesInAll";
    private static final String REGISTERS = "registers";
    private static final String PROPOSAL_ROUNDS = "rounds";
    private static final String UNKNOWN_OUTCOMES = "unsure";
    private static final String HAS_SYNCED_REGISTERS = "settled";
    private static final String USAGE_REPORTING = "usage";
    private static final String DENIED_COUNTS = "overLimit";
    private static final String PROXIES = "sides";
    private static final String HAS_SESSION = "member";

    private ControllerStatusCodec() {}

    static ObjectNode encode(ControllerStatus status) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        putSummary(body, status);
        putGroup(body, status.consensus());
        putAgreed(body, status.agreed());
        putTenancy(body, status.tenancy());
        if (status.usageReporting() != null) {
            body.set(USAGE_REPORTING, status.usageReporting());
        }
        ObjectNode deniedCounts = body.putObject(DENIED_COUNTS);
        status.tenancy().deniedCounts().forEach(deniedCounts::put);
        ObjectNode proxies = body.putObject(PROXIES);
        status.proxies().forEach((node, proxy) -> {
            ObjectNode record = proxy.record().deepCopy();
            proxies.set(node, record.put(HAS_SESSION, proxy.hasSession()));
        });
        return body;
    }

    private static void putSummary(ObjectNode body, ControllerStatus status) {
        ControllerStatus.Consensus consensus = status.consensus();
        body.put(ROLE, CONTROLLER_ROLE)
                .put(NODE, status.identity().node())
                .put(ZONE, status.identity().zone())
                .put(MEMBER_ID, status.identity().memberId())
                .put(TERM, consensus.term())
                .put(LEADER_ID, consensus.leaderId())
                .put(IS_LEADER, consensus.isLeader())
                .put(EPOCH, status.agreed().epoch())
                .put(PHASE, status.agreed().phase())
                .put(LAST_APPLIED, consensus.lastApplied())
                .put(LATENESS_MS, status.load().latenessMs())
                .put(IS_OVERLOADED, status.load().isOverloaded());
    }

    private static void putGroup(ObjectNode body, ControllerStatus.Consensus consensus) {
        ArrayNode voters = body.putArray(VOTERS);
        consensus.voters().forEach(voters::add);
        ArrayNode followers = body.putArray(FOLLOWERS);
        for (MemberProgress follower : consensus.followers()) {
            followers
                    .addObject()
                    .put(FOLLOWER_ID, follower.memberId())
                    .put(MATCH_INDEX, follower.matchIndex())
                    .put(ENTRIES_BEHIND, follower.entriesBehind())
                    .put(TRANSFERRED_CHARS, follower.transferredChars())
                    .put(TRANSFER_CHARS, follower.transferChars())
                    .put(SNAPSHOTS_SENT, follower.snapshotsSent())
                    .put(SILENT_MS, follower.silentMs())
                    .put(HAS_DIVERGED, follower.hasDivergedState());
        }
    }

    private static void putAgreed(ObjectNode body, ControllerStatus.Agreed agreed) {
        ArrayNode unconfirmed = body.putArray(UNCONFIRMED_PROXIES);
        agreed.unconfirmedProxies().forEach(unconfirmed::add);
        ObjectNode evacuations = body.putObject(EVACUATIONS);
        agreed.evacuations().forEach(evacuations::put);
        ObjectNode roleOwners = body.putObject(ROLE_OWNERS);
        agreed.roleOwners().forEach(roleOwners::put);
    }

    private static void putTenancy(ObjectNode body, ControllerStatus.Tenancy tenancy) {
        body.put(OWNED_SHARDS, tenancy.ownedShards())
                .put(SHARD_COUNT, TenantSharding.SHARD_COUNT)
                .put(REGISTERS, tenancy.registers())
                .put(PROPOSAL_ROUNDS, tenancy.proposalRounds())
                .put(UNKNOWN_OUTCOMES, tenancy.unknownOutcomes())
                .put(HAS_SYNCED_REGISTERS, tenancy.hasSyncedRegisters());
    }
}
