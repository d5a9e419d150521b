package mastdrift.peers;

/**
 * A member of the group: one gateway process from its start to its end, as it describes itself.
 *
 * @param name the gateway's name, unique within an installation
 * @param generation tells one start of the gateway from another: a later start has a larger number. Usually the start's
 * Unix time in microseconds, but larger than any that the gateway or its peers remember, whatever the wall clock says.
 * Not SWIM's incarnation, which counts within one start ({@link Update})
 * @param zone its data centre
 * @param build version of the program
 * @param settingsFingerprint fingerprint of the settings that all gateways should have in common
 */
public record Member(String name, long generation, String zone, String build, String settingsFingerprint) {

    /** Maximum length of each text, in characters. */
    public static final int MAX_TEXT_CHARS = 64;
}
