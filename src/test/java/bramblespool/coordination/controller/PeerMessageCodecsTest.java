package bramblespool.coordination.controller;

import static bramblespool.coordination.controller.ControllerTestContext.json;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import bramblespool.coordination.tenancy.AdmissionCodec;
import bramblespool.coordination.tenancy.AdmissionRequest;
import bramblespool.coordination.tenancy.AdmissionResponse;
import bramblespool.coordination.tenancy.AdmissionResponse.ShardOwner;
import bramblespool.coordination.tenancy.BucketGrant;
import bramblespool.coordination.tenancy.BucketMap;
import bramblespool.coordination.tenancy.BucketQuery;
import bramblespool.coordination.tenancy.IdempotencyClaim;
import bramblespool.coordination.tenancy.TokenRequest;
import bramblespool.raft.MemberProgress;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The JSON of 0.4.0, field by field. */
class PeerMessageCodecsTest {
    private final SessionCodec sessionCodec = SessionCodec.INSTANCE;
    private final AdmissionCodec admissionCodec = AdmissionCodec.INSTANCE;
    private final RetryLeaseCodec retryLeaseCodec = RetryLeaseCodec.INSTANCE;

    @Test
    void sessionRequest() {
        String text = "{'node':'weft-5','peer':'10.0.1.5:7000','life':1,'n':2,'hash':'b9ec','end':false";
        JsonNode usage = json("{'life':'x','through':3}");

        assertEquals(
                new SessionRequest("weft-5", "10.0.1.5:7000", 1, 2, "b9ec", false, null),
                sessionCodec.decodeRequest(json(text + "}")));
        assertEquals(
                usage,
                sessionCodec
                        .decodeRequest(json(text + ",'usage':" + usage + "}"))
                        .usage());
    }

    @Test
    void sessionResponse() {
        ObjectNode usage = (ObjectNode) json("{'change':1,'time':1001004502}");
        SessionResponse.Opened inTouch = new SessionResponse.Opened(true, 4, false);

        assertEncoded(
                "{'change':1,'time':1001004502,'term':4,'ok':true,'touch':true,'same':false}",
                sessionCodec.encodeResponse(new SessionResponse(inTouch, usage)));
        assertEncoded(
                "{'ok':true,'touch':false,'same':true}",
                sessionCodec.encodeResponse(new SessionResponse(new SessionResponse.Opened(false, 4, true), null)));
        assertEncoded(
                "{'ok':true,'same':true}",
                sessionCodec.encodeResponse(new SessionResponse(new SessionResponse.Closed(), null)));
        assertEncoded(
                "{'ok':false,'life':1,'n':4}",
                sessionCodec.encodeResponse(new SessionResponse(new SessionResponse.Superseded(1, 4), null)));
    }

    @Test
    void admissionRequest() {
        TokenRequest token = new TokenRequest("tenants/1", "t", 1, 0.2, 5);
        JsonNode tokenBody = json("{'slice':'tenants/1','tenant':'t','epoch':1,'rate':0.2,'burst':5.0}");

        assertEquals(
                new AdmissionRequest(token, null, 187),
                admissionCodec.decodeRequest(((ObjectNode) tokenBody.deepCopy()).put("within", 187)));
        assertEquals(
                new AdmissionRequest(null, new IdempotencyClaim("5/x", "claim", null), 187),
                admissionCodec.decodeRequest(
                        json("{'slice':'tenants/5','register':'5/x','claim':'claim','instead':null,'within':187}")));
        assertEquals(
                new IdempotencyClaim("5/x", "claim", "old"),
                admissionCodec
                        .decodeRequest(json("{'register':'5/x','claim':'claim','instead':'old'}"))
                        .claim());
        assertEquals(token, AdmissionCodec.TOKEN_CODEC.decodeRequest(tokenBody));
        assertEncoded(tokenBody.toString(), admissionCodec.encodeTokenRequest(token));
    }

