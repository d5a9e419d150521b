package mastdrift.peers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Counts this gateway's own outstanding requests by host, for its digests. */
public final class LocalLoad {

    private final String name;
    private final long generation;
    private final Map<String, Integer> outstandingByHost = new HashMap<>();
    private int outstandingTotal;
    private long sequence;

    /** For the gateway of this name, in the generation of its current start. */
    public LocalLoad(String name, long generation) {
        this.name = name;
        this.generation = generation;
    }

    /** Counts a request that was sent to a host. */
    public void requestSent(String uid) {
        outstandingByHost.merge(uid, 1, Integer::sum);
        outstandingTotal++;
    }

    /** Counts a request as ended. To be called exactly once for each {@link #requestSent}. */
    public void requestEnded(String uid) {
        outstandingByHost.computeIfPresent(uid, (host, count) -> count > 1 ? count - 1 : null);
        outstandingTotal--;
    }

    /**
     * Returns the next digest. Where there are more hosts than it holds, it has those with the most outstanding
     * requests.
     */
    public Digest nextDigest() {
        Map<String, Integer> reported;
        if (outstandingByHost.size() <= Digest.MAX_HOSTS) {
            reported = Map.copyOf(outstandingByHost);
        } else {
            reported = new LinkedHashMap<>();
            outstandingByHost.entrySet().stream()
                    .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder())
                            .thenComparing(Map.Entry.comparingByKey()))
                    .limit(Digest.MAX_HOSTS)
                    .forEach(entry -> reported.put(entry.getKey(), entry.getValue()));
        }
        return new Digest(name, generation, ++sequence, reported, outstandingTotal);
    }
}
