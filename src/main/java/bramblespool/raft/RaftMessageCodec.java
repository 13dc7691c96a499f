package bramblespool.raft;

import bramblespool.raft.RaftRequest.Chunk;
import bramblespool.raft.RaftRequest.LeaderHeader;
import bramblespool.raft.RaftRequest.LogSegment;
import bramblespool.state.DurableStore;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The form of {@link RaftRequest} and {@link RaftResponse} on the wire. Kinds and names are those of version 0.4.0
 * and must not change: members of different versions form one group during a rolling upgrade.
 */
final class RaftMessageCodec {
    /** Kinds of requests, each known to the peer transport by this name. */
    static final String KIND_VOTE = "vote";

    static final String KIND_APPEND = "append";
    static final String KIND_CHUNK = "part";
    static final String KIND_HEARTBEAT = "heartbeat";
    static final String KIND_TRANSFER_LEADERSHIP = "lead";
    static final String KIND_LEAVE = "leave";
    static final String KIND_JOIN = "join";

    private static final String RECIPIENT = "to";
    private static final String SENDER = "from";
    private static final String TERM = "term";

    // Vote
    private static final String IS_PRE_VOTE = "pre";
    private static final String IS_LEADERSHIP_TRANSFER = "handed";
    private static final String LAST_INDEX = "lastIndex";
    private static final String LAST_TERM = "lastTerm";

    // Every request of a leader
    private static final String CONTROL_ADDRESS = "control";
    private static final String SEQUENCE = "n";
    private static final String ANSWERED_SEQUENCE = "answered";
    private static final String GRANTS_LEASE = "right";
    private static final String DIGEST_INDEX = "check";
    private static final String IS_STATE_DIVERGED = "differs";

    // Append
    private static final String PREVIOUS_INDEX = "prevIndex";
    private static final String PREVIOUS_TERM = "prevTerm";
    private static final String COMMIT_INDEX = "commit";
    private static final String ENTRIES = "entries";
    private static final String DATA = "data";

    // Chunk
    private static final String TRANSFER_ID = "id";
    private static final String INDEX = "index";
    private static final String TOTAL_CHARS = "size";
    private static final String OFFSET = "offset";
    private static final String VOTERS = "voters";
    /** Present in chunks of an entry only: it distinguishes them from chunks of a snapshot. */
    private static final String ENTRY_TERM = "entryTerm";

    // Transfer of leadership, leave, join
    private static final String LEARNERS = "learners";
    private static final String MEMBER_ID = "id";

    // Response
    private static final String IS_ACCEPTED = "ok";
    private static final String IS_SYNCED = "settled";
    private static final String LAST_INDEX_HINT = "hint";
    private static final String DURABLE_INDEX = "stored";
    private static final String RECEIVED_CHARS = "have";
    private static final String STATE_DIGEST = "state";
    private static final String SNAPSHOT_NEEDED_FROM = "renew";

    private RaftMessageCodec() {}

    /** Whether requests of this kind are the group's. */
    static boolean isRaftKind(String kind) {
        return switch (kind) {
            case KIND_VOTE, KIND_APPEND, KIND_CHUNK, KIND_HEARTBEAT, KIND_TRANSFER_LEADERSHIP, KIND_LEAVE, KIND_JOIN ->
                true;
            default -> false;
        };
    }

    /** The kind under which the request is sent. */
    static String kindOf(RaftRequest request) {
        if (request instanceof RaftRequest.Append) {
            return KIND_APPEND;
        } else if (request instanceof RaftRequest.Heartbeat) {
            return KIND_HEARTBEAT;
        } else if (request instanceof RaftRequest.Vote) {
            return KIND_VOTE;
        } else if (request instanceof RaftRequest.TransferLeadership) {
            return KIND_TRANSFER_LEADERSHIP;
        } else if (request instanceof RaftRequest.Leave) {
            return KIND_LEAVE;
        } else if (request instanceof RaftRequest.Join) {
            return KIND_JOIN;
        }
        return KIND_CHUNK;
    }

    // ---- requests, encoded

