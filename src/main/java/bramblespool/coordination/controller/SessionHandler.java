package bramblespool.coordination.controller;

import bramblespool.coordination.singleton.UsageReporter;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Answers proxies' session requests: hands the usage counters in a request to the usage reporter and the rest to the
 * session registry. Confined to the event loop.
 */
final class SessionHandler {
    private final SessionRegistry sessions;
    private final UsageReporter usageReporter;

    /** @param usageReporter null where the platform wants no usage reports */
    SessionHandler(SessionRegistry sessions, UsageReporter usageReporter) {
        this.sessions = sessions;
        this.usageReporter = usageReporter;
    }

    void handle(SessionRequest request, Responder<SessionResponse> responder) {
        ObjectNode usageAcknowledgement = acknowledgeUsage(request);
        responder.respond(new SessionResponse(sessions.handle(request), usageAcknowledgement));
    }

    private ObjectNode acknowledgeUsage(SessionRequest request) {
        if (usageReporter == null || request.usage() == null) {
            return null;
        }
        ObjectNode acknowledgement = JsonNodeFactory.instance.objectNode();
        usageReporter.onUsage(request.node(), request.usage(), acknowledgement);
        return acknowledgement;
    }
}
