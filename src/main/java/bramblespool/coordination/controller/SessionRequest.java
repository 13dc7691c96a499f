package bramblespool.coordination.controller;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A proxy opens, renews or closes its session.
 *
 * @param node the proxy's name
 * @param peerAddress where the proxy serves messages
 * @param incarnation tells the proxy's processes apart; a later one has a higher number
 * @param sessionNumber tells the sessions of one incarnation apart; a later one has a higher number
 * @param gossipHash the root hash of the proxy's gossip store
 * @param isClosing whether the session is to be closed
 * @param usage the proxy's usage counters, for the usage reporter; null where it counts none
 */
record SessionRequest(
        String node,
        String peerAddress,
        long incarnation,
        long sessionNumber,
        String gossipHash,
        boolean isClosing,
        JsonNode usage) {}
