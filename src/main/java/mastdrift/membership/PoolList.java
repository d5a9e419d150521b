package mastdrift.membership;

import java.util.List;

/** The hosts of one pool as they are in force, by uid, and what a source said that was left out. */
public record PoolList(String pool, List<Listed> hosts, List<String> leftOut) {

    /** Nobody. */
    public static PoolList empty(String pool) {
        return new PoolList(pool, List.of(), List.of());
    }

    /** Whether there is anybody to send to. */
    public boolean somebody() {
        return hosts.stream().anyMatch(Listed::takesNew);
    }
}
