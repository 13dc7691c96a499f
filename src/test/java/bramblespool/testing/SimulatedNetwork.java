package bramblespool.testing;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Carries calls and their answers between the machines of a {@link Simulator}, whose fields say how many messages are
 * lost, duplicated or late; partitions and the speed of links are with the machines.
 */
final class SimulatedNetwork {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The first pause before a message that met a partition is sent again, and the longest. */
    private static final long FIRST_RESEND_DELAY_MS = 200;

    private static final long MAX_RESEND_DELAY_MS = 7000;
    /** Milliseconds that every message takes, and up to how many more. */
    private static final int MIN_DELAY_MS = 1;

    private static final int DELAY_VARIATION_MS = 3;
    /** One message in so many is late, where some are. */
    private static final int LATE_MESSAGE_INTERVAL = 4;

    private final Simulator simulator;
    private final Random random;
    private boolean hasDuplicates;

    SimulatedNetwork(Simulator simulator) {
        this.simulator = simulator;
        this.random = simulator.random;
    }

    /** Sends a request; the callback gets the answer, or null once the time is up or nobody is there. */
    void call(
            SimulatedMachine caller,
            String destination,
            String kind,
            ObjectNode body,
            long timeoutMs,
            Consumer<JsonNode> callback) {
        Call call = new Call(caller, kind, callback);
        caller.scheduleForIncarnation(timeoutMs, () -> caller.runWhenThawed(() -> call.end(null)));
        MessageInTransit request = new MessageInTransit(body);
        caller.countSent(request.length);
        simulator.countCall(kind, request.length);
        if (simulator.observer != null) {
            simulator.observer.onSent(caller, kind, body);
        }
        Runnable deliver = () -> call.deliver(destination, request);
        if (!simulator.interceptor.intercept(
                caller.peer,
                destination,
                kind,
                body,
                () -> passLink(caller, destination, FIRST_RESEND_DELAY_MS, deliver))) {
            transmit(caller, destination, request.length, deliver);
        }
    }

    /** Brings a message to the other end, if it gets there, and as often as it does. */
    private void transmit(SimulatedMachine from, String to, int sizeBytes, Runnable onArrival) {
        double duplicationProbability = simulator.duplicationProbability;
        int copies = duplicationProbability > 0 && random.nextDouble() < duplicationProbability ? 2 : 1;
        hasDuplicates |= copies > 1;
        for (int i = 0; i < copies; i++) {
            if (simulator.lossProbability > 0 && random.nextDouble() < simulator.lossProbability) {
                continue;
            }
            long maxExtraDelayMs = simulator.maxExtraDelayMs;
            long extraDelayMs = maxExtraDelayMs > 0 && random.nextInt(LATE_MESSAGE_INTERVAL) == 0
                    ? random.nextLong(maxExtraDelayMs)
                    : 0;
            long delayMs =
                    from.uplinkDelayMs(sizeBytes) + MIN_DELAY_MS + random.nextInt(DELAY_VARIATION_MS) + extraDelayMs;
            simulator.scheduleEvent(delayMs, () -> passLink(from, to, FIRST_RESEND_DELAY_MS, onArrival));
        }
    }

    /** What meets a partition is lost, or sent again later as TCP does. */
    private void passLink(SimulatedMachine from, String to, long retryDelayMs, Runnable onArrival) {
        if (!from.isCutFrom(to)) {
            onArrival.run();
        } else if (simulator.resendProbability > 0
                && retryDelayMs < MAX_RESEND_DELAY_MS
                && random.nextDouble() < simulator.resendProbability) {
            simulator.scheduleEvent(retryDelayMs, () -> passLink(from, to, retryDelayMs * 2, onArrival));
        }
    }

    /** A request whose caller waits for one answer. */
    private final class Call {
        private final SimulatedMachine caller;
        private final int callerIncarnation;
        private final String kind;
        private final Consumer<JsonNode> callback;
        private boolean isDone;

        Call(SimulatedMachine caller, String kind, Consumer<JsonNode> callback) {
            this.caller = caller;
            this.callerIncarnation = caller.incarnation();
            this.kind = kind;
            this.callback = callback;
        }

        void end(JsonNode answer) {
            if (!isDone) {
                isDone = true;
                callback.accept(answer);
            }
        }

        /** The request has come to the other end: a machine without a process says so, one without power does not. */
        void deliver(String destination, MessageInTransit request) {
            SimulatedMachine receiver = simulator.findMachine(destination);
            if (receiver == null || receiver.isPoweredOff) {
                return;
            }
            if (!receiver.isServing()) {
                simulator.scheduleEvent(1, () -> deliverAnswer(null));
                return;
            }
            int receiverIncarnation = receiver.incarnation();
            receiver.process(request.length, () -> {
                if (receiver.incarnation() == receiverIncarnation) {
                    serve(receiver, request.read());
                }
            });
        }

        private void serve(SimulatedMachine receiver, JsonNode request) {
            receiver.handleRequest(kind, request, response -> {
                if (simulator.observer != null && response != null) {
                    simulator.observer.onAnswered(receiver, kind, request, response);
                }
                MessageInTransit answer = new MessageInTransit(response);
                receiver.countSent(answer.length);
                simulator.countAnswer(kind, answer.length);
                transmit(
                        receiver,
                        caller.peer,
                        answer.length,
                        () -> caller.process(answer.length, () -> deliverAnswer(answer)));
            });
        }

        private void deliverAnswer(MessageInTransit answer) {
            if (caller.isRunning(callerIncarnation)) {
                end(answer == null ? null : answer.read());
            }
        }
    }

    /** A message under way: as text, or as a copy where nobody asks how long it is. */
    private final class MessageInTransit {
        private final String text;
        private final ObjectNode copy;
        /** In characters; 0 where nobody asks. */
        private final int length;

        MessageInTransit(ObjectNode body) {
            boolean accountsForSize = simulator.accountsForSize;
            text = body == null || !accountsForSize ? null : body.toString();
            copy = body == null || accountsForSize ? null : body.deepCopy();
            length = text == null ? 0 : text.length();
        }

        JsonNode read() {
            if (text == null) {
                return copy == null || !hasDuplicates ? copy : copy.deepCopy();
            }
            try {
                return JSON.readTree(text);
            } catch (JsonProcessingException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
