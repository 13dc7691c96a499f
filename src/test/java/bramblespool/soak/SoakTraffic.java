package bramblespool.soak;

import bramblespool.testing.RawHttp;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Random;

/** Clients that send requests through the sidecars, each on connections of its own; some leave before the answer. */
final class SoakTraffic extends SoakClients<SoakTraffic.Request> {
    /** How a request ended for its client. */
    enum End {
        ANSWERED,
        LEFT,
        /** The connection ended without an answer. */
        CLOSED,
        /** Nothing came until long after the deadline. */
        SILENT,
        /** The connection could not be made or the request not be written. */
        NOT_SENT
    }

    /**
     * A request as its client saw it.
     *
     * @param sidecar the number of the sidecar that took it
     * @param status of the answer
     * @param endedNs when it was answered or the client left
     */
    record Request(String id, boolean isIdempotent, int sidecar, End end, int status, long startedNs, long endedNs) {}

    private static final int CLIENTS = 10;
    private static final double LEAVING_SHARE = 0.5;
    private static final int MAX_LEAVE_MS = 400;

    SoakTraffic(SoakMesh mesh) {
        super(mesh, CLIENTS);
    }

    @Override
    void run(Random random) {
        while (!isOver()) {
            int sidecar = random.nextInt(SoakMesh.SIDECARS);
            if (mesh.sidecars.get(sidecar).isRunning()) {
                requests().add(send(random, sidecar));
            }
        }
    }

    private Request send(Random random, int sidecar) {
        String id = "q" + nextId();
        boolean isIdempotent = random.nextBoolean();
        boolean leaves = random.nextDouble() < LEAVING_SHARE;
        long startedNs = System.nanoTime();
        End end = End.NOT_SENT;
        int status = 0;
        try (Socket socket = new Socket(mesh.sidecars.get(sidecar).ip, SoakMesh.OUTBOUND_PORT)) {
            socket.setSoTimeout(leaves ? 1 + random.nextInt(MAX_LEAVE_MS) : PATIENCE_MS);
            RawHttp.write(
                    socket,
                    "POST /" + (isIdempotent ? "i" : "m") + "/x HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: " + id
                            + "\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\nContent-Length: 4\r\n\r\nbody");
            end = End.CLOSED;
            RawHttp.Response response = RawHttp.readResponse(socket);
            status = response.status();
            end = End.ANSWERED;
            if (status == 200 && !response.body().equals(id)) {
                throw new IllegalStateException(id + " got the answer " + response.body());
            }
        } catch (SocketTimeoutException e) {
            end = leaves ? End.LEFT : End.SILENT;
        } catch (IOException e) {
            // The end that was reached stands.
        }
        return new Request(id, isIdempotent, sidecar, end, status, startedNs, System.nanoTime());
    }
}
