package bramblespool.coordination.controller;

/**
 * The owner of a singleton role asks the leader for a higher fencing token.
 *
 * @param fencingToken the token that the owner has
 * @param term the term in which the owner takes the receiver for the leader
 */
record RaiseFencingTokenRequest(String roleKey, long fencingToken, long term) {}