    static ObjectNode encode(RaftRequest request) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        if (request instanceof RaftRequest.FromLeader fromLeader) {
            encodeHeader(fromLeader.header(), json);
        }
        if (request instanceof RaftRequest.Append append) {
            encodeAppend(append.segment(), json);
        } else if (request instanceof RaftRequest.SnapshotChunk chunk) {
            encodeChunk(chunk.chunk(), chunk.lastIndex(), json);
            json.put(LAST_TERM, chunk.lastTerm());
            encodeStrings(chunk.voters(), json.putArray(VOTERS));
        } else if (request instanceof RaftRequest.EntryChunk chunk) {
            encodeChunk(chunk.chunk(), chunk.index(), json);
            json.put(PREVIOUS_INDEX, chunk.previousIndex())
                    .put(PREVIOUS_TERM, chunk.previousTerm())
                    .put(ENTRY_TERM, chunk.entryTerm())
                    .put(COMMIT_INDEX, chunk.commitIndex());
        } else if (request instanceof RaftRequest.Vote vote) {
            encodeVote(vote, json);
        } else if (request instanceof RaftRequest.TransferLeadership transfer) {
            json.put(RECIPIENT, transfer.recipientId())
                    .put(SENDER, transfer.leaderId())
                    .put(TERM, transfer.term());
            encodeStrings(transfer.learners(), json.putArray(LEARNERS));
        } else if (request instanceof RaftRequest.Leave leave) {
            json.put(RECIPIENT, leave.recipientId())
                    .put(SENDER, leave.memberId())
                    .put(MEMBER_ID, leave.memberId());
        } else if (request instanceof RaftRequest.Join join) {
            json.put(MEMBER_ID, join.memberId());
        }
        return json;
    }

    private static void encodeHeader(LeaderHeader header, ObjectNode json) {
        json.put(RECIPIENT, header.recipientId())
                .put(SENDER, header.leaderId())
                .put(TERM, header.term())
                .put(CONTROL_ADDRESS, header.controlAddress())
                .put(SEQUENCE, header.sequence())
                .put(ANSWERED_SEQUENCE, header.answeredSequence())
                .put(GRANTS_LEASE, header.grantsLease());
        if (header.digestIndex().isPresent()) {
            json.put(DIGEST_INDEX, header.digestIndex().getAsLong());
        }
        if (header.isStateDiverged()) {
            json.put(IS_STATE_DIVERGED, true);
        }
    }

    private static void encodeAppend(LogSegment segment, ObjectNode json) {
        json.put(PREVIOUS_INDEX, segment.previousIndex())
                .put(PREVIOUS_TERM, segment.previousTerm())
                .put(COMMIT_INDEX, segment.commitIndex());
        ArrayNode entries = json.putArray(ENTRIES);
        for (DurableStore.LogEntry entry : segment.entries()) {
            entries.addObject().put(TERM, entry.term()).put(DATA, entry.data());
        }
    }

    private static void encodeChunk(Chunk chunk, long index, ObjectNode json) {
        json.put(TRANSFER_ID, chunk.transferId())
                .put(INDEX, index)
                .put(TOTAL_CHARS, chunk.totalChars())
                .put(OFFSET, chunk.offset())
                .put(DATA, chunk.data());
    }

    private static void encodeVote(RaftRequest.Vote vote, ObjectNode json) {
        json.put(RECIPIENT, vote.recipientId())
                .put(SENDER, vote.candidateId())
                .put(TERM, vote.term())
                .put(IS_PRE_VOTE, vote.isPreVote())
                .put(IS_LEADERSHIP_TRANSFER, vote.isLeadershipTransfer())
                .put(LAST_INDEX, vote.lastIndex())
                .put(LAST_TERM, vote.lastTerm());
    }

    private static void encodeStrings(Iterable<String> values, ArrayNode target) {
        values.forEach(target::add);
    }

    // ---- requests, decoded

    /** The recipient that a request names, without reading the rest; empty where it names none. */
    static String decodeRecipient(JsonNode json) {
        return json.path(RECIPIENT).asText();
    }

    /**
     * Reads a request; what an older sender leaves out takes its neutral value.
     *
     * @throws IllegalArgumentException if the kind is none of the group's
     */
    static RaftRequest decodeRequest(String kind, JsonNode json) {
        return switch (kind) {
            case KIND_VOTE -> decodeVote(json);
            case KIND_APPEND -> new RaftRequest.Append(decodeHeader(json), decodeSegment(json));
            case KIND_HEARTBEAT -> new RaftRequest.Heartbeat(decodeHeader(json));
            case KIND_CHUNK -> decodeChunkRequest(json);
            case KIND_TRANSFER_LEADERSHIP ->
                new RaftRequest.TransferLeadership(
                        decodeRecipient(json),
                        json.path(SENDER).asText(),
                        json.path(TERM).asLong(),
                        decodeStrings(json.path(LEARNERS)));
            case KIND_LEAVE ->
                new RaftRequest.Leave(
                        decodeRecipient(json), json.path(MEMBER_ID).asText());
            case KIND_JOIN -> new RaftRequest.Join(json.path(MEMBER_ID).asText());
            default -> throw new IllegalArgumentException("not a request of the consensus group: " + kind);
        };
    }

    private static RaftRequest.Vote decodeVote(JsonNode json) {
        return new RaftRequest.Vote(
                decodeRecipient(json),
                json.path(SENDER).asText(),
                json.path(TERM).asLong(),
                json.path(IS_PRE_VOTE).asBoolean(),
                json.path(IS_LEADERSHIP_TRANSFER).asBoolean(),
                json.path(LAST_INDEX).asLong(),
                json.path(LAST_TERM).asLong());
    }

    private static LeaderHeader decodeHeader(JsonNode json) {
        return new LeaderHeader(
                new RaftRequest.Identity(
                        decodeRecipient(json),
                        json.path(SENDER).asText(),
                        json.path(TERM).asLong()),
                json.path(CONTROL_ADDRESS).asText(),
                json.path(SEQUENCE).asLong(),
                json.path(ANSWERED_SEQUENCE).asLong(),
                json.path(GRANTS_LEASE).asBoolean(),
                decodeOptional(json, DIGEST_INDEX),
                json.path(IS_STATE_DIVERGED).asBoolean());
    }

    private static LogSegment decodeSegment(JsonNode json) {
        long previousIndex = json.path(PREVIOUS_INDEX).asLong();
        long index = previousIndex;
        List<DurableStore.LogEntry> entries = new ArrayList<>();
        for (JsonNode entry : json.path(ENTRIES)) {
            entries.add(new DurableStore.LogEntry(
                    ++index, entry.path(TERM).asLong(), entry.path(DATA).asText()));
        }
        return new LogSegment(
                previousIndex,
                json.path(PREVIOUS_TERM).asLong(),
                json.path(COMMIT_INDEX).asLong(),
                entries);
    }

    private static RaftRequest decodeChunkRequest(JsonNode json) {
        LeaderHeader header = decodeHeader(json);
        long index = json.path(INDEX).asLong();
        Chunk chunk = new Chunk(
                json.path(TRANSFER_ID).asText(),
                json.path(TOTAL_CHARS).asInt(),
                json.path(OFFSET).asInt(),
                json.path(DATA).asText());
        if (!json.has(ENTRY_TERM)) {
            return new RaftRequest.SnapshotChunk(
                    header, chunk, index, json.path(LAST_TERM).asLong(), decodeStrings(json.path(VOTERS)));
        }
        return new RaftRequest.EntryChunk(
                header,
                chunk,
                index,
                json.path(ENTRY_TERM).asLong(),
                json.path(PREVIOUS_INDEX).asLong(),
                json.path(PREVIOUS_TERM).asLong(),
                json.path(COMMIT_INDEX).asLong());
    }

    private static List<String> decodeStrings(JsonNode array) {
        List<String> values = new ArrayList<>();
        array.forEach(value -> values.add(value.asText()));
        return values;
    }

    private static OptionalLong decodeOptional(JsonNode json, String name) {
        return json.has(name) ? OptionalLong.of(json.path(name).asLong()) : OptionalLong.empty();
    }

    // ---- responses

    static ObjectNode encode(RaftResponse response) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put(TERM, response.term())
                .put(IS_ACCEPTED, response.isAccepted())
                .put(IS_SYNCED, response.isSynced());
        RaftResponse.Progress progress = response.progress();
        if (progress instanceof RaftResponse.LogMismatch mismatch) {
            json.put(LAST_INDEX_HINT, mismatch.lastIndexHint());
        } else if (progress instanceof RaftResponse.PartiallyDurable partial) {
            json.put(DURABLE_INDEX, partial.durableIndex());
        } else if (progress instanceof RaftResponse.ChunkReceived received) {
            json.put(RECEIVED_CHARS, received.receivedChars());
        }
        response.stateDigest().ifPresent(digest -> json.put(STATE_DIGEST, digest));
        response.snapshotNeededFrom().ifPresent(index -> json.put(SNAPSHOT_NEEDED_FROM, index));
        return json;
    }

    static RaftResponse decodeResponse(JsonNode json) {
        return new RaftResponse(
                json.path(TERM).asLong(),
                json.path(IS_ACCEPTED).asBoolean(),
                json.path(IS_SYNCED).asBoolean(),
                decodeProgress(json),
                json.has(STATE_DIGEST) ? Optional.of(json.path(STATE_DIGEST).asText()) : Optional.empty(),
                decodeOptional(json, SNAPSHOT_NEEDED_FROM));
    }

    private static RaftResponse.Progress decodeProgress(JsonNode json) {
        if (json.has(RECEIVED_CHARS)) {
            return new RaftResponse.ChunkReceived(json.path(RECEIVED_CHARS).asInt());
        } else if (json.has(DURABLE_INDEX)) {
            return new RaftResponse.PartiallyDurable(json.path(DURABLE_INDEX).asLong());
        } else if (json.has(LAST_INDEX_HINT)) {
            return new RaftResponse.LogMismatch(json.path(LAST_INDEX_HINT).asLong());
        }
        return RaftResponse.Complete.INSTANCE;
    }
}
