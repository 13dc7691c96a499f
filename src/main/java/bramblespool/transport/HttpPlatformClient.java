package bramblespool.transport;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** The platform's registry and usage reports over HTTP. Confined to the event loop. */
public final class HttpPlatformClient implements PlatformClient {
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final HttpString SINGLETON_ROLE_OWNER = new HttpString("X-Duty-Holder");
    private static final HttpString FENCING_TOKEN = new HttpString("X-Fence-Epoch");

    private final EventLoop eventLoop;
    private final UpstreamClient upstream;
    private final String address;
    private final long requestTimeoutMs;

    /** {@code requestTimeoutMs}: time-out of reading a page, and of connecting. */
    public HttpPlatformClient(EventLoop eventLoop, UpstreamClient upstream, String address, long requestTimeoutMs) {
        this.eventLoop = eventLoop;
        this.upstream = upstream;
        this.address = address;
        this.requestTimeoutMs = requestTimeoutMs;
    }

    @Override
    public void fetchPage(String zone, String pageToken, Consumer<Response> callback) {
        String requestTarget =
                "/servers?zone=" + urlEncode(zone) + (pageToken == null ? "" : "&pageToken=" + urlEncode(pageToken));
        send(
                new UpstreamClient.Request(Methods.GET, requestTarget, headers(), BodyStream.Body.EMPTY),
                requestTimeoutMs,
                callback);
    }

    @Override
    public void reportUsage(
            String owner, long fencingToken, String report, long timeoutMs, Consumer<Integer> callback) {
        byte[] body = report.getBytes(StandardCharsets.UTF_8);
        HeaderMap headers = headers();
        headers.put(SINGLETON_ROLE_OWNER, owner);
        headers.put(FENCING_TOKEN, fencingToken);
        headers.put(Headers.CONTENT_TYPE, "application/json");
        headers.put(Headers.CONTENT_LENGTH, body.length);
        send(
                new UpstreamClient.Request(Methods.POST, "/usage", headers, new BodyStream.Body(body, null)),
                timeoutMs,
                response -> callback.accept(response.body() == null ? 0 : response.statusCode()));
    }

    private HeaderMap headers() {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, address);
        return headers;
    }

    private void send(UpstreamClient.Request request, long timeoutMs, Consumer<Response> callback) {
        UpstreamClient.Call[] call = new UpstreamClient.Call[1];
        Clock.Timer timer = eventLoop.schedule(timeoutMs, () -> {
            call[0].cancel();
            callback.accept(new Response(0, null));
        });
        call[0] = upstream.send(
                address,
                new UpstreamClient.ConnectionOptions(
                        Math.min(requestTimeoutMs, timeoutMs), requestTimeoutMs * 2, MAX_RESPONSE_BYTES),
                request,
                new UpstreamClient.ResponseListener() {
                    @Override
                    public void onResponse(UpstreamClient.Response response) {
                        timer.cancel();
                        if (!response.body().isComplete()) {
                            call[0].finish(false);
                        }
                        callback.accept(new Response(
                                response.statusCode(),
                                response.body().isComplete() ? response.body().prefix() : null));
                    }

                    @Override
                    public void onFailure(UpstreamClient.SendProgress progress, String cause) {
                        timer.cancel();
                        callback.accept(new Response(0, null));
                    }
                });
    }

    private static String urlEncode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
