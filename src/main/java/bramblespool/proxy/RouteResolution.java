package bramblespool.proxy;

import bramblespool.coordination.configuration.ShadowCommitParticipant;
import bramblespool.coordination.traffic.ServerAdmission;
import bramblespool.coordination.traffic.ServerAdmissions;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.Route;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/**
 * The route by which a request may be forwarded to a server of the service, and the server's admission.
 *
 * @param rejectionReason why it may not; null where it may
 */
record RouteResolution(Route route, int rank, ServerAdmission serverAdmission, String rejectionReason) {
    /** Rejection: no server of the service is known here. */
    static final String NO_SERVER = "none";
    /** Rejection: the version mark names no version that is known here. */
    static final String UNKNOWN_MARK = "mark";
    /** Rejection: that version has no such route, or it does not lead to the service. */
    static final String NO_ROUTE = "route";

    private static RouteResolution rejected(String reason) {
        return new RouteResolution(null, 0, null, reason);
    }

    /** Whether the reason shows that two proxies differ in their versions. */
    static boolean isVersionMismatch(String reason) {
        return UNKNOWN_MARK.equals(reason) || NO_ROUTE.equals(reason);
    }

    static RouteResolution resolve(
            ShadowCommitParticipant shadowCommit,
            ServerAdmissions serverAdmissions,
            String versionMark,
            HeaderMap headers,
            String path,
            String service) {
        if (service == null) {
            return rejected(NO_SERVER);
        }
        ShadowCommitParticipant.ResolvedVersion choice = shadowCommit.resolve(versionMark);
        if (!choice.isKnown()) {
            return rejected(UNKNOWN_MARK);
        }
        if (choice.isShadow()) {
            return rejected("test");
        }
        Route route = choice.configuration().route(headers.getFirst(Headers.HOST), path);
        if (route == null || !route.routesTo(service)) {
            return rejected(NO_ROUTE);
        }
        ServerAdmission serverAdmission = serverAdmissions.leastLoaded(service);
        int rank = choice.configuration().priority(route, headers.getFirst(HeaderNames.TENANT));
        return serverAdmission == null ? rejected(NO_SERVER) : new RouteResolution(route, rank, serverAdmission, null);
    }

    boolean isRejected() {
        return serverAdmission == null;
    }
}
