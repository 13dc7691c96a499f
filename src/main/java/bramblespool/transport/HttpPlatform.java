package bramblespool.transport;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** The platform by HTTP. */
public final class HttpPlatform implements Platform {
    private static final int LARGEST = 4 << 20;
    private static final HttpString DUTY_HOLDER = new HttpString("X-Duty-Holder");
    private static final HttpString FENCE = new HttpString("X-Fence-Epoch");

    private final Loop loop;
    private final Upstream upstream;
    private final String address;
    private final long patienceMs;

    public HttpPlatform(Loop loop, Upstream upstream, String address, long patienceMs) {
        this.loop = loop;
        this.upstream = upstream;
        this.address = address;
        this.patienceMs = patienceMs;
    }

    @Override
    public void page(String zone, String token, Consumer<Page> answer) {
        String target = "/servers?zone=" + word(zone) + (token == null ? "" : "&pageToken=" + word(token));
        send(new Upstream.Request(Methods.GET, target, headers(), Stream.Body.EMPTY), patienceMs, answer);
    }

    @Override
    public void usage(String holder, long fence, String report, long withinMs, Consumer<Integer> code) {
        byte[] body = report.getBytes(StandardCharsets.UTF_8);
        HeaderMap headers = headers();
        headers.put(DUTY_HOLDER, holder);
        headers.put(FENCE, fence);
        headers.put(Headers.CONTENT_TYPE, "application/json");
        headers.put(Headers.CONTENT_LENGTH, body.length);
        send(
                new Upstream.Request(Methods.POST, "/usage", headers, new Stream.Body(body, null)),
                withinMs,
                p -> code.accept(p.body() == null ? 0 : p.code()));
    }

    private HeaderMap headers() {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, address);
        return headers;
    }

    private void send(Upstream.Request request, long withinMs, Consumer<Page> answer) {
        Upstream.Call[] call = new Upstream.Call[1];
        Clock.Timer timer = loop.after(withinMs, () -> {
            call[0].drop();
            answer.accept(new Page(0, null));
        });
        call[0] = upstream.send(
                address,
                new Upstream.Manner(Math.min(patienceMs, withinMs), patienceMs * 2, LARGEST),
                request,
                new Upstream.Receiver() {
                    @Override
                    public void answer(Upstream.Answer a) {
                        timer.cancel();
                        if (!a.body().whole()) {
                            call[0].finished(false);
                        }
                        answer.accept(
                                new Page(a.code(), a.body().whole() ? a.body().head() : null));
                    }

                    @Override
                    public void failed(Upstream.Reach reach, String cause) {
                        timer.cancel();
                        answer.accept(new Page(0, null));
                    }
                });
    }

    private static String word(String s) {
        return URLEncoder.encode(s, StandardCharsets.UTF_8);
    }
}