    @Test
    void tokenResponseOfAnOwnerIsTheSameOnceReadAndWrittenAgain() {
        for (String text : List.of(
                "{'verdict':'none'}",
                "{'owner':'10.0.0.1:7000','fence':1001001186,'verdict':'go'}",
                "{'owner':'10.0.0.1:7000','fence':1001001186,'verdict':'over','wait':71}")) {
            assertEncoded(text, admissionCodec.encodeResponse(admissionCodec.decodeResponse(json(text))));
        }
        assertEquals(
                AdmissionResponse.UNDECIDED, admissionCodec.decodeResponse(json("{'verdict':'of a later version'}")));
    }

    @Test
    void admissionResponse() {
        ShardOwner owner = new ShardOwner("10.0.0.2:7000", 1183);
        AdmissionResponse granted = new AdmissionResponse(new AdmissionResponse.Admitted(), owner);

        assertEncoded("{'verdict':'go'}", admissionCodec.encodeResponse(AdmissionResponse.ADMITTED));
        assertEncoded(
                "{'owner':'10.0.0.2:7000','fence':1183,'verdict':'held','stands':'other'}",
                admissionCodec.encodeResponse(granted.withVerdict(new AdmissionResponse.Claimed("other"))));
        assertEncoded(
                "{'owner':'10.0.0.2:7000','fence':1183,'verdict':'none'}",
                admissionCodec.encodeResponse(granted.withVerdict(new AdmissionResponse.Undecided())));
    }

    @Test
    void lentBucketsInRequestsAndResponses() {
        TokenRequest request = new TokenRequest("tenants/1", "t", 1, 0.2, 5, new BucketQuery("a:1 run", "b:1", 77));
        assertEquals(request, AdmissionCodec.TOKEN_CODEC.decodeRequest(admissionCodec.encodeTokenRequest(request)));
        assertEncoded(
                "{'slice':'tenants/1','tenant':'t','epoch':1,'rate':0.2,'burst':5.0,'query':{'known':0}}",
                admissionCodec.encodeTokenRequest(
                        new TokenRequest("tenants/1", "t", 1, 0.2, 5, new BucketQuery(null, null, 0))));
        AdmissionResponse response = new AdmissionResponse(
                        new AdmissionResponse.Unavailable(250), new ShardOwner("10.0.0.2:7000", 1183))
                .withBucketGrant(new BucketGrant(3000, true, false, Map.of("t", 2.5)))
                .withBucketMap(new BucketMap(78, Map.of("tenants/1/0", "c:1")));
        assertEncoded(
                "{'owner':'10.0.0.2:7000','fence':1183,'verdict':'later','wait':250,"
                        + "'grant':{'ms':3000,'kept':true,'full':false,'tokens':[{'tenant':'t','left':2.5}]},"
                        + "'buckets':{'version':78,'at':[{'group':'tenants/1/0','peer':'c:1'}]}}",
                admissionCodec.encodeResponse(response));
        assertEquals(response, admissionCodec.decodeResponse(admissionCodec.encodeResponse(response)));
    }

    @Test
    void retryLease() {
        assertEquals(new RetryLeaseRequest("desk", false), retryLeaseCodec.decodeRequest(json("{'service':'desk'}")));
        ObjectNode forwarded = retryLeaseCodec.encodeForwardedRequest("desk");
        assertEncoded("{'service':'desk','passed':true}", forwarded);
        assertEquals(new RetryLeaseRequest("desk", true), retryLeaseCodec.decodeRequest(forwarded));
        RetryLeaseResponse response = new RetryLeaseResponse(2500, 2);
        assertEncoded("{'life':2500,'tries':2}", retryLeaseCodec.encodeResponse(response));
        assertEquals(response, retryLeaseCodec.decodeResponse(json("{'life':2500,'tries':2}")));
    }

    @Test
    void document() {
        assertEquals(
                new DocumentRequest(5, "29e2"),
                DocumentCodec.INSTANCE.decodeRequest(json("{'epoch':5,'stamp':'29e2'}")));
        assertEncoded("{'doc':'eAF9'}", DocumentCodec.INSTANCE.encodeResponse("eAF9"));
    }

