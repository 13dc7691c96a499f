package bramblespool.raft;

/** What a follower has received so far of something that comes in chunks. Confined to the event loop. */
final class ChunkAssembler {
    private final String transferId;
    private final StringBuilder data = new StringBuilder();
    private String senderId;

    ChunkAssembler(String transferId, String senderId) {
        this.transferId = transferId;
        this.senderId = senderId;
    }

    boolean isFor(String otherTransferId) {
        return transferId.equals(otherTransferId);
    }

    /** Answers whether another member than before goes on with the transfer. */
    boolean changeSender(String newSenderId) {
        boolean isOther = !senderId.equals(newSenderId);
        senderId = newSenderId;
        return isOther;
    }

    int length() {
        return data.length();
    }

    /** Takes a chunk that begins where the last one ended; any other has come before, or out of turn. */
    void add(int offset, String chunk) {
        if (offset == data.length()) {
            data.append(chunk);
        }
    }

    String assembled() {
        return data.toString();
    }
}
