package bramblespool.raft;

/** What has come so far of something that is sent in parts. */
final class Incoming {
    final String id;
    /** Who sends it. */
    String from;

    private final StringBuilder data = new StringBuilder();

    Incoming(String id, String from) {
        this.id = id;
        this.from = from;
    }

    int length() {
        return data.length();
    }

    /** Takes a part that begins where the last one ended; any other has come before, or out of turn. */
    void add(int offset, String part) {
        if (offset == data.length()) {
            data.append(part);
        }
    }

    String whole() {
        return data.toString();
    }
}
