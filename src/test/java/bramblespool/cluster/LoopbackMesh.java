package bramblespool.cluster;

import bramblespool.process.ControllerProcess;
import bramblespool.process.ManagedProcess;
import bramblespool.process.SidecarProcess;
import bramblespool.state.EventLog;
import bramblespool.state.InvalidSettingsException;
import bramblespool.state.Settings;
import bramblespool.state.SettingsParser;
import bramblespool.testing.SimulatedMesh;
import bramblespool.transport.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * One controller and one sidecar with their real listeners on two loopback addresses, both on one event loop. Their
 * listeners have the same ports at both addresses, which are free when the mesh is made. The sidecar's server would be
 * at {@link #serverPort}; whoever wants one listens there.
 */
final class LoopbackMesh {
    private static final int PORT_COUNT = 6;

    final String sidecarIp;
    final String controllerIp;
    final int serverPort;
    final int controlPort;
    final int inboundPort;
    final int outboundPort;
    final int readyPort;
    private final int peerPort;
    private ManagedProcess controller;
    private ManagedProcess sidecar;

    LoopbackMesh(String sidecarIp, String controllerIp) throws IOException {
        this.sidecarIp = sidecarIp;
        this.controllerIp = controllerIp;
        int[] ports = freePorts(sidecarIp);
        serverPort = ports[0];
        controlPort = ports[1];
        inboundPort = ports[2];
        outboundPort = ports[3];
        readyPort = ports[4];
        peerPort = ports[5];
    }

    private static int[] freePorts(String ip) throws IOException {
        ServerSocket[] reserved = new ServerSocket[PORT_COUNT];
        int[] ports = new int[PORT_COUNT];
        for (int i = 0; i < PORT_COUNT; i++) {
            reserved[i] = new ServerSocket(0, 1, InetAddress.getByName(ip));
            ports[i] = reserved[i].getLocalPort();
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
        return ports;
    }

    /**
     * Starts both; they listen once this returns.
     *
     * @param dataDirectory of both
     * @param moreSettings lines of the settings file, each with its end, for the part before the first table
     */
    void start(EventLoop loop, Path dataDirectory, String moreSettings) throws Exception {
        Settings controllerSettings = settings("core", controllerIp, dataDirectory, moreSettings);
        Settings sidecarSettings = settings("sidecar", sidecarIp, dataDirectory, moreSettings);
        CompletableFuture<Void> started = new CompletableFuture<>();
        loop.post(() -> {
            try {
                controller = new ControllerProcess(controllerSettings, loop, EventLog.silent());
                sidecar = new SidecarProcess(sidecarSettings, loop, EventLog.silent());
                started.complete(null);
            } catch (Exception e) {
                started.completeExceptionally(e);
            }
        });
        started.get();
    }

    /** Begins the graceful shutdown of the sidecar, as at SIGTERM; the future is done when its process would end. */
    CompletableFuture<Void> stopSidecar(EventLoop loop, long graceMs) {
        return stop(loop, sidecar, graceMs);
    }

    /** The same for the controller. */
    CompletableFuture<Void> stopController(EventLoop loop, long graceMs) {
        return stop(loop, controller, graceMs);
    }

    private static CompletableFuture<Void> stop(EventLoop loop, ManagedProcess process, long graceMs) {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.post(() -> process.stop(graceMs, () -> stopped.complete(null)));
        return stopped;
    }

    private Settings settings(String machineClass, String ip, Path dataDirectory, String moreSettings)
            throws InvalidSettingsException {
        return SettingsParser.parse(
                """
                node = "%s-1"
                machineClass = "%s"
                ip = "%s"
                zone = "z"
                portRange = [%d, %d]
                seedPeers = ["%s:%d"]
                bootstrap = true
                dataDir = "%s"
                appAddr = "%s:%d"
                target = "desk"
                %s[listeners]
                control = "%s:%d"
                inbound = "%s:%d"
                outbound = "%s:%d"
                ready = "%s:%d"
                [limits]
                memoryMb = 0
                %s""".formatted(
                                machineClass,
                                machineClass,
                                ip,
                                peerPort,
                                peerPort,
                                controllerIp,
                                controlPort,
                                dataDirectory,
                                sidecarIp,
                                serverPort,
                                moreSettings,
                                ip,
                                controlPort,
                                ip,
                                inboundPort,
                                ip,
                                outboundPort,
                                ip,
                                readyPort,
                                SimulatedMesh.BOUNDS),
                "test");
    }
}
