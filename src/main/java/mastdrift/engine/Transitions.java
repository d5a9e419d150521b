package mastdrift.engine;

import java.util.StringJoiner;

/**
 * Collects the changes of endpoints' service that a host list makes, as text for a log. Up to {@link #MAX_NAMED} are
 * listed by name, the rest are counted.
 */
final class Transitions {

    static final int MAX_NAMED = 12;

    /** Why an endpoint's service ended. */
    enum Cause {
        DRAINING, REMOVED,
        /** A complete host list doesn't name it. */
        LEFT_OUT,
        /** Another start or another address of the same server is in service. */
        REPLACED
    }

    private StringJoiner descriptions = new StringJoiner(", ");
    private int count;

    void addInService(String uid) {
        add(uid + " in service");
    }

    void addEnded(String uid, Cause cause) {
        add(uid + " out of service: " + cause);
    }

    private void add(String description) {
        if (++count <= MAX_NAMED) {
            descriptions.add(description);
        }
    }

    /** The changes since the last call; empty if there were none. */
    String take() {
        if (count == 0) {
            return "";
        }
        String text = count > MAX_NAMED ? descriptions + " and " + (count - MAX_NAMED) + " more"
                : descriptions.toString();
        descriptions = new StringJoiner(", ");
        count = 0;
        return text;
    }
}
