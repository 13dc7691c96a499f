package bramblespool.raft;

/** Answers one request, by exactly one of these calls. */
interface ResponseCallback {
    void respond(RaftResponse response);

    /** Gives no answer: the sender sees what it sees when a message is lost. */
    void refuse();
}
