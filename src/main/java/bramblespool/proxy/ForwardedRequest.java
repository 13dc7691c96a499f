package bramblespool.proxy;

import bramblespool.protocol.HeaderNames;
import bramblespool.transport.BodyStream;
import bramblespool.transport.UpstreamClient;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/**
 * A request to be forwarded.
 *
 * @param headers as received; those that must not be forwarded are left out later
 * @param callerService the service it comes from; empty where it is unknown
 * @param deadlineMs on the event loop's clock
 * @param cancellation ends the work on it when its client leaves
 */
record ForwardedRequest(
        HttpString method,
        String requestTarget,
        HeaderMap headers,
        BodyStream.Body body,
        String callerService,
        long deadlineMs,
        RequestCancellation cancellation) {

    /** The id by which the client names this attempt. */
    String attemptId() {
        return headers.getFirst(HeaderNames.ATTEMPT_ID);
    }

    /** The request with these headers and the framing that fits its body. */
    UpstreamClient.Request toUpstreamRequest(HeaderMap outgoingHeaders) {
        if (body.isComplete()) {
            if (body.prefix().length > 0 || headers.contains(Headers.CONTENT_LENGTH)) {
                outgoingHeaders.put(Headers.CONTENT_LENGTH, body.prefix().length);
            }
        } else if (headers.contains(Headers.CONTENT_LENGTH)) {
            outgoingHeaders.put(Headers.CONTENT_LENGTH, headers.getFirst(Headers.CONTENT_LENGTH));
        } else {
            outgoingHeaders.put(Headers.TRANSFER_ENCODING, "chunked");
        }
        return new UpstreamClient.Request(method, requestTarget, outgoingHeaders, body);
    }
}
