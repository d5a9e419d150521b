package mastdrift.radius;

import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;

/** Which server holds a conversation: the State of its last Access-Challenge names it (RFC 2865, 5.24; RFC 5080, 2.1.1). The
    charger's next Access-Request brings that State, and no other server could make anything of it. */
public final class ConversationTable {

    /** A conversation's server, by uid, and the key that its first request had. */
    public record Conversation(String uid, long key) { }

    private record State(byte[] value) {

        @Override
        public boolean equals(Object other) {
            return other instanceof State state && Arrays.equals(value, state.value);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(value);
        }
    }

    private record Entry(Conversation held, long until) { }

    private final int most;
    private final long kept;
    private final LinkedHashMap<State, Entry> entries = new LinkedHashMap<>();

    /** So many at most, each for so many microseconds after its last challenge; beyond that the eldest is forgotten, and its
        next request goes to any server. */
    public ConversationTable(int most, long kept) {
        this.most = most;
        this.kept = kept;
    }

    /** A server has challenged with this State. */
    public void challenged(long now, byte[] state, Conversation held) {
        entries.remove(new State(state));
        entries.put(new State(state), new Entry(held, now + kept));
        for (Iterator<Entry> eldest = entries.values().iterator(); eldest.hasNext(); ) {
            if (eldest.next().until > now && entries.size() <= most) {
                return;
            }
            eldest.remove();
        }
    }

    /** Who holds it; null where nobody is known to. */
    public Conversation held(long now, byte[] state) {
        Entry entry = entries.get(new State(state));
        return entry == null || entry.until <= now ? null : entry.held;
    }

    /** Conversations that are remembered. */
    public int size() {
        return entries.size();
    }
}
