package mastdrift.peers;

/**
 * A member: a gateway in one start of it, as it describes itself.
 *
 * @param name the gateway's, one for each of an installation
 * @param generation tells one start of it from another: a later start has a larger number. Usually the start's Unix time in microseconds, but larger than any that
 *     the gateway or its peers remember, whatever the wall clock says. Not SWIM's incarnation, which counts within one start ({@link Update})
 * @param zone its data centre
 * @param build of the program
 * @param settings a fingerprint of what all gateways should have alike
 */
public record Member(String name, long generation, String zone, String build, String settings) {

    /** Characters in each text, at most. */
    public static final int TEXT_MOST = 64;
}
