package mastdrift.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import mastdrift.peers.PeerView.RejectReason;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Combining the digests of peers. */
class PeerViewTest {

    private static final long DIGEST_INTERVAL_MICROS = 250_000;

    private static Digest digest(String name, long generation, long sequence, Map<String, Integer> out) {
        return new Digest(name, generation, sequence, out, out.values().stream().mapToInt(Integer::intValue).sum());
    }

    /**
     * Correct peers, lost and late digests in any order: the view is the sum of each peer's newest digest within a
     * period.
     */
    @Property(tries = 100)
    void viewIsTheSumOfTheNewestDigestOfEachPeer(@ForAll @IntRange(min = 1, max = 12) int peers, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PeerView view = new PeerView("own");
        Map<String, Digest> newest = new HashMap<>();
        for (int step = 1; step < 60; step++) {
            String name = "p" + random.nextInt(peers);
            Map<String, Integer> out = IntStream.range(0, random.nextInt(5)).boxed()
                    .collect(Collectors.toMap(i -> "h" + i, i -> 1 + random.nextInt(3)));
            Digest digest = digest(name, 1, random.nextInt(step), out);
            Digest previous = newest.get(name);
            boolean isNewer = previous == null || digest.sequence() > previous.sequence();
            assertEquals(isNewer ? null : RejectReason.REPLAYED, view.addDigest(1_000, digest));
            if (isNewer) {
                newest.put(name, digest);
            }
        }
        view.tick(1_000, 20);
        for (int host = 0; host < 5; host++) {
            String uid = "h" + host;
            assertEquals(newest.values().stream().mapToInt(each -> each.outstandingByHost().getOrDefault(uid, 0)).sum(),
                    view.out(uid), 1e-9);
        }
        assertEquals(newest.values().stream().mapToInt(Digest::outstandingTotal).sum(), view.total(), 1e-9);
    }

    /** Full weight for a period, then less, none after three, whatever the peer's own clock says. */
    @ParameterizedTest
    @CsvSource({"0, 4", "250000, 4", "500000, 2", "625000, 1", "750000, 0", "9000000, 0"})
    void weightOfADigestDecreasesWithItsAge(long ageMicros, double expected) {
        PeerView view = new PeerView("own");
        assertNull(view.addDigest(5_000_000, digest("p", 3_600_000_000L, 1, Map.of("h", 4))));
        view.tick(5_000_000 + ageMicros, 4);
        assertEquals(expected, view.out("h"), 1e-9);
        assertEquals(expected, view.total(), 1e-9);
    }

    /**
     * One of five peers reports impossible numbers: its effect on a host is bounded, and the others' digests count as
     * before.
     */
    @ParameterizedTest
    @ValueSource(ints = {-5, Integer.MIN_VALUE, 30_000, Integer.MAX_VALUE})
    void effectOfAPeerThatReportsFalseCountsIsBounded(int falseCount) {
        PeerView view = new PeerView("own");
        for (int i = 0; i < 4; i++) {
            view.addDigest(0, digest("p" + i, 1, 1, Map.of("h0", 1, "h1", 2)));
        }
        Map<String, Integer> out = IntStream.range(0, 1_000).boxed()
                .collect(Collectors.toMap(i -> "h" + i, i -> falseCount));
        assertNull(view.addDigest(0, new Digest("liar", 1, 1, out, falseCount)));
        view.tick(DIGEST_INTERVAL_MICROS / 2, 3);
        assertTrue(view.out("h0") >= 4 && view.out("h0") <= 4 + PeerView.MAX_REQUESTS_PER_HOST, "h0 " + view.out("h0"));
        assertTrue(view.out("h1") - view.out("h0") == 4, "the other peers' difference");
        assertTrue(view.total() >= 12 && view.total() <= 12 + 4 * 3, "total " + view.total());
    }

    /**
     * Two peers with one name, the own name, an older generation, and more peers and larger digests than the maximum.
     */
    @Test
    void rejectedDigestIsReportedAndChangesNothing() {
        PeerView view = new PeerView("own");
        assertEquals(RejectReason.OWN_NAME, view.addDigest(0, digest("own", 9, 9, Map.of("h", 1))));
        assertNull(view.addDigest(0, digest("twin", 20, 1, Map.of("h", 1))));
        assertEquals(RejectReason.OLDER_GENERATION, view.addDigest(1, digest("twin", 10, 99, Map.of("h", 5))));
        assertNull(view.addDigest(2, digest("twin", 30, 1, Map.of("h", 2))));
        assertEquals(2, view.peers().get(0).firstHeardMicros(), "a new generation restarts the time of first contact");
        Map<String, Integer> large = IntStream.range(0, Digest.MAX_HOSTS + 1).boxed()
                .collect(Collectors.toMap(i -> "x" + i, i -> 1));
        assertEquals(RejectReason.TOO_LARGE, view.addDigest(3, digest("large", 1, 1, large)));
        for (int i = 1; i < PeerView.MAX_PEERS; i++) {
            assertNull(view.addDigest(4, digest("p" + i, 1, 1, Map.of())));
        }
        assertEquals(RejectReason.TOO_MANY, view.addDigest(4, digest("one-more", 1, 1, Map.of())));
        view.tick(5, 0);
        assertEquals(2, view.out("h"), 1e-9);
        view.tick(601_000_000L, 0);
        assertNull(view.addDigest(601_000_001L, digest("one-more", 1, 1, Map.of())),
                "a peer that was not heard for ten minutes is removed");
    }

    /** More hosts than a digest holds: those with the most requests are reported, and all count in the total. */
    @Test
    void digestHoldsTheHostsWithTheMostRequestsWhenThereAreTooMany() {
        LocalLoad load = new LocalLoad("own", 7);
        for (int i = 0; i < 3_000; i++) {
            load.requestSent("h" + i);
        }
        load.requestSent("h2999");
        load.requestEnded("h0");
        Digest digest = load.nextDigest();
        assertEquals(Digest.MAX_HOSTS, digest.outstandingByHost().size());
        assertEquals(2, digest.outstandingByHost().get("h2999"));
        assertTrue(!digest.outstandingByHost().containsKey("h0"));
        assertEquals(3_000, digest.outstandingTotal());
        assertEquals(digest.sequence() + 1, load.nextDigest().sequence());
    }

    @ParameterizedTest
    @CsvSource({"0, 250000", "100, 250000", "1000, 2500000"})
    void digestIntervalGrowsWithTheNumberOfPeers(int peers, long intervalMicros) {
        assertEquals(intervalMicros, PeerView.digestIntervalMicros(peers));
    }
}
