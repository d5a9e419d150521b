package mastdrift.peers;

import java.util.Map;

/**
 * The load that a gateway reports to its peers, several times a second.
 *
 * @param name name of the gateway
 * @param generation when it started, in microseconds of its own clock: a later start has a larger number
 * @param sequence grows with each digest of a generation
 * @param outstandingByHost outstanding requests at each host, by the host's uid; at most {@link #MAX_HOSTS} hosts,
 * those with the most requests
 * @param outstandingTotal outstanding requests at all hosts, also at those that {@code outstandingByHost} leaves out
 */
public record Digest(String name, long generation, long sequence, Map<String, Integer> outstandingByHost,
        int outstandingTotal) {

    /** Maximum number of hosts in a digest. */
    public static final int MAX_HOSTS = 1_024;
}
