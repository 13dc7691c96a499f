package bramblespool.coordination.tenancy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** JSON of the messages by which proxies renew their leases on token buckets and give them back. */
public final class BucketCodec {
    /** A proxy renews its leases. */
    public static final String RENEW_KIND = "bucket/renew";
    /** A proxy gives buckets back. */
    public static final String RETURN_KIND = "bucket/return";

    private static final String HOLDER = "holder";
    private static final String GROUP = "group";
    private static final String GROUPS = "groups";
    private static final String RENEWED_GROUPS = "renewed";
    private static final String SHARD_OWNERS = "owners";
    private static final String TOKENS = "tokens";
    private static final String TENANT = "tenant";
    private static final String TOKENS_LEFT = "left";
    private static final String PEER_ADDRESS = "peer";

    private BucketCodec() {}

    static ObjectNode encodeRenewal(BucketRenewal renewal) {
        ObjectNode body = JsonNodeFactory.instance.objectNode().put(HOLDER, renewal.holder());
        ArrayNode groups = body.putArray(GROUPS);
        renewal.groups().forEach(groups::add);
        return body;
    }

    /** Reads a message of the kind {@link #RENEW_KIND}. */
    public static BucketRenewal decodeRenewal(JsonNode body) {
        List<String> groups = new ArrayList<>();
        body.path(GROUPS).forEach(group -> groups.add(group.asText()));
        return new BucketRenewal(body.path(HOLDER).asText(), groups);
    }

    /** Writes the answer to a renewal. */
    public static ObjectNode encodeRenewalResult(BucketRenewalResult result) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode renewedGroups = body.putArray(RENEWED_GROUPS);
        result.renewedGroups().forEach(renewedGroups::add);
        body.set(SHARD_OWNERS, writeAddresses(result.shardOwners()));
        return body;
    }

    static BucketRenewalResult decodeRenewalResult(JsonNode body) {
        Set<String> renewedGroups = new HashSet<>();
        body.path(RENEWED_GROUPS).forEach(group -> renewedGroups.add(group.asText()));
        return new BucketRenewalResult(renewedGroups, readAddresses(body.path(SHARD_OWNERS)));
    }

    static ObjectNode encodeReturn(BucketReturn returned) {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put(HOLDER, returned.holder())
                .put(GROUP, returned.group());
        body.set(TOKENS, writeTokens(returned.tokens()));
        return body;
    }

    /** Reads a message of the kind {@link #RETURN_KIND}. */
    public static BucketReturn decodeReturn(JsonNode body) {
        return new BucketReturn(body.path(HOLDER).asText(), body.path(GROUP).asText(), readTokens(body.path(TOKENS)));
    }

    static ArrayNode writeTokens(Map<String, Double> tokens) {
        ArrayNode items = JsonNodeFactory.instance.arrayNode();
        tokens.forEach((tenant, left) -> items.addObject().put(TENANT, tenant).put(TOKENS_LEFT, left));
        return items;
    }

    static Map<String, Double> readTokens(JsonNode items) {
        Map<String, Double> tokens = new HashMap<>();
        for (JsonNode item : items) {
            tokens.put(item.path(TENANT).asText(), item.path(TOKENS_LEFT).asDouble());
        }
        return tokens;
    }

    /** Writes peer addresses by group. */
    static ArrayNode writeAddresses(Map<String, String> addresses) {
        ArrayNode items = JsonNodeFactory.instance.arrayNode();
        addresses.forEach(
                (group, address) -> items.addObject().put(GROUP, group).put(PEER_ADDRESS, address));
        return items;
    }

    static Map<String, String> readAddresses(JsonNode items) {
        Map<String, String> addresses = new HashMap<>();
        for (JsonNode item : items) {
            addresses.put(item.path(GROUP).asText(), item.path(PEER_ADDRESS).asText());
        }
        return addresses;
    }
}
