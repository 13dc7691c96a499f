package bramblespool.coordination.controller;

import bramblespool.coordination.tenancy.BucketCodec;
import bramblespool.coordination.tenancy.BucketLender;
import bramblespool.coordination.tenancy.BucketRenewal;
import bramblespool.coordination.tenancy.BucketRenewalResult;
import bramblespool.coordination.tenancy.BucketReturn;
import bramblespool.coordination.tenancy.ShardLeases;
import bramblespool.coordination.tenancy.TenantSharding;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Serves proxies that hold token buckets: renews their leases and takes buckets back. Confined to the event loop. */
final class BucketLeaseHandler {
    private final LocalController local;
    private final ShardLeases shardLeases;
    private final BucketLender lender;

    BucketLeaseHandler(LocalController local, ShardLeases shardLeases, BucketLender lender) {
        this.local = local;
        this.shardLeases = shardLeases;
        this.lender = lender;
    }

    /** Renews the leases of shards that this controller owns, and says who owns the others. */
    void handleRenewal(JsonNode body, Consumer<ObjectNode> callback) {
        BucketRenewal renewal = BucketCodec.decodeRenewal(body);
        shardLeases.markRequested();
        Set<String> renewed = new HashSet<>();
        Map<String, String> owners = new HashMap<>();
        for (String group : renewal.groups()) {
            String shard = TenantSharding.shardOfGroup(group);
            String owner = shardLeases.ownerOf(shard);
            if (owns(shard)) {
                if (lender.renew(shardLeases.ownership(shard), group, renewal.holder())) {
                    renewed.add(group);
                }
            } else if (owner != null) {
                owners.put(group, owner);
            } else if (!local.isLeaving()) {
                shardLeases.acquire(shard);
            }
        }
        callback.accept(BucketCodec.encodeRenewalResult(new BucketRenewalResult(renewed, owners)));
    }

    /** Takes buckets back that a proxy does not use any more. */
    void handleReturn(JsonNode body, Consumer<ObjectNode> callback) {
        BucketReturn returned = BucketCodec.decodeReturn(body);
        String shard = TenantSharding.shardOfGroup(returned.group());
        if (owns(shard)) {
            lender.takeBack(shardLeases.ownership(shard), returned);
        }
        callback.accept(JsonNodeFactory.instance.objectNode());
    }

    private boolean owns(String shard) {
        return !local.isLeaving() && shardLeases.fencingToken(shard) >= 0;
    }
}
