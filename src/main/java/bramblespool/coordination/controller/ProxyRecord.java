package bramblespool.coordination.controller;

import java.util.Set;

/**
 * What a controller reads of a proxy's own gossip entry.
 *
 * @param serverIds the servers that the proxy has endpoints for
 */
record ProxyRecord(String peerAddress, String zone, boolean hasLeft, Set<String> serverIds) {}
