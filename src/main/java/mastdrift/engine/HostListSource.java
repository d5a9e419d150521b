package mastdrift.engine;

/** Who tells a pool its hosts, as far as the module may ask; it answers by {@link Pool#learn} or {@link Pool#unheard}. */
public interface HostListSource {

    /** A source that tells by itself and can't be asked. */
    HostListSource TELLS = new HostListSource() {
        @Override
        public void watch(boolean active) { }

        @Override
        public void fetch() { }
    };

    /** Subscribes to changes, or ends that. */
    void watch(boolean active);

    /** Asks for the whole list, once. */
    void fetch();

    /** Whether the list that it told last may be relied on by now. */
    default boolean listHolds() {
        return true;
    }
}
