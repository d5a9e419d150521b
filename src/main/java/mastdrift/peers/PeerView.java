package mastdrift.peers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.Balancer;

/**
 * The work that peers have out, by host, as far as they have told it lately.
 *
 * <p>A digest is kept as it came, the newest of each peer; {@link #tick} puts them together anew, so that nothing can drift: what is wrong is
 * gone with the next digest, what is old is gone with time. Costs one step for each host that a peer tells of, once a tick.
 *
 * <p>Ages are by the time at which a digest came, on the own clock: a peer's clock may be anything. A digest counts whole for a period and then less,
 * evenly, until it is three periods old: work lasts less than that.
 *
 * <p>Peers may lie. At one host a peer counts for {@link #HOST_MOST} at most, since an honest module holds no more there than its part of all that it has
 * out, or two; and all of a peer together for four times the median of all, or of what is out from here where that is more, so that half of
 * the peers have to lie alike before the others' work counts for nothing. What is negative counts as nothing.
 */
public final class PeerView implements Balancer.Elsewhere {

    /** Peers, at most; further ones are not listened to. */
    public static final int PEERS_MOST = 2_000;
    /** Digests a second that a gateway hears at most; with more peers each tells less often. */
    public static final int HEARD_MOST = 400;
    /** Requests at one host that one peer counts for. */
    public static final int HOST_MOST = 8;
    private static final long LEAST_EVERY = 250_000;
    private static final double TOTAL_TIMES = 4;
    private static final int KEPT_PERIODS = 3;

    /** Why a digest isn't taken. */
    public enum Refused {
        /** The own name: another gateway has it too, or the own digest came back. */
        OWN_NAME,
        /** It was heard before, or a later one was. */
        REPLAYED,
        /** Of a start of the peer before the one that is known. */
        OLDER_GENERATION,
        /** As many peers as are listened to have spoken. */
        TOO_MANY,
        /** It tells of more hosts than a digest holds. */
        TOO_LARGE
    }

    private record Told(Digest digest, long at, long since) { }

    /**
     * A peer, for operators.
     *
     * @param name of it
     * @param generation its start, on its clock
     * @param since when it was first heard in that generation, on the own clock
     * @param at when it was last heard
     * @param total requests that it said to have out
     */
    public record Peer(String name, long generation, long since, long at, int total) { }

    private final String own;
    private final Map<String, Told> told = new TreeMap<>();
    private Map<String, Double> out = Map.of();
    private double total;

    /** Of the gateway with this name. */
    public PeerView(String own) {
        this.own = own;
    }

    /** How often to tell, in microseconds, among so many peers: at least four times a second, unless all would hear more than
        {@link #HEARD_MOST} digests a second. */
    public static long every(int peers) {
        return Math.max(LEAST_EVERY, 1_000_000L * peers / HEARD_MOST);
    }

    /** A digest has come; null where it is taken. Counts from the next tick on. */
    public Refused told(long now, Digest digest) {
        if (digest.name().equals(own)) {
            return Refused.OWN_NAME;
        }
        if (digest.out().size() > Digest.HOSTS_MOST) {
            return Refused.TOO_LARGE;
        }
        Told before = told.get(digest.name());
        if (before == null && told.size() >= PEERS_MOST) {
            return Refused.TOO_MANY;
        }
        if (before != null && digest.generation() < before.digest.generation()) {
            return Refused.OLDER_GENERATION;
        }
        boolean same = before != null && digest.generation() == before.digest.generation();
        if (same && digest.sequence() <= before.digest.sequence()) {
            return Refused.REPLAYED;
        }
        told.put(digest.name(), new Told(digest, now, same ? before.since : now));
        return null;
    }

    /** Puts together what counts now, beside so many requests that are out from here. Forgets who was not heard for ten minutes. */
    public void tick(long now, int ownTotal) {
        told.values().removeIf(each -> now - each.at > 600_000_000L);
        long every = every(told.size());
        List<Told> fresh = new ArrayList<>();
        for (Told each : told.values()) {
            if (now - each.at < KEPT_PERIODS * every) {
                fresh.add(each);
            }
        }
        double[] totals = new double[fresh.size() + 1];
        totals[0] = ownTotal;
        for (int i = 0; i < fresh.size(); i++) {
            totals[i + 1] = Math.max(0, fresh.get(i).digest.total());
        }
        Arrays.sort(totals);
        double most = TOTAL_TIMES * Math.max(Math.max(1, ownTotal), totals[totals.length / 2]);
        Map<String, Double> sums = new HashMap<>();
        total = 0;
        for (Told each : fresh) {
            double weight = Math.min(1, (KEPT_PERIODS - (now - each.at) / (double) every) / (KEPT_PERIODS - 1));
            double said = 0;
            for (int count : each.digest.out().values()) {
                said += bounded(count);
            }
            double all = Math.max(said, Math.max(0, each.digest.total()));
            double scale = weight * Math.min(1, most / Math.max(1, said));
            each.digest.out().forEach((uid, count) -> {
                if (count > 0) {
                    sums.merge(uid, scale * bounded(count), Double::sum);
                }
            });
            total += weight * Math.min(most, all);
        }
        out = sums;
    }

    private static int bounded(int count) {
        return Math.max(0, Math.min(HOST_MOST, count));
    }

    @Override
    public double out(String address) {
        return out.getOrDefault(address, 0.0);
    }

    @Override
    public double total() {
        return total;
    }

    /** Who has been heard, by name. */
    public List<Peer> peers() {
        return told.values().stream().map(each -> new Peer(each.digest.name(), each.digest.generation(), each.since, each.at,
                each.digest.total())).toList();
    }
}
