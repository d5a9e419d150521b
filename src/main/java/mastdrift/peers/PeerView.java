package mastdrift.peers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.Balancer;

/**
 * The outstanding requests of the peers by host, according to their recent digests.
 *
 * <p>Only the newest digest of each peer is kept, unchanged; {@link #tick} recomputes the sums from them, so that
 * errors can't accumulate: a wrong value is replaced with the next digest, an old one expires. Costs one step for each
 * host in each peer's digest, once a tick.
 *
 * <p>The age of a digest counts from its arrival, on the local clock, because a peer's clock may be anything. A digest
 * has full weight for one period, then a linearly decreasing one until it is three periods old: requests don't last as
 * long as that.
 *
 * <p>Peers may report false numbers. A peer counts for at most {@link #MAX_REQUESTS_PER_HOST} requests at one host,
 * since an honest module has no more there than its part of all its outstanding requests, or two. All of a peer's
 * requests together count for at most four times the median of all totals, or four times the local total where that is
 * more, so that half of the peers have to report the same false numbers before the others' load is drowned out.
 * Negative counts are taken as 0.
 */
public final class PeerView implements Balancer.Elsewhere {

    /** Maximum number of peers; digests of further ones are rejected. */
    public static final int MAX_PEERS = 2_000;
    /** Maximum number of digests that a gateway receives per second; with more peers each one sends less often. */
    public static final int MAX_DIGESTS_PER_SECOND = 400;
    /** Maximum number of requests at one host that one peer counts for. */
    public static final int MAX_REQUESTS_PER_HOST = 8;
    private static final long MIN_INTERVAL_MICROS = 250_000;
    private static final double MAX_TOTAL_TO_MEDIAN_RATIO = 4;
    private static final int MAX_AGE_PERIODS = 3;

    /** Why a digest is rejected. */
    public enum RejectReason {
        /** It has this gateway's name: another gateway has the same name, or the own digest came back. */
        OWN_NAME,
        /** It has been received before, or a later one has. */
        REPLAYED,
        /** It is of an earlier start of the peer than the one that is known. */
        OLDER_GENERATION,
        /** The maximum number of peers is reached. */
        TOO_MANY,
        /** It has more hosts than a digest may hold. */
        TOO_LARGE
    }

    private record ReceivedDigest(Digest digest, long receivedMicros, long firstHeardMicros) { }

    /**
     * A peer, as shown to operators.
     *
     * @param name its name
     * @param generation its generation: when it started, by its own clock
     * @param firstHeardMicros when it was first heard in that generation, by the local clock
     * @param lastHeardMicros when it was last heard
     * @param outstandingTotal the outstanding requests that it reported
     */
    public record Peer(String name, long generation, long firstHeardMicros, long lastHeardMicros,
            int outstandingTotal) { }

    private final String ownName;
    private final Map<String, ReceivedDigest> digestsByPeer = new TreeMap<>();
    private Map<String, Double> outstandingByHost = Map.of();
    private double outstandingTotal;

    /** For the gateway with this name. */
    public PeerView(String ownName) {
        this.ownName = ownName;
    }

    /**
     * The interval between digests in microseconds for this many peers: 250 ms, or longer where all would receive more
     * than {@link #MAX_DIGESTS_PER_SECOND} digests a second.
     */
    public static long digestIntervalMicros(int peers) {
        return Math.max(MIN_INTERVAL_MICROS, 1_000_000L * peers / MAX_DIGESTS_PER_SECOND);
    }

    /** Takes in a digest, which counts from the next tick on. Returns null if it is accepted. */
    public RejectReason addDigest(long nowMicros, Digest digest) {
        if (digest.name().equals(ownName)) {
            return RejectReason.OWN_NAME;
        }
        if (digest.outstandingByHost().size() > Digest.MAX_HOSTS) {
            return RejectReason.TOO_LARGE;
        }
        ReceivedDigest previous = digestsByPeer.get(digest.name());
        if (previous == null && digestsByPeer.size() >= MAX_PEERS) {
            return RejectReason.TOO_MANY;
        }
        if (previous != null && digest.generation() < previous.digest.generation()) {
            return RejectReason.OLDER_GENERATION;
        }
        boolean sameGeneration = previous != null && digest.generation() == previous.digest.generation();
        if (sameGeneration && digest.sequence() <= previous.digest.sequence()) {
            return RejectReason.REPLAYED;
        }
        digestsByPeer.put(digest.name(),
                new ReceivedDigest(digest, nowMicros, sameGeneration ? previous.firstHeardMicros : nowMicros));
        return null;
    }

    /**
     * Recomputes the sums, given the number of this gateway's own outstanding requests. Removes peers that were not
     * heard for ten minutes.
     */
    public void tick(long nowMicros, int ownOutstandingTotal) {
        digestsByPeer.values().removeIf(each -> nowMicros - each.receivedMicros > 600_000_000L);
        long intervalMicros = digestIntervalMicros(digestsByPeer.size());
        List<ReceivedDigest> fresh = new ArrayList<>();
        for (ReceivedDigest each : digestsByPeer.values()) {
            if (nowMicros - each.receivedMicros < MAX_AGE_PERIODS * intervalMicros) {
                fresh.add(each);
            }
        }
        double[] totals = new double[fresh.size() + 1];
        totals[0] = ownOutstandingTotal;
        for (int i = 0; i < fresh.size(); i++) {
            totals[i + 1] = Math.max(0, fresh.get(i).digest.outstandingTotal());
        }
        Arrays.sort(totals);
        double maxPerPeer = MAX_TOTAL_TO_MEDIAN_RATIO
                * Math.max(Math.max(1, ownOutstandingTotal), totals[totals.length / 2]);
        Map<String, Double> sums = new HashMap<>();
        outstandingTotal = 0;
        for (ReceivedDigest each : fresh) {
            double weight = Math.min(1, (MAX_AGE_PERIODS - (nowMicros - each.receivedMicros) / (double) intervalMicros)
                    / (MAX_AGE_PERIODS - 1));
            double boundedSum = 0;
            for (int count : each.digest.outstandingByHost().values()) {
                boundedSum += clampCount(count);
            }
            double reportedTotal = Math.max(boundedSum, Math.max(0, each.digest.outstandingTotal()));
            double scale = weight * Math.min(1, maxPerPeer / Math.max(1, boundedSum));
            each.digest.outstandingByHost().forEach((uid, count) -> {
                if (count > 0) {
                    sums.merge(uid, scale * clampCount(count), Double::sum);
                }
            });
            outstandingTotal += weight * Math.min(maxPerPeer, reportedTotal);
        }
        outstandingByHost = sums;
    }

    private static int clampCount(int count) {
        return Math.max(0, Math.min(MAX_REQUESTS_PER_HOST, count));
    }

    @Override
    public double out(String uid) {
        return outstandingByHost.getOrDefault(uid, 0.0);
    }

    @Override
    public double total() {
        return outstandingTotal;
    }

    /** The peers that have been heard, by name. */
    public List<Peer> peers() {
        return digestsByPeer.values().stream().map(each -> new Peer(each.digest.name(), each.digest.generation(),
                each.firstHeardMicros, each.receivedMicros, each.digest.outstandingTotal())).toList();
    }
}
