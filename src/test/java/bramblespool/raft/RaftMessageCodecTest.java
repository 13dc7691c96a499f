package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.raft.RaftRequest.Chunk;
import bramblespool.raft.RaftRequest.LeaderHeader;
import bramblespool.raft.RaftRequest.LogSegment;
import bramblespool.state.DurableStore.LogEntry;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The wire form is that of version 0.4.0, name by name and in this order. */
class RaftMessageCodecTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final LeaderHeader HEADER = header(OptionalLong.empty(), false);
    private static final String HEADER_JSON =
            "'to':'b:1#0','from':'a:1#0','term':3,'control':'a:2','n':9,'answered':8,'right':true";
    private static final Chunk CHUNK = new Chunk("7.3", 40, 16, "data");

    private static LeaderHeader header(OptionalLong digestIndex, boolean isStateDiverged) {
        return new LeaderHeader(
                new RaftRequest.Identity("b:1#0", "a:1#0", 3), "a:2", 9, 8, true, digestIndex, isStateDiverged);
    }

    private record Written(String kind, RaftRequest request, String json) {}

    private static Stream<Written> requests() {
        return Stream.of(
                new Written(
                        "vote",
                        new RaftRequest.Vote("b:1#0", "a:1#0", 4, true, false, 7, 3),
                        "{'to':'b:1#0','from':'a:1#0','term':4,'pre':true,'handed':false,'lastIndex':7,'lastTerm':3}"),
                new Written("heartbeat", new RaftRequest.Heartbeat(HEADER), "{" + HEADER_JSON + "}"),
                new Written(
                        "heartbeat",
                        new RaftRequest.Heartbeat(header(OptionalLong.of(32), true)),
                        "{" + HEADER_JSON + ",'check':32,'differs':true}"),
                new Written(
                        "append",
                        new RaftRequest.Append(
                                HEADER,
                                new LogSegment(5, 2, 4, List.of(new LogEntry(6, 2, "x"), new LogEntry(7, 3, "y")))),
                        "{" + HEADER_JSON + ",'prevIndex':5,'prevTerm':2,'commit':4,"
                                + "'entries':[{'term':2,'data':'x'},{'term':3,'data':'y'}]}"),
                new Written(
                        "part",
                        new RaftRequest.SnapshotChunk(HEADER, CHUNK, 7, 3, List.of("a:1#0", "+b:1#0")),
                        "{" + HEADER_JSON + ",'id':'7.3','index':7,'size':40,'offset':16,'data':'data',"
                                + "'lastTerm':3,'voters':['a:1#0','+b:1#0']}"),
                new Written(
                        "part",
                        new RaftRequest.EntryChunk(HEADER, CHUNK, 7, 3, 6, -1, 5),
                        "{" + HEADER_JSON + ",'id':'7.3','index':7,'size':40,'offset':16,'data':'data',"
                                + "'prevIndex':6,'prevTerm':-1,'entryTerm':3,'commit':5}"),
                new Written(
                        "lead",
                        new RaftRequest.TransferLeadership("b:1#0", "a:1#0", 3, List.of("c:1#i")),
                        "{'to':'b:1#0','from':'a:1#0','term':3,'learners':['c:1#i']}"),
                new Written(
                        "leave", new RaftRequest.Leave("b:1#0", "a:1#0"), "{'to':'b:1#0','from':'a:1#0','id':'a:1#0'}"),
                new Written("join", new RaftRequest.Join("a:1#i"), "{'id':'a:1#i'}"));
    }

    @ParameterizedTest
    @MethodSource("requests")
    void requestIsWrittenAsBeforeAndReadBack(Written written) throws Exception {
        String json = written.json.replace('\'', '"');
        assertEquals(json, RaftMessageCodec.encode(written.request).toString());
        assertEquals(written.kind, RaftMessageCodec.kindOf(written.request));
        assertEquals(written.request, RaftMessageCodec.decodeRequest(written.kind, JSON.readTree(json)));
        assertTrue(RaftMessageCodec.isRaftKind(written.kind));
    }

    private static RaftResponse response(RaftResponse.Progress progress) {
        return RaftResponse.of(3, true, false).withProgress(progress);
    }

    private record WrittenResponse(RaftResponse response, String json) {}

    private static Stream<WrittenResponse> responses() {
        return Stream.of(
                new WrittenResponse(RaftResponse.of(3, true, false), "{'term':3,'ok':true,'settled':false}"),
                new WrittenResponse(
                        RaftResponse.of(3, false, true).withProgress(new RaftResponse.LogMismatch(6)),
                        "{'term':3,'ok':false,'settled':true,'hint':6}"),
                new WrittenResponse(
                        response(new RaftResponse.PartiallyDurable(0)),
                        "{'term':3,'ok':true,'settled':false,'stored':0}"),
                new WrittenResponse(
                        response(new RaftResponse.ChunkReceived(16)), "{'term':3,'ok':true,'settled':false,'have':16}"),
                new WrittenResponse(
                        RaftResponse.of(3, true, false).withStateReport(Optional.of("ab"), OptionalLong.of(0)),
                        "{'term':3,'ok':true,'settled':false,'state':'ab','renew':0}"));
    }

    @ParameterizedTest
    @MethodSource("responses")
    void responseIsWrittenAsBeforeAndReadBack(WrittenResponse written) throws Exception {
        String json = written.json.replace('\'', '"');
        assertEquals(json, RaftMessageCodec.encode(written.response).toString());
        assertEquals(written.response, RaftMessageCodec.decodeResponse(JSON.readTree(json)));
    }

    @Test
    void otherKindsAreNotTheGroups() {
        assertFalse(RaftMessageCodec.isRaftKind("digest"));
        assertThrows(
                IllegalArgumentException.class,
                () -> RaftMessageCodec.decodeRequest("digest", JSON.createObjectNode()));
    }
}
