package mastdrift.peers;

import java.util.Map;

/**
 * What a gateway tells of itself, some times a second.
 *
 * @param name of the gateway
 * @param generation when it started, in microseconds on its own clock: a later start has a larger number
 * @param sequence grows with each digest of a generation
 * @param out requests out at each host by its uid; at most {@link #HOSTS_MOST}, the most burdened ones
 * @param total requests out at all hosts, also at those that {@code out} leaves away
 */
public record Digest(String name, long generation, long sequence, Map<String, Integer> out, int total) {

    /** Hosts that a digest tells of, at most. */
    public static final int HOSTS_MOST = 1_024;
}
