package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.tenancy.TenantsOfOneShard;
import bramblespool.state.EventLog;
import bramblespool.testing.SimulatedMesh;
import bramblespool.transport.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Framing and headers on real sockets: one controller, one sidecar and a server that misbehaves where the path says
 * so.
 */
class HttpFramingTest {
    @TempDir
    static Path dir;

    private static final MisbehavingServer SERVER = new MisbehavingServer();
    private static LoopbackMesh mesh;
    /** Loopback addresses of this process alone: ports that are free stay so until they are listened at. */
    private static final String LOOPBACK_PREFIX =
            "127." + (1 + ProcessHandle.current().pid() / 250 % 250) + "."
                    + ProcessHandle.current().pid() % 250;

    /** Whatever takes so long hangs; nothing is expected to come near it. */
    private static final int HANG_TIMEOUT_MS = 120_000;

    /**
     * A loop whose clock goes slowly once all is up: what a busy machine takes is nothing to its leases, deadlines
     * and buckets.
     */
    private static final class SlowLoop extends EventLoop {
        private static final int FACTOR = 20;
        private long slowSinceMs = -1;

        SlowLoop() throws IOException {
            super(EventLog.silent());
        }

        void startSlowing() {
            post(() -> slowSinceMs = super.nowMs());
        }

        @Override
        public long nowMs() {
            return slowSinceMs < 0 ? super.nowMs() : slowSinceMs + (super.nowMs() - slowSinceMs) / FACTOR;
        }

        @Override
        public Timer schedule(long ms, Runnable task) {
            return super.schedule(slowSinceMs < 0 ? ms : ms * FACTOR, task);
        }
    }

    @BeforeAll
    static void start() throws Exception {
        mesh = new LoopbackMesh(LOOPBACK_PREFIX + ".3", LOOPBACK_PREFIX + ".4");
        SERVER.start(mesh.sidecarIp, mesh.serverPort);
        SlowLoop loop = new SlowLoop();
        mesh.start(loop, dir, "beat = \"1000s\"\n");
        // The first route is open to all; the others want a key, and one of them an operation key as well.
        String configuration = SimulatedMesh.document(3, 0, "a")
                .replace("\"idempotent\"", "\"mutating\"")
                .replace("\"target\"]", "\"target\",\"public\"]")
                .replace(
                        "\"desk\"]]",
                        "\"desk\",true],[\"s\",\"x.example\",\"/s/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\",false],"
                                + "[\"k\",\"x.example\",\"/k/\",\"keyed\",\"1500ms\",\"600ms\",1,null,2,\"desk\",false]]")
                .replace(
                        "\"limits\"",
                        "\"principals\":{\"columns\":[\"name\",\"apiKeys\",\"rank\",\"ratePerS\",\"burst\"],"
                                + "\"rows\":[[\"many\",[\"key-1\",\"key-2\"],0,null,null],[\"few\",[\"key-3\"],null,0.01,2],[\"warm\",[\"key-4\"],null,1000,1000],"
                                + "[\"" + TenantsOfOneShard.sharingShardWith("few")
                                + "\",[\"key-5\"],null,0.01,1]]},\"limits\"");
        awaitResponse(
                () -> exchange(
                        mesh.controllerIp,
                        mesh.controlPort,
                        postRequest("/bramblespool/config/replace", configuration)),
                "HTTP/1.1 200");
        String heartbeat = "{\"target\":\"desk\",\"address\":\"" + mesh.sidecarIp + ":" + mesh.serverPort
                + "\",\"zone\":\"z\",\"capacity\":4,\"state\":\"ready\",\"warmupLeft\":\"0ms\",\"callSeq\":1}";
        awaitResponse(
                () -> exchange(
                        mesh.sidecarIp,
                        mesh.controlPort,
                        postRequest("/bramblespool/servers/i-1/heartbeat", heartbeat)),
                "HTTP/1.1 200");
        awaitResponse(
                () -> exchange(
                        mesh.sidecarIp, mesh.readyPort, "GET /bramblespool/readiness HTTP/1.1\r\nHost: h\r\n\r\n"),
                "HTTP/1.1 200");
        loop.startSlowing();
        // A controller that has just started grants no leases yet.
        awaitResponse(() -> sendGet("/s/warm", "Authorization: Token key-4\r\n"), "HTTP/1.1 200");
        // Without an owner of a shard a voter grants what the rule leaves besides. That a limit is reached only an
        // owner says.
        awaitResponse(() -> sendGet("/s/near", "Authorization: Token key-5\r\n"), "HTTP/1.1 429");
    }

