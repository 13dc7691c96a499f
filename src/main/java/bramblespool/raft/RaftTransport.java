package bramblespool.raft;

import bramblespool.transport.PeerTransport;

/** Sends typed requests over the peer transport. Confined to the event loop. */
final class RaftTransport {
    /** Called once for each request: with the answer, or without one where none came in time or the peer refused. */
    interface ResponseHandler {
        void onResponse(RaftResponse response);

        default void onNoResponse() {}
    }

    private final PeerTransport transport;

    RaftTransport(PeerTransport transport) {
        this.transport = transport;
    }

    /** Sends to the member that the request names. */
    void send(RaftRequest.Addressed request, long timeoutMs, ResponseHandler handler) {
        send(RaftNode.addressOf(request.recipientId()), request, timeoutMs, handler);
    }

    /** Sends to whichever member answers at an address. */
    void send(String address, RaftRequest request, long timeoutMs, ResponseHandler handler) {
        transport.call(
                address, RaftMessageCodec.kindOf(request), RaftMessageCodec.encode(request), timeoutMs, response -> {
                    if (response == null) {
                        handler.onNoResponse();
                    } else {
                        handler.onResponse(RaftMessageCodec.decodeResponse(response));
                    }
                });
    }
}
