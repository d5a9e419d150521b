package mastdrift.peers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a gateway has out itself, for its digests. */
public final class OwnWork {

    private final String name;
    private final long generation;
    private final Map<String, Integer> out = new HashMap<>();
    private int total;
    private long sequence;

    /** Of a gateway that started at that time. */
    public OwnWork(String name, long generation) {
        this.name = name;
        this.generation = generation;
    }

    /** A request goes to a host. */
    public void sent(String uid) {
        out.merge(uid, 1, Integer::sum);
        total++;
    }

    /** It is out no more; exactly once for each that was sent. */
    public void ended(String uid) {
        out.computeIfPresent(uid, (host, count) -> count > 1 ? count - 1 : null);
        total--;
    }

    /** The next digest: where there are more hosts than it holds, those with the most work. */
    public Digest digest() {
        Map<String, Integer> told;
        if (out.size() <= Digest.HOSTS_MOST) {
            told = Map.copyOf(out);
        } else {
            told = new LinkedHashMap<>();
            out.entrySet().stream().sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder())
                    .thenComparing(Map.Entry.comparingByKey())).limit(Digest.HOSTS_MOST)
                    .forEach(entry -> told.put(entry.getKey(), entry.getValue()));
        }
        return new Digest(name, generation, ++sequence, told, total);
    }
}