    private interface Attempt {
        String attempt() throws IOException;
    }

    private static void awaitResponse(Attempt attempt, String expectedPrefix) throws IOException {
        long deadlineNs = System.nanoTime() + HANG_TIMEOUT_MS * 1_000_000L;
        String response = "";
        while (!response.startsWith(expectedPrefix) && System.nanoTime() < deadlineNs) {
            response = attempt.attempt();
        }
        assertTrue(response.startsWith(expectedPrefix), response);
    }

    private static String postRequest(String path, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** What comes back until it is one whole answer, or the connection ends. */
    private static String exchange(String ip, int port, String request) throws IOException {
        try (Socket socket = new Socket(ip, port)) {
            socket.setSoTimeout(HANG_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            byte[] buffer = new byte[4096];
            try {
                int count;
                while ((count = socket.getInputStream().read(buffer)) > 0) {
                    response.write(buffer, 0, count);
                    if (response.size() < 1000
                            && request.split(" HTTP/1.1\r\n").length == 2
                            && isComplete(response.toString(StandardCharsets.ISO_8859_1))) {
                        break;
                    }
                }
            } catch (SocketTimeoutException e) {
                response.write("(open)".getBytes(StandardCharsets.ISO_8859_1));
            }
            return response.toString(StandardCharsets.ISO_8859_1);
        }
    }

    private static boolean isComplete(String answer) {
        int headEnd = answer.indexOf("\r\n\r\n");
        if (headEnd < 0 || !answer.contains("Content-Length: ")) {
            return false;
        }
        return answer.length() - headEnd - 4
                >= Integer.parseInt(answer.split("Content-Length: ")[1].split("\r\n")[0].strip());
    }

    private static String sendGet(String path, String moreHeaders) throws IOException {
        return exchange(
                mesh.sidecarIp,
                mesh.outboundPort,
                "GET " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: t" + path.hashCode()
                        + "\r\nX-Deadline-Ms: 1500\r\n" + moreHeaders + "\r\n");
    }

    @ParameterizedTest
    @CsvSource({
        "/a/ok,200",
        "/a/extra,200",
        "/b/ok,404",
        "/a/short,502",
        "/a/garbage,502",
        "/a/other,502",
        "/a/endless,502",
        "/a/shed,503",
        "/a/surplus,502",
        "/a/misled,502",
        "/a/nameless,502"
    })
    void everyServerResponseIsForwardedOrRejected(String path, int status) throws IOException {
        String response = sendGet(path, "");
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        assertFalse(response.contains("half") || response.contains("extra") || response.contains("nonsense"), response);
        if (status == 200) {
            assertTrue(response.endsWith("good") && response.contains("X-Server-Seal: s"), response);
        }
        if (status == 503) {
            assertTrue(response.contains("Retry-After: "), response);
        }
        assertTrue(sendGet("/a/after", "").endsWith("good"), "the next request is answered as its own");
    }

    /** The server answers once more than it was asked, in the spot where the next answer is due. */
    @Test
    void surplusLateResponseReachesNobody() throws IOException {
        String next = "";
        // Which idle connection a request takes is the sidecar's choice; sooner or later it is the one that stuttered.
        for (int i = 0; i < 50 && !next.startsWith("HTTP/1.1 502 "); i++) {
            assertTrue(sendGet("/a/stutter", "").endsWith("good"));
            next = sendGet("/a/victim", "");
            assertFalse(next.contains("late"), next);
        }
        assertTrue(next.startsWith("HTTP/1.1 502 "), "it may have run, and its own answer is lost: " + next);
        assertTrue(sendGet("/a/after", "").endsWith("good"), "nothing more is sent on that connection");
    }

    @Test
    void truncatedLongResponseNeverLooksComplete() throws IOException {
        String response = sendGet("/a/long", "");
        int bodyLength = response.length() - response.indexOf("\r\n\r\n") - 4;
        assertTrue(
                response.contains("Content-Length: 300000") && bodyLength < 300000 && !response.endsWith("(open)"),
                response.length() + " bytes, then the connection must end");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Content-Length: 3\\r\\nContent-Length: 4|400",
                "Transfer-Encoding: gzip|400",
                "Content-Length: 4\\r\\nTransfer-Encoding: chunked|400",
                "X-Attempt-Id: again|400"
            })
    void ambiguousFramingIsRejectedAndConnectionClosed(String header, int status) throws IOException {
        int requestsBefore = SERVER.requests().size();
        String response = sendGet("/a/doubt", header.replace("\\r\\n", "\r\n") + "\r\n");
        assertTrue(response.startsWith("HTTP/1.1 " + status + " ") && response.contains("close"), response);
        assertEquals(requestsBefore, SERVER.requests().size(), "nothing is passed on");
    }

    @Test
    void headersReservedToTheMeshAreStripped() throws IOException {
        String response = sendGet(
                "/a/forged%2F?q=%20",
                "X-Caller-Service: boss\r\nX-Target-Instance: i-9\r\nX-Spool-Mark: t9\r\nX-Kept: yes\r\n");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        String forwarded = SERVER.requests().stream()
                .filter(s -> s.contains("/a/forged"))
                .reduce((a, b) -> b)
                .orElseThrow();
        assertTrue(forwarded.startsWith("GET /a/forged%2F?q=%20 HTTP/1.1\r\n"), forwarded);
        assertTrue(
                forwarded.contains("X-Caller-Service: desk\r\n")
                        && forwarded.contains("X-Target-Instance: i-1\r\n")
                        && forwarded.contains("X-Kept: yes\r\n"),
                forwarded);
        assertFalse(
                forwarded.contains("boss") || forwarded.contains("i-9") || forwarded.contains("X-Spool"), forwarded);
    }

    @Test
    void bodiesArriveCompleteByLengthAndChunked() throws IOException {
        String head = "POST /a/body HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: b1\r\nX-Deadline-Ms: 1500\r\n";
        assertTrue(exchange(mesh.sidecarIp, mesh.outboundPort, head + "Content-Length: 5\r\n\r\nfirst")
                .startsWith("HTTP/1.1 200"));
        assertTrue(exchange(
                        mesh.sidecarIp,
                        mesh.outboundPort,
                        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nsec\r\n3\r\nond\r\n0\r\n\r\n")
                .startsWith("HTTP/1.1 200"));
        assertTrue(SERVER.requests().stream().anyMatch(s -> s.endsWith("\r\n\r\nfirst")));
        assertTrue(SERVER.requests().stream().anyMatch(s -> s.endsWith("\r\n\r\nsecond")));
    }

    @Test
    void pipelinedRequestsGetTheirResponsesInOrder() throws IOException {
        String requestTemplate =
                "GET /a/p HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\n\r\n";
        String response = exchange(
                mesh.sidecarIp,
                mesh.outboundPort,
                requestTemplate.formatted("p1")
                        + requestTemplate.formatted("p2").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        int first = response.indexOf("X-Attempt-Id: p1");
        int second = response.indexOf("X-Attempt-Id: p2");
        assertTrue(
                first > 0 && second > first && response.indexOf("good") < second && response.endsWith("good"),
                response);
    }

    /** Calls from other daemons: the mark is followed, and an address that was another service's runs nothing of it. */
    @ParameterizedTest
    @CsvSource({
        "0,desk,/a/ok,200,a",
        "0,shop,/a/ok,503,n",
        "0,,/a/ok,200,a",
        "0,desk,/b/ok,503,n",
        "t3,desk,/a/ok,200,a",
        "t99,desk,/a/ok,503,n",
        "1,desk,/a/ok,503,n",
        ",desk,/a/ok,503,n"
    })
    void callRunsUnderItsMarkAndServiceOrNotAtAll(String mark, String service, String path, int status, String verdict)
            throws IOException {
        int requestsBefore = SERVER.requests().size();
        String response = exchange(
                mesh.sidecarIp,
                mesh.inboundPort,
                "GET " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: c1\r\n"
                        + "X-Deadline-Ms: 1500\r\nX-Spool-From: peer\r\n"
                        + (mark == null ? "" : "X-Spool-Mark: " + mark + "\r\n")
                        + (service == null ? "" : "X-Spool-Service: " + service + "\r\n") + "\r\n");
        assertTrue(
                response.startsWith("HTTP/1.1 " + status + " ")
                        && response.contains("X-Spool-Verdict: " + verdict + "\r\n"),
                response);
        assertEquals(status == 200 ? 1 : 0, SERVER.requests().size() - requestsBefore, "what reached the server");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/s/ok||401|",
                "/s/ok|Authorization: Token none\\r\\n|401|",
                "/s/ok|Authorization: key-1\\r\\n|401|",
                "/s/ok|Authorization: Token key-1\\r\\nAuthorization: Token key-2\\r\\n|401|",
                "/s/ok|Authorization: Token key-2\\r\\nX-Tenant: boss\\r\\nConnection: X-Tenant\\r\\n|200|many",
                "/a/ok|X-Tenant: boss\\r\\n|200|",
                "/a/ok|Authorization: token key-1\\r\\n|200|many",
                "/a/ok|Authorization: Token none\\r\\n|401|"
            })
    void tenantIsDeterminedByApiKeyOnly(String path, String headers, int status, String tenant) throws IOException {
        int requestsBefore = SERVER.requests().size();
        String response = sendGet(path, headers == null ? "" : headers.replace("\\r\\n", "\r\n"));
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        assertEquals(status == 200 ? 1 : 0, SERVER.requests().size() - requestsBefore);
        if (status == 200) {
            String forwarded = SERVER.requests().get(requestsBefore);
            assertFalse(forwarded.contains("key-") || forwarded.contains("boss"), forwarded);
            assertEquals(tenant != null, forwarded.contains("X-Tenant: " + tenant + "\r\n"), forwarded);
        }
    }

    private static String sendKeyed(String path, String attemptId, String keyHeaders, String body) throws IOException {
        return exchange(
                mesh.sidecarIp,
                mesh.outboundPort,
                "POST " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: " + attemptId
                        + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\n" + keyHeaders + "Content-Length: "
                        + body.length() + "\r\n\r\n" + body);
    }

    @Test
    void repeatedOperationGetsFirstResponseWithoutExecution() throws IOException {
        int requestsBefore = SERVER.requests().size();
        String key = "X-Operation-Key: op-1\r\n";
        String first = sendKeyed("/k/ok", "t1", key, "body");
        String second = sendKeyed("/k/ok", "t2", key, "body");
        assertTrue(
                first.startsWith("HTTP/1.1 200") && first.contains("X-Attempt-Id: t1\r\n") && first.endsWith("good"),
                first);
        assertTrue(
                second.startsWith("HTTP/1.1 200")
                        && second.contains("X-Attempt-Id: t2\r\n")
                        && second.contains("X-Server-Seal: s\r\n")
                        && second.endsWith("good"),
                second);
        assertEquals(1, SERVER.requests().size() - requestsBefore, "it ran once");
        String other = sendKeyed("/k/ok", "t3", key, "another body");
        assertTrue(other.startsWith("HTTP/1.1 422 "), other);
        assertEquals(1, SERVER.requests().size() - requestsBefore, "a key used for another request runs nothing");
    }

    /** Guards against 409 for keys that are not in progress, as where a server loses its answer (DENIED). */
    @ParameterizedTest
    @CsvSource({"short,502,502,1", "shed,503,503,2", "other,502,502,1"})
    void possiblyExecutedOperationStaysBlockedAndUnexecutedMayBeRetried(
            String behaviour, int firstStatus, int secondStatus, int executions) throws IOException {
        int requestsBefore = SERVER.requests().size();
        String key = "X-Operation-Key: op-" + behaviour + "\r\n";
        String firstResponse = sendKeyed("/k/" + behaviour, "u1", key, "");
        String secondResponse = sendKeyed("/k/" + behaviour, "u2", key, "");
        assertTrue(firstResponse.startsWith("HTTP/1.1 " + firstStatus + " "), firstResponse);
        assertTrue(secondResponse.startsWith("HTTP/1.1 " + secondStatus + " "), secondResponse);
        assertEquals(executions, SERVER.requests().size() - requestsBefore);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "X-Operation-Key: a\r\nX-Operation-Key: b\r\n", "X-Operation-Key: a b\r\n"})
    void requestWithoutValidIdempotencyKeyIsRejected(String keyHeaders) throws IOException {
        int requestsBefore = SERVER.requests().size();
        String response = sendKeyed("/k/ok", "v1", keyHeaders, "");
        assertTrue(response.startsWith("HTTP/1.1 400 "), response);
        assertEquals(requestsBefore, SERVER.requests().size());
    }

    @Test
    void tenantOverLimitIsAnswered429() throws IOException {
        int requestsBefore = SERVER.requests().size();
        String lastResponse = "";
        for (int i = 0; i < 8; i++) {
            lastResponse = sendGet("/s/few", "Authorization: Token key-3\r\n");
        }
        assertTrue(lastResponse.startsWith("HTTP/1.1 429 ") && lastResponse.contains("Retry-After: "), lastResponse);
        assertEquals(6, SERVER.requests().size() - requestsBefore, "a burst of two, and a fifth of a margin of twenty");
        assertTrue(
                sendGet("/s/many", "Authorization: Token key-1\r\n").startsWith("HTTP/1.1 200"),
                "another tenant has its own");
    }
}
