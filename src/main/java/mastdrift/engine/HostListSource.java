package mastdrift.engine;

/**
 * Where a pool gets its host lists, as far as the decision module can control that. Results arrive by {@link
 * Pool#updateHosts} or {@link Pool#hostListFailed}.
 */
public interface HostListSource {

    /** A source that pushes its lists and can't be queried. */
    HostListSource PUSH_ONLY = new HostListSource() {
        @Override
        public void watch(boolean active) { }

        @Override
        public void fetch() { }
    };

    /** Subscribes to changes, or ends the subscription. */
    void watch(boolean active);

    /** Requests the full list, once. */
    void fetch();

    /** Whether the latest list may still be relied on. */
    default boolean isListValid() {
        return true;
    }
}
