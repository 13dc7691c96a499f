import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.LocalTime;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The operator, the clients and the application servers of a rolling replacement; started by rolling-replacement.sh.
 *
 * <p>Arguments: a folder shared with the script, the addresses of the controllers and those of the sidecars, each as a list
 * with commas. In the folder the file {@code replacing} names the daemon that is being replaced, {@code settled} appears
 * once the first configuration is in force everywhere, and {@code end} asks for the end. Prints a summary and exits with 1 where
 * something went wrong.
 */
public final class RollingTraffic {
    private static final int CONTROL = 17390;
    private static final int OUTBOUND = 17392;
    private static final int READY = 17393;
    private static final int APPLICATION = 17400;
    /** The bounds {@code ack} and {@code apply} of the settings files, in milliseconds. */
    private static final long ACK_MS = 5000;
    private static final long APPLY_MS = 2500;
    /** An operator waits so long for one answer, and a client for its own. */
    private static final long CALL_MS = 1000;
    private static final long DEADLINE_MS = 6000;
    private static final long START_MS = 60_000;
    private static final long LONGEST_RUN_MS = 300_000;
    private static final int FAILURES_SHOWN = 20;
    private static final String HOST = "rolling.example";
    private static final String ROUTES = """
            "routeTable":{"columns":["name","authority","pathPrefix","routeClass","deadline","goal","rank","shares","maxTries","target","public"],
             "rows":[%s]}""";
    private static final String FIXED_ROUTES = """
            ["idempotent","rolling.example","/a/","idempotent","6s","1s",1,null,2,"stage",true],
            ["mutating","rolling.example","/m/","mutating","6s","1s",1,null,2,"stage",true],
            ["keyed","rolling.example","/k/","keyed","6s","3s",1,null,2,"stage",false],""";
    /** The route whose prefix tells the version. */
    private static final String VERSION_ROUTE = """
            ["version","rolling.example","/v%d/","idempotent","6s","1s",1,null,2,"stage",true]""";
    private static final String REST = """
            ,"serviceTable":{"columns":["name","probePath","maxConns","protocol","tls","warmup","warmPerS"],
             "rows":[["stage","/health",100,"h1",false,"0ms",100.0]]},
            "principals":{"columns":["name","apiKeys","rank","ratePerS","burst"],"rows":[["tenant",["key"],0,1000,1000]]},
            "limits":{"headerBytes":16384,"bodyBytes":1048576,"headerRead":"3s","idle":"15s"}""";

    /** A status in place of one: no connection came about, so nothing was sent; or there was no whole answer. */
    private static final int UNSENT = -1;
    private static final int BROKEN_OFF = 0;

    /** What came back; {@code status} may also be {@link #UNSENT} or {@link #BROKEN_OFF}. */
    private record Answer(int status, String seal, String body, String location) {
    }

    /** A sidecar and its name in the file {@code replacing}. */
    private record Sidecar(String name, String ip) {
    }

