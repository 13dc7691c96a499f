package bramblespool.raft;

/** What has come so far of something that is sent in parts. */
final class ChunkAssembler {
    final String transferId;
    /** Who sends it. */
    String senderId;

    private final StringBuilder data = new StringBuilder();

    ChunkAssembler(String transferId, String senderId) {
        this.transferId = transferId;
        this.senderId = senderId;
    }

    int length() {
        return data.length();
    }

    /** Takes a part that begins where the last one ended; any other has come before, or out of turn. */
    void add(int offset, String chunk) {
        if (offset == data.length()) {
            data.append(chunk);
        }
    }

    String assembled() {
        return data.toString();
    }
}
