package mastdrift.engine;

import java.util.StringJoiner;

/** The changes of endpoints' service that one list makes, in words for a log: so many by name, the rest counted. */
final class Transitions {

    static final int NAMED_MOST = 12;

    /** Why an endpoint's service ended. */
    enum Cause {
        DRAINING, REMOVED,
        /** A whole list doesn't name it. */
        LEFT_OUT,
        /** Another start, or another address, of the same server is in service. */
        REPLACED
    }

    private StringJoiner words = new StringJoiner(", ");
    private int count;

    void began(String uid) {
        add(uid + " in service");
    }

    void ended(String uid, Cause cause) {
        add(uid + " ended: " + cause);
    }

    private void add(String word) {
        if (++count <= NAMED_MOST) {
            words.add(word);
        }
    }

    /** All since the last call. */
    String take() {
        if (count == 0) {
            return "";
        }
        String all = count > NAMED_MOST ? words + " and " + (count - NAMED_MOST) + " more" : words.toString();
        words = new StringJoiner(", ");
        count = 0;
        return all;
    }
}
