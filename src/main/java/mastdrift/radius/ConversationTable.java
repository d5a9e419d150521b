package mastdrift.radius;

import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * Maps the State attribute of an Access-Challenge to the server that sent it (RFC 2865, 5.24; RFC 5080, 2.1.1). The
 * client's next Access-Request carries that State, which is meaningless to any other server.
 */
public final class ConversationTable {

    /** The server in a conversation, and the routing key of the conversation's first request. */
    public record Conversation(ServerInstance server, long key) { }

    /** A State as a client knows it: two servers may give the same one to different clients. */
    private record State(byte[] clientAddress, byte[] value) {

        @Override
        public boolean equals(Object other) {
            return other instanceof State state && Arrays.equals(value, state.value) && Arrays.equals(clientAddress, state.clientAddress);
        }

        @Override
        public int hashCode() {
            return 31 * Arrays.hashCode(clientAddress) + Arrays.hashCode(value);
        }
    }

    private record Entry(Conversation conversation, long expiresAtMicros) { }

    private final int maxEntries;
    private final long retentionMicros;
    private final LinkedHashMap<State, Entry> entries = new LinkedHashMap<>();

    /**
     * Holds up to {@code maxEntries} conversations, each for {@code retentionMicros} microseconds after its last
     * challenge. When the table is full the oldest is evicted, and its next request may go to any server.
     */
    public ConversationTable(int maxEntries, long retentionMicros) {
        this.maxEntries = maxEntries;
        this.retentionMicros = retentionMicros;
    }

    /** Records that a server has sent an Access-Challenge with this State to a client. */
    public void recordChallenge(long nowMicros, byte[] clientAddress, byte[] state, Conversation conversation) {
        State key = new State(clientAddress, state);
        entries.remove(key);
        entries.put(key, new Entry(conversation, nowMicros + retentionMicros));
        for (Iterator<Entry> oldestFirst = entries.values().iterator(); oldestFirst.hasNext(); ) {
            if (oldestFirst.next().expiresAtMicros > nowMicros && entries.size() <= maxEntries) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /** The conversation of a client's State, or null if it is unknown or expired. */
    public Conversation find(long nowMicros, byte[] clientAddress, byte[] state) {
        Entry entry = entries.get(new State(clientAddress, state));
        return entry == null || entry.expiresAtMicros <= nowMicros ? null : entry.conversation;
    }

    /** Number of entries held, including expired ones that have not been removed yet. */
    public int size() {
        return entries.size();
    }
}
