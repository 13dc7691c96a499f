package bramblespool.coordination;

import bramblespool.coordination.Operations.Operation;
import bramblespool.coordination.Operations.State;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.RoutingConfiguration;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What a request must get past before it is sent anywhere: its tenant's limit, and the claim of its operation key. */
public final class Entry {
    /** Whose request it is, and which operation; {@code limited} is null without a limit, {@code register} without a key. */
    public record Who(String tenant, RoutingConfiguration.Tenant limited, long epoch, String register, long print) {
        boolean passes() {
            return limited == null && register == null;
        }
    }

    public interface Taker {
        /** It may be sent; whoever sends it tells what comes of the operation, if there is one. */
        void go(Operation operation);

        void refuse(int status, long retryMs, String why);

        /** It has run before, and this is what the first one was answered. */
        void answer(Operations.Answer answer);
    }

    /** After how long a repeat may ask again for an operation that is in work. */
    private static final long IN_WORK_MS = 100;

    private final WeftCore core;
    private final EventLog log;

    public Entry(WeftCore core, EventLog log) {
        this.core = core;
        this.log = log;
    }

    public void enter(Who who, long withinMs, Taker taker) {
        if (who.passes()) {
            taker.go(null);
            return;
        }
        Operation o = who.register == null ? null : core.operations.get(who.register);
        if (o == null) {
            claim(who, null, false, withinMs, taker);
            return;
        }
        if (!o.same(who.print)) {
            taker.refuse(422, 0, "the key is another request's");
            return;
        }
        switch (o.state()) {
            case CLAIMING, RUNNING -> taker.refuse(409, IN_WORK_MS, "in work");
            case ANSWERED -> answered(o.answer(), taker);
            case UNKNOWN -> taker.refuse(409, 0, "what came of it is not known");
            default -> {
                if (o.won()) {
                    again(who, o, withinMs, taker);
                } else {
                    claim(who, o.claim(), false, withinMs, taker);
                }
            }
        }
    }

    private void answered(Operations.Answer a, Taker taker) {
        if (a == null) {
            taker.refuse(409, 0, "it has run, and its answer is no longer here");
        } else {
            taker.answer(a);
        }
    }

    /** The claim stands since an earlier try that never ran: only the limit is asked for. */
    private void again(Who who, Operation o, long withinMs, Taker taker) {
        core.operations.running(o);
        if (who.limited == null) {
            taker.go(o);
            return;
        }
        core.admission.ask(who.tenant, who.limited, who.epoch, null, null, null, withinMs, a -> {
            if (a.verdict() == Admission.Verdict.GO) {
                taker.go(o);
            } else {
                core.operations.idle(o);
                refuse(a, taker);
            }
        });
    }

    private void claim(Who who, String instead, boolean tokenTaken, long withinMs, Taker taker) {
        Operation o = who.register == null ? null : core.operations.claiming(who.register, who.print);
        core.admission.ask(
                who.tenant,
                tokenTaken ? null : who.limited,
                who.epoch,
                who.register,
                o == null ? null : o.claim(),
                instead,
                withinMs,
                a -> {
                    if (a.verdict() == Admission.Verdict.GO) {
                        if (o != null) {
                            core.operations.running(o);
                        }
                        taker.go(o);
                        return;
                    }
                    if (a.verdict() == Admission.Verdict.HELD && o != null) {
                        held(who, o, a.stands(), tokenTaken, withinMs, taker);
                        return;
                    }
                    if (o != null) {
                        core.operations.idle(o);
                    }
                    refuse(a, taker);
                });
    }

    private void refuse(Admission.Answer a, Taker taker) {
        if (a.verdict() == Admission.Verdict.OVER) {
            taker.refuse(429, a.waitMs(), "over the limit");
        } else {
            log.log(Event.ADMISSION_UNAVAILABLE, "cause", a.verdict());
            taker.refuse(503, a.waitMs(), "nobody could admit it");
        }
    }

    /** The key is claimed by another side: only that one knows what came of it. */
    private void held(Who who, Operation o, String stands, boolean second, long withinMs, Taker taker) {
        core.askOperation(who.register, stands, who.print, withinMs, a -> {
            String state = a == null ? "" : a.path("state").asText();
            if (state.equals(State.GIVEN.name()) && !second) {
                core.operations.idle(o);
                claim(who, stands, true, withinMs, taker);
                return;
            }
            core.operations.idle(o);
            if (state.equals(State.ANSWERED.name()) && a.has("code")) {
                Operations.Answer answer = read(a);
                core.operations.answered(o, answer);
                taker.answer(answer);
            } else if (state.equals("DIFFERS")) {
                taker.refuse(422, 0, "the key is another request's");
            } else {
                log.log(Event.IDEMPOTENCY_KEY_IN_USE, "owner", stands, "state", state.isEmpty() ? "silent" : state);
                taker.refuse(409, state.equals(State.RUNNING.name()) ? IN_WORK_MS : 0, "claimed elsewhere");
            }
        });
    }

    private static Operations.Answer read(JsonNode a) {
        List<String> headers = new ArrayList<>();
        a.path("headers").forEach(h -> headers.add(h.asText()));
        try {
            return new Operations.Answer(
                    a.path("code").asInt(), headers, a.path("body").binaryValue());
        } catch (IOException e) {
            return new Operations.Answer(a.path("code").asInt(), headers, new byte[0]);
        }
    }
}
