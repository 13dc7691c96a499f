package bramblespool.role;

import bramblespool.coordination.singleton.UsageCounter;
import bramblespool.coordination.traffic.ServerAdmission;
import bramblespool.protocol.Names;
import bramblespool.protocol.Verdict;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;
import bramblespool.transport.Stream;
import bramblespool.transport.Upstream;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/** Takes a request through a gate to its server, once, and says what came of it. */
final class Courier {
    /** How a send ended. {@code arrived}: the server saw it, run or not. */
    record Result(Verdict verdict, Upstream.Answer answer, String why, long retryMs, boolean arrived) {
        static Result neverRan(String why, long retryMs, boolean arrived) {
            return new Result(Verdict.NEVER_RAN, null, why, retryMs, arrived);
        }

        static Result mayHaveRun(String why) {
            return new Result(Verdict.MAY_HAVE_RUN, null, why, 0, true);
        }
    }

    interface Taker {
        /** The ending is to be called when a streamed answer has been passed on; true where it was whole. */
        void take(Result result, Ending ending);
    }

    interface Ending {
        void ended(boolean whole);
    }

    /** A request as it travels: what the client sent, and what the system must say about it. */
    record Parcel(
            HttpString method,
            String target,
            HeaderMap headers,
            Stream.Body body,
            String attempt,
            String caller,
            long deadline) {}

    /** Answers are held back whole up to this size, so that one broken off can still become another try. */
    static final int BUFFERED = 64 << 10;
    /** How long after its deadline a server's own 504 may come before the connection is given up. */
    private static final long GRACE_MS = 40;
    /** Part of the time the server keeps an idle connection during which it is used again. */
    private static final double IDLE_SHARE = 0.5;

    private final Clock clock;
    private final Upstream upstream;
    private final UsageCounter tally;
    private final long connectMs;
    /** How long an idle connection to a server is used again, as far as servers have told. */
    private long idleMs;

    /** {@code tally}: counts what begins to run for each tenant; null where nobody wants to know. */
    Courier(Clock clock, Upstream upstream, UsageCounter tally, long connectMs, long idleMs) {
        this.clock = clock;
        this.upstream = upstream;
        this.tally = tally;
        this.connectMs = connectMs;
        this.idleMs = idleMs;
    }

    static Upstream.Request request(Parcel p, HeaderMap headers) {
        if (p.body.whole()) {
            if (p.body.head().length > 0 || p.headers.contains(Headers.CONTENT_LENGTH)) {
                headers.put(Headers.CONTENT_LENGTH, p.body.head().length);
            }
        } else if (p.headers.contains(Headers.CONTENT_LENGTH)) {
            headers.put(Headers.CONTENT_LENGTH, p.headers.getFirst(Headers.CONTENT_LENGTH));
        } else {
            headers.put(Headers.TRANSFER_ENCODING, "chunked");
        }
        return new Upstream.Request(p.method, p.target, headers, p.body);
    }

    void serve(ServerAdmission gate, Parcel p, RoutingConfiguration.Route route, int rank, Taker taker) {
        Run run = new Run(gate, p, taker);
        run.ticket = gate.admit(
                route.name(),
                rank,
                route.latencyTargetMs(),
                p.deadline,
                run::go,
                r -> taker.take(Result.neverRan(r.reason(), r.retryAfterMs(), false), null));
        if (run.early) {
            run.send();
        }
    }

    private final class Run implements Upstream.Receiver {
        private final ServerAdmission gate;
        private final Parcel parcel;
        private final Taker taker;
        private ServerAdmission.AdmissionTicket ticket;
        private boolean early;
        private Upstream.Call call;
        private Clock.Timer patience;
        private String server;
        private boolean over;
        private String tenant;
        private long window;

        Run(ServerAdmission gate, Parcel parcel, Taker taker) {
            this.gate = gate;
            this.parcel = parcel;
            this.taker = taker;
        }

        void go() {
            if (ticket == null) {
                early = true;
            } else {
                send();
            }
        }

        private void send() {
            server = ticket.serverId();
            long left = parcel.deadline - clock.now();
            if (left <= 0) {
                ticket.release(false);
                taker.take(Result.neverRan("late", 0, false), null);
                return;
            }
            HeaderMap headers = new HeaderMap();
            Names.copy(parcel.headers, headers);
            headers.put(Names.DEADLINE, left);
            headers.put(Names.INSTANCE, server);
            if (!parcel.caller.isEmpty()) {
                headers.put(Names.CALLER, parcel.caller);
            }
            patience = clock.after(left + GRACE_MS, () -> {
                boolean sent = call.sent();
                call.drop();
                end(sent ? Result.mayHaveRun("deadline") : Result.neverRan("late", 0, false), false, null);
            });
            tenant = tally == null ? null : parcel.headers.getFirst(Names.TENANT);
            if (tenant != null) {
                window = tally.recordRun(tenant);
            }
            call = upstream.send(
                    gate.address(), new Upstream.Manner(connectMs, idleMs, BUFFERED), request(parcel, headers), this);
        }

        private void end(Result r, boolean worked, Ending ending) {
            if (over) {
                return;
            }
            over = true;
            patience.cancel();
            if (tenant != null && r.verdict() == Verdict.NEVER_RAN) {
                tally.undoRun(tenant, window);
            }
            if (r.verdict() == Verdict.MAY_HAVE_RUN) {
                ticket.recordOutcome(false);
            } else if (r.verdict() == Verdict.ANSWERED && r.answer().code() != 504) {
                ticket.recordOutcome(r.answer().code() < 500);
            }
            if (ending == null) {
                ticket.release(worked);
            }
            taker.take(r, ending);
        }

        @Override
        public void answer(Upstream.Answer a) {
            int keep = Names.keepAliveSeconds(a.headers());
            if (keep > 0) {
                idleMs = (long) (keep * 1000 * IDLE_SHARE);
            }
            if (!Exchanges.answers(parcel.attempt, a.headers())) {
                // Whatever it says, it says of another request, a refusal as much as a success.
                call.spoil();
                upstream.forget(gate.address());
                end(Result.mayHaveRun("an answer to another request"), false, null);
            } else if (a.code() == 421) {
                call.spoil();
                gate.markUnreachable(server);
                end(Result.neverRan("none", 0, false), false, null);
            } else if (a.headers().contains(Names.NOT_RUN)) {
                if (!a.body().whole()) {
                    call.finished(false);
                }
                end(Result.neverRan("turned away", 0, true), false, null);
            } else if (a.body().whole()) {
                end(new Result(Verdict.ANSWERED, a, null, 0, true), a.code() < 500, null);
            } else {
                end(new Result(Verdict.ANSWERED, a, null, 0, true), true, whole -> {
                    call.finished(whole);
                    ticket.release(false);
                });
            }
        }

        @Override
        public void failed(Upstream.Reach reach, String cause) {
            if (reach == Upstream.Reach.UNSENT) {
                gate.markUnreachable(server);
                end(Result.neverRan("none", 0, false), false, null);
            } else {
                end(Result.mayHaveRun(cause), false, null);
            }
        }
    }
}
