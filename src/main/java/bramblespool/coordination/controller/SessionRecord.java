package bramblespool.coordination.controller;

/**
 * A session as gossip carries it.
 *
 * @param controllerAddress peer address of the controller that has the session
 * @param proxyAddress peer address of the proxy
 */
record SessionRecord(String controllerAddress, String proxyAddress, boolean isOpen) {}
