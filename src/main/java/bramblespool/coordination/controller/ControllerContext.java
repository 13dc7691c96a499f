package bramblespool.coordination.controller;

import bramblespool.state.EventLog;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;

/**
 * What all parts of a controller share.
 *
 * @param callTimeoutMs how long a call to another daemon waits for its response
 */
record ControllerContext(
        LocalController local, Clock clock, PeerTransport transport, long callTimeoutMs, EventLog log) {}
