package bramblespool.role;

import bramblespool.protocol.Beat;
import bramblespool.protocol.Names;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
import bramblespool.transport.Loop;
import bramblespool.transport.Stream;
import bramblespool.transport.Upstream;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;

/** The data plane's process beside a server: the one gate to it, and the way out for it and for local clients. */
public final class Weft extends Side {
    private static final int BEAT_BYTES = 4096;
    /** Slots granted to a server whose capacity nobody has told yet. */
    private static final int FIRST_SLOTS = 2;

    private boolean probed;

    public Weft(Settings s, Loop loop, EventLog log) throws IOException {
        super(s, s.serviceName(), loop, log);
        ports.listen(s.controlAddress(), this::control, peerBounds());
        begin();
    }

    @Override
    void configured(RoutingConfiguration c) {
        if (!probed) {
            probed = true;
            if (core.serverAdmission.serverId() == null && !settings.isBootstrap()) {
                probe(c);
            }
        }
    }

    /** After a restart the server may have been running all along, and its next beat is some way off: it is asked once. */
    private void probe(RoutingConfiguration c) {
        RoutingConfiguration.Service service = c.services.get(settings.serviceName());
        if (service == null) {
            return;
        }
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, settings.applicationAddress());
        long patience = settings.bounds().quietPeriodMs() / 6;
        Upstream.Call[] call = new Upstream.Call[1];
        var timer = loop.after(patience, () -> call[0].drop());
        call[0] = upstream.send(
                settings.applicationAddress(),
                new Upstream.Manner(patience, patience, BEAT_BYTES),
                new Upstream.Request(Methods.GET, service.probePath(), headers, Stream.Body.EMPTY),
                new Upstream.Receiver() {
                    @Override
                    public void answer(Upstream.Answer a) {
                        timer.cancel();
                        String id = a.headers().getFirst(Names.INSTANCE_ID);
                        if (a.code() == 200 && id != null) {
                            core.serverAdmission.onHealthCheck(
                                    id,
                                    core.endpointDirectory.smallestCapacity(settings.serviceName(), FIRST_SLOTS),
                                    Math.max(0, Exchanges.number(a.headers().getFirst(Names.WARMUP))));
                        }
                    }

                    @Override
                    public void failed(Upstream.Reach reach, String cause) {
                        timer.cancel();
                    }
                });
    }

    private void control(HttpServerExchange x) {
        String path = x.getRequestURI();
        String beat = Beat.beatOf(path);
        String leave = Beat.leaveOf(path);
        if (beat == null && leave == null) {
            x.setStatusCode(404);
        } else if (!x.getRequestMethod().equals(Methods.POST)) {
            x.setStatusCode(405);
        } else if (leave != null) {
            core.serverAdmission.onServerLeft(leave);
            Exchanges.json(x, 200, "{}");
        } else {
            x.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> Stream.read(
                            x.getRequestChannel(),
                            ports.buffers(),
                            BEAT_BYTES,
                            body -> beat(x, beat, body),
                            e -> Side.unread(x, e)));
        }
    }

    private void beat(HttpServerExchange x, String id, Stream.Body body) {
        if (!body.whole()) {
            Exchanges.sayAndClose(x, 413, "a heartbeat holds at most " + BEAT_BYTES + " bytes");
            return;
        }
        String no;
        try {
            no = core.onHeartbeat(Beat.read(id, body.head()));
        } catch (RoutingConfiguration.InvalidConfigurationException e) {
            no = e.getMessage();
        }
        if (no != null) {
            log.logOnChange(Event.HEARTBEAT_REJECTED, no, "server", id, "cause", no);
        }
        Exchanges.json(
                x,
                no == null ? 200 : 400,
                no == null ? "{}" : "{\"error\":" + new com.google.gson.JsonPrimitive(no) + "}");
    }
}