    private final Path folder;
    private final List<String> controllers;
    private final List<Sidecar> sidecars = new ArrayList<>();
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(CALL_MS)).build();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8);
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> runsByKey = new ConcurrentHashMap<>();
    private final List<String> failures = new ArrayList<>();
    private final AtomicLong attempts = new AtomicLong();
    private final AtomicLong seals = new AtomicLong();
    private long slowestOrder;
    private long slowestApply;
    private long epoch;

    private RollingTraffic(String[] args) {
        folder = Path.of(args[0]);
        controllers = List.of(args[1].split(","));
        for (String ip : args[2].split(",")) {
            sidecars.add(new Sidecar("sidecar-" + (sidecars.size() + 1), ip));
        }
    }

    public static void main(String[] args) throws Exception {
        RollingTraffic t = new RollingTraffic(args);
        t.run();
        t.timer.shutdownNow();
        System.exit(t.summary() ? 0 : 1);
    }

    private void run() throws Exception {
        for (Sidecar s : sidecars) {
            serve(s);
        }
        if (!begin()) {
            return;
        }
        Files.createFile(folder.resolve("settled"));
        for (Sidecar s : sidecars) {
            timer.scheduleWithFixedDelay(() -> guarded(() -> plainRequests(s)), 0, 20, TimeUnit.MILLISECONDS);
            timer.scheduleWithFixedDelay(() -> guarded(() -> keyedRequests(s)), 0, 100, TimeUnit.MILLISECONDS);
        }
        long until = now() + LONGEST_RUN_MS;
        while (!Files.exists(folder.resolve("end"))) {
            order();
            if (now() > until) {
                fail("the run took longer than " + LONGEST_RUN_MS + " ms");
                return;
            }
            Thread.sleep(300);
        }
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            fail("a client broke down: " + e);
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void count(String what) {
        counts.computeIfAbsent(what, w -> new AtomicInteger()).incrementAndGet();
    }

    private synchronized void fail(String why) {
        failures.add(LocalTime.now().truncatedTo(ChronoUnit.MILLIS) + " " + why + (replacing().isEmpty() ? "" : " (while " + replacing() + " was replaced)"));
    }

    private String replacing() {
        try {
            return Files.readString(folder.resolve("replacing")).strip();
        } catch (IOException e) {
            return "";
        }
    }

    // ---- application servers

    private void serve(Sidecar s) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(s.ip, APPLICATION), 50);
        server.setExecutor(Executors.newCachedThreadPool());
        String id = "i-" + s.name;
        server.createContext("/", x -> answer(x, id));
        server.start();
        AtomicLong calls = new AtomicLong();
        timer.scheduleAtFixedRate(() -> heartbeat(s, id, calls.incrementAndGet()), 0, 1000, TimeUnit.MILLISECONDS);
    }

    private void answer(HttpExchange x, String id) throws IOException {
        x.getRequestBody().readAllBytes();
        String key = x.getRequestHeaders().getFirst("X-Operation-Key");
        if (key != null) {
            runsByKey.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
        }
        String attempt = x.getRequestHeaders().getFirst("X-Attempt-Id");
        if (attempt != null) {
            x.getResponseHeaders().set("X-Attempt-Id", attempt);
        }
        x.getResponseHeaders().set("X-Server-Seal", "seal-" + seals.incrementAndGet());
        x.getResponseHeaders().set("X-Instance-Id", id);
        byte[] body = x.getRequestURI().getPath().getBytes(StandardCharsets.UTF_8);
        x.sendResponseHeaders(200, body.length);
        x.getResponseBody().write(body);
        x.close();
    }

    /** Its sidecar may just be away; the next heartbeat comes soon. */
    private void heartbeat(Sidecar s, String id, long number) {
        String body = """
                {"target":"stage","address":"%s:%d","zone":"z","epoch":"v1","capacity":9,"state":"ready","warmupLeft":"0ms","callSeq":%d}"""
                .formatted(s.ip, APPLICATION, number);
        send(request(s.ip, CONTROL, "/bramblespool/servers/" + id + "/heartbeat", CALL_MS).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    // ---- the operator

    private boolean begin() throws InterruptedException {
        long until = now() + START_MS;
        String first = document(1, 0);
        boolean taken = false;
        while (now() < until) {
            taken = taken || operator("/bramblespool/config/replace", first, CALL_MS).status == 200;
            if (taken && sidecars.stream().allMatch(s -> ready(s) && version(s, 1).status == 200
                    && keyed(s, "begin", "o-" + attempts.incrementAndGet()).status == 200)) {
                epoch = 1;
                return true;
            }
            Thread.sleep(100);
        }
        fail("the system did not come up: first configuration " + (taken ? "taken" : "not taken"));
        return false;
    }

    private static String document(long epoch, long base) {
        return "{\"epoch\":" + epoch + ",\"baseVersion\":" + base + "," + ROUTES.formatted(FIXED_ROUTES + VERSION_ROUTE.formatted(epoch))
                + REST + "}";
    }

    private static String amendment(long epoch, long base) {
        return "{\"epoch\":" + epoch + ",\"baseVersion\":" + base + ",\"upsert\":{" + ROUTES.formatted(VERSION_ROUTE.formatted(epoch)) + "}}";
    }

    /** One order, its read-back, and the check that sidecars follow it in time. */
    private void order() throws InterruptedException {
        long next = epoch + 1;
        boolean amends = next % 3 == 0;
        String body = amends ? amendment(next, epoch) : document(next, epoch);
        long from = now();
        Answer a = operator(amends ? "/bramblespool/config/amend" : "/bramblespool/config/replace", body, ACK_MS);
        long took = now() - from;
        if (a.status != 200) {
            fail("order " + next + " was answered " + a.status + " after " + took + " ms: " + a.body);
            epoch = Math.max(epoch, inForce());
            return;
        }
        count("orders acknowledged");
        slowestOrder = Math.max(slowestOrder, took);
        epoch = next;
        readBack(next);
        applied(next);
        if (next % 4 == 0) {
            evacuation(next % 8 == 0 ? "begin" : "finish");
        }
    }

    /** Amended or replaced, what is in force is the whole document, without what it was built on. */
    private void readBack(long wanted) {
        Answer a = operator("/bramblespool/config/read", null, ACK_MS);
        if (a.status == 200 && plain(a.body).equals(plain(document(wanted, 0).replace("\"baseVersion\":0,", "")))) {
            count("read-backs right");
        } else {
            fail("version " + wanted + " was read back as " + a.status + " " + a.body);
        }
    }

    private static String plain(String json) {
        return json.replaceAll("\\s", "");
    }

    private long inForce() {
        Answer a = operator("/bramblespool/config/read", null, ACK_MS);
        return a.status == 200 ? Long.parseLong(a.body.replaceAll("(?s).*?\"epoch\":(\\d+).*", "$1")) : 0;
    }

    /** Within the bound every sidecar that is not being replaced runs the new version. */
    private void applied(long wanted) throws InterruptedException {
        for (Sidecar s : sidecars) {
            long from = now();
            Answer a = version(s, wanted);
            boolean excused = replacing().equals(s.name);
            while (a.status != 200 && now() - from < APPLY_MS && !excused) {
                Thread.sleep(20);
                a = version(s, wanted);
                excused = replacing().equals(s.name);
            }
            if (a.status == 200) {
                count("versions applied");
                slowestApply = Math.max(slowestApply, now() - from);
            } else if (excused) {
                count("versions not looked at: sidecar being replaced");
            } else {
                fail(s.name + " does not run version " + wanted + " after " + APPLY_MS + " ms: " + a.status);
            }
        }
    }

    /** Of a zone without servers: an order that moves no request. */
    private void evacuation(String what) {
        Answer a = operator("/bramblespool/evacuation/empty/" + what, "", ACK_MS);
        if (a.status == 200) {
            count("evacuation orders acknowledged");
        } else {
            fail("evacuation order " + what + " was answered " + a.status + " " + a.body);
        }
    }

    /** Calls one controller after another, follows redirections, and sends again after silence and 5xx. */
    private Answer operator(String path, String body, long withinMs) {
        long until = now() + withinMs;
        int at = (int) (attempts.incrementAndGet() % controllers.size());
        Answer a = new Answer(UNSENT, null, "", null);
        while (now() < until) {
            a = toController(URI.create("http://" + controllers.get(at) + ":" + CONTROL + path), body, Math.min(CALL_MS, until - now()));
            for (int hop = 0; a.status == 307 && hop < 2; hop++) {
                a = toController(URI.create(a.location), body, Math.max(1, Math.min(CALL_MS, until - now())));
            }
            if (a.status > 0 && a.status != 307 && a.status < 500) {
                return a;
            }
            at = (at + 1) % controllers.size();
            pause(50);
        }
        return a;
    }

    private Answer toController(URI uri, String body, long withinMs) {
        HttpRequest.Builder b = HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(Math.max(1, withinMs)));
        return send(body == null ? b.GET() : b.POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- clients

    private static HttpRequest.Builder request(String ip, int port, String path, long withinMs) {
        return HttpRequest.newBuilder(URI.create("http://" + ip + ":" + port + path)).timeout(Duration.ofMillis(withinMs));
    }

    private HttpRequest.Builder clientRequest(Sidecar s, String path) {
        return request(s.ip, OUTBOUND, path, DEADLINE_MS + CALL_MS).header("Host", HOST)
                .header("X-Attempt-Id", "t" + attempts.incrementAndGet()).header("X-Deadline-Ms", Long.toString(DEADLINE_MS));
    }

    private Answer send(HttpRequest.Builder b) {
        try {
            HttpResponse<String> r = http.send(b.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(r.statusCode(), r.headers().firstValue("X-Server-Seal").orElse(null), r.body(),
                    r.headers().firstValue("Location").orElse(null));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return new Answer(UNSENT, null, e.toString(), null);
        } catch (IOException e) {
            return new Answer(BROKEN_OFF, null, e.toString(), null);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(BROKEN_OFF, null, "the run is over", null);
        }
    }

    private boolean ready(Sidecar s) {
        return send(request(s.ip, READY, "/bramblespool/readiness", CALL_MS).GET()).status == 200;
    }

    private Answer version(Sidecar s, long number) {
        return send(clientRequest(s, "/v" + number + "/x").GET());
    }

    /** A repeatable request and one that is not. Nothing but the own sidecar's replacement excuses another answer than 200. */
    private void plainRequests(Sidecar s) {
        String before = replacing();
        judge(s, before, "idempotent", "/a/x", send(clientRequest(s, "/a/x").GET()));
        before = replacing();
        judge(s, before, "mutating", "/m/x", send(clientRequest(s, "/m/x").POST(HttpRequest.BodyPublishers.ofString("body"))));
    }

    private void judge(Sidecar s, String before, String what, String path, Answer a) {
        if (Thread.currentThread().isInterrupted()) {
            return;
        }
        if (a.status == 200 && a.seal != null && a.body.equals(path)) {
            count(what + " requests answered 200");
        } else if ((a.status == 503 || a.status == UNSENT) && (before.equals(s.name) || replacing().equals(s.name))) {
            count(what + " requests " + (a.status == UNSENT ? "not sent" : "answered 503") + " while their sidecar was replaced");
        } else {
            fail(what + " request at " + s.name + ": " + a.status + " " + a.body.strip());
        }
    }

    private Answer keyed(Sidecar s, String path, String key) {
        return send(clientRequest(s, "/k/" + path).header("Authorization", "Token key").header("X-Operation-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("body")));
    }

    /**
     * A request with an operation key and its repeat at the other sidecar, which gets the first answer. While any daemon is
     * replaced, 503 is honest, and so is 409 where the sidecar that knew the answer is away.
     */
    private void keyedRequests(Sidecar s) {
        String before = replacing();
        String key = "o-" + attempts.incrementAndGet();
        Answer first = keyed(s, "x", key);
        judgeKeyed(s, before, "keyed", first, first.status == 200 && first.seal != null);
        if (first.status == 200) {
            before = replacing();
            Sidecar other = sidecars.get((sidecars.indexOf(s) + 1) % sidecars.size());
            Answer repeat = keyed(other, "x", key);
            judgeKeyed(other, before, "repeated", repeat, repeat.status == 200 && first.seal.equals(repeat.seal));
        }
        AtomicInteger runs = runsByKey.get(key);
        if (runs != null && runs.get() > 1) {
            fail("operation " + key + " ran " + runs.get() + " times");
        }
    }

    private void judgeKeyed(Sidecar s, String before, String what, Answer a, boolean right) {
        if (Thread.currentThread().isInterrupted()) {
            return;
        }
        boolean replaced = !before.isEmpty() || !replacing().isEmpty();
        boolean own = before.equals(s.name) || replacing().equals(s.name);
        if (right) {
            count(what + " requests answered 200");
        } else if (replaced && (a.status == 503 || a.status == 409 && what.equals("repeated")) || own && a.status == UNSENT) {
            count(what + " requests " + (a.status == UNSENT ? "not sent" : "answered " + a.status) + " during a replacement");
        } else {
            fail(what + " request at " + s.name + ": " + a.status + " " + a.body.strip() + " " + a.seal);
        }
    }

    // ---- the end

    private synchronized boolean summary() {
        new TreeMap<>(counts).forEach((what, n) -> System.out.println("  " + n + " " + what));
        System.out.println("  " + runsByKey.size() + " operations ran, "
                + runsByKey.values().stream().filter(n -> n.get() > 1).count() + " of them more than once");
        System.out.println("  slowest order " + slowestOrder + " ms of " + ACK_MS + ", slowest version " + slowestApply + " ms of " + APPLY_MS);
        System.out.println("  " + failures.size() + " failures");
        failures.stream().limit(FAILURES_SHOWN).forEach(f -> System.out.println("  FAILURE: " + f));
        return failures.isEmpty() && counts.containsKey("orders acknowledged");
    }
}
