package mastdrift.peers;

/**
 * What a gateway says of itself.
 *
 * @param name the gateway's, one for each of an installation
 * @param life tells one start of it from another: a later start has a larger number. Usually the start's Unix time in microseconds, but larger than any that
 *     the gateway or its peers remember, whatever the wall clock says
 * @param zone its data centre
 * @param build of the program
 * @param settings a fingerprint of what all gateways should have alike
 */
public record Member(String name, long life, String zone, String build, String settings) {

    /** Characters in each text, at most. */
    public static final int TEXT_MOST = 64;
}