    @Test
    void gossipOfSessionsAndProxies() {
        SessionRecord session = new SessionRecord("10.0.0.1:7000", "10.0.1.1:7000", true);
        ObjectNode body = GossipPayloadCodec.encodeSession(session);
        assertEncoded("{'helm':'10.0.0.1:7000','weft':'10.0.1.1:7000','open':true}", body);
        assertEquals(session, GossipPayloadCodec.decodeSession(body));
        assertEquals(
                new ProxyRecord("10.0.2.1:7000", "a", false, Set.of("s1", "s2", "s3")),
                GossipPayloadCodec.decodeProxy(json("{'peer':'10.0.2.1:7000','inbound':'10.0.2.1:8001','zone':'a',"
                        + "'gone':false,'doors':[{'servers':'s1 s2'},{'servers':'s3'}]}")));
    }

    @Test
    void gossipOfAController() {
        assertEncoded(
                "{'peer':'10.0.0.1:7000','control':'10.0.0.1:8000','zone':'a','gone':false,'voter':true,'lends':true}",
                GossipPayloadCodec.encodeController(ControllerTestContext.settings(), false, true));
        assertEncoded("{'on':true}", GossipPayloadCodec.encodeEvacuation(true));
    }

    @Test
    void status() {
        ControllerStatus status = new ControllerStatus(
                new ControllerStatus.Identity("helm-1", "a", "m#0"),
                new ControllerStatus.Consensus(
                        3,
                        null,
                        false,
                        12,
                        List.of("m#0"),
                        List.of(new MemberProgress("n#1", 1, 2, new MemberProgress.Transfer(3, 4), 5, 6, true))),
                new ControllerStatus.Agreed(5, "MARKED", Set.of("weft-1"), Map.of("a", true), Map.of("list/a", "m")),
                new ControllerStatus.Load(8, true),
                new ControllerStatus.Tenancy(2, 9, 10, 11, true, Map.of("t", 13L)),
                null,
                Map.of("weft-1", new ControllerStatus.Proxy(json("{'zone':'a'}"), true)));
        String text = "{'role':'helm','node':'helm-1','zone':'a','self':'m#0','term':3,'leader':null,'leads':false,"
                + "'epoch':5,'phase':'MARKED','applied':12,'late':8,'strained':true,'voters':['m#0'],"
                + "'followers':[{'member':'n#1','match':1,'behind':2,'sent':3,'size':4,'snapshots':5,'silentMs':6,"
                + "'differs':true}],'unconfirmed':['weft-1'],'evacuations':{'a':true},'duties':{'list/a':'m'},"
                + "'slices':2,'slicesInAll':16,'registers':9,'rounds':10,'unsure':11,'settled':true,"
                + "'overLimit':{'t':13},'sides':{'weft-1':{'zone':'a','member':true}}}";

        assertEncoded(text, ControllerStatusCodec.encode(status));
        assertNull(ControllerStatusCodec.encode(status).get("usage"), "no reporter, no field");
    }

    @Test
    void recordedMessagesBetweenControllersAreTheSameOnceReadAndWrittenAgain() throws IOException {
        for (JsonNode exchange : recorded("token")) {
            JsonNode request = exchange.path("request");
            JsonNode answer = exchange.path("answer");
            assertEncoded(
                    request.toString(),
                    admissionCodec.encodeTokenRequest(AdmissionCodec.TOKEN_CODEC.decodeRequest(request)));
            assertEncoded(
                    answer.toString(),
                    AdmissionCodec.TOKEN_CODEC.encodeResponse(admissionCodec.decodeResponse(answer)));
        }
        for (JsonNode exchange : recorded("lease")) {
            JsonNode answer = exchange.path("answer");
            assertEncoded(answer.toString(), retryLeaseCodec.encodeResponse(retryLeaseCodec.decodeResponse(answer)));
        }
    }

    private static JsonNode recorded(String kind) throws IOException {
        try (InputStream file =
                PeerMessageCodecsTest.class.getResourceAsStream("/fixtures/0.4.0/messages/" + kind + ".json")) {
            JsonNode exchanges = new ObjectMapper().readTree(file);
            assertFalse(exchanges.isEmpty());
            return exchanges;
        }
    }

    /** Compares the texts: the order of the fields is kept as well. */
    private static void assertEncoded(String expected, ObjectNode body) {
        assertEquals(expected.replace('\'', '"'), body.toString());
    }
}
