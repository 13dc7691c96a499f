package bramblespool.transport;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** The platform's list by HTTP. */
public final class HttpPlatform implements Platform {
    private static final int LARGEST = 4 << 20;

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
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, address);
        Upstream.Call[] call = new Upstream.Call[1];
        Clock.Timer timer = loop.after(patienceMs, () -> {
            call[0].drop();
            answer.accept(new Page(0, null));
        });
        call[0] = upstream.send(address, new Upstream.Manner(patienceMs, patienceMs * 2, LARGEST),
                new Upstream.Request(Methods.GET, target, headers, Stream.Body.EMPTY), new Upstream.Receiver() {
                    @Override
                    public void answer(Upstream.Answer a) {
                        timer.cancel();
                        if (!a.body().whole()) {
                            call[0].finished(false);
                        }
                        answer.accept(new Page(a.code(), a.body().whole() ? a.body().head() : null));
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
