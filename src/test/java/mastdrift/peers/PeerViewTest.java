package mastdrift.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import mastdrift.peers.PeerView.Refused;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What peers tell, put together. */
class PeerViewTest {

    private static final long EVERY = 250_000;

    private static Digest digest(String name, long generation, long sequence, Map<String, Integer> out) {
        return new Digest(name, generation, sequence, out, out.values().stream().mapToInt(Integer::intValue).sum());
    }

    /** Honest peers, lost and late digests in any order: the view is the sum of each one's newest within a period. */
    @Property(tries = 100)
    void theViewIsTheSumOfWhatEachPeerLastSaid(@ForAll @IntRange(min = 1, max = 12) int peers, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PeerView view = new PeerView("own");
        Map<String, Digest> newest = new HashMap<>();
        for (int step = 1; step < 60; step++) {
            String name = "p" + random.nextInt(peers);
            Map<String, Integer> out = IntStream.range(0, random.nextInt(5)).boxed()
                    .collect(Collectors.toMap(i -> "h" + i, i -> 1 + random.nextInt(3)));
            Digest digest = digest(name, 1, random.nextInt(step), out);
            Digest before = newest.get(name);
            boolean news = before == null || digest.sequence() > before.sequence();
            assertEquals(news ? null : Refused.REPLAYED, view.told(1_000, digest));
            if (news) {
                newest.put(name, digest);
            }
        }
        view.tick(1_000, 20);
        for (int host = 0; host < 5; host++) {
            String uid = "h" + host;
            assertEquals(newest.values().stream().mapToInt(each -> each.out().getOrDefault(uid, 0)).sum(), view.out(uid), 1e-9);
        }
        assertEquals(newest.values().stream().mapToInt(Digest::total).sum(), view.total(), 1e-9);
    }

    /** Whole for a period, then less, nothing after three, whatever the peer's own clock says. */
    @ParameterizedTest
    @CsvSource({"0, 4", "250000, 4", "500000, 2", "625000, 1", "750000, 0", "9000000, 0"})
    void whatIsOldFades(long age, double expected) {
        PeerView view = new PeerView("own");
        assertNull(view.told(5_000_000, digest("p", 3_600_000_000L, 1, Map.of("h", 4))));
        view.tick(5_000_000 + age, 4);
        assertEquals(expected, view.out("h"), 1e-9);
        assertEquals(expected, view.total(), 1e-9);
    }

    /** One of five peers says something that can't be: what it makes of a host is bounded, and the others' digests count as before. */
    @ParameterizedTest
    @ValueSource(ints = {-5, Integer.MIN_VALUE, 30_000, Integer.MAX_VALUE})
    void aPeerThatLiesCountsForLittle(int lie) {
        PeerView view = new PeerView("own");
        for (int i = 0; i < 4; i++) {
            view.told(0, digest("p" + i, 1, 1, Map.of("h0", 1, "h1", 2)));
        }
        Map<String, Integer> out = IntStream.range(0, 1_000).boxed().collect(Collectors.toMap(i -> "h" + i, i -> lie));
        assertNull(view.told(0, new Digest("liar", 1, 1, out, lie)));
        view.tick(EVERY / 2, 3);
        assertTrue(view.out("h0") >= 4 && view.out("h0") <= 4 + PeerView.HOST_MOST, "h0 " + view.out("h0"));
        assertTrue(view.out("h1") - view.out("h0") == 4, "the others' difference");
        assertTrue(view.total() >= 12 && view.total() <= 12 + 4 * 3, "total " + view.total());
    }

    /** Two with one name, one's own name, an older start, more peers and larger digests than there may be. */
    @Test
    void whatIsNotTakenIsNamedAndChangesNothing() {
        PeerView view = new PeerView("own");
        assertEquals(Refused.OWN_NAME, view.told(0, digest("own", 9, 9, Map.of("h", 1))));
        assertNull(view.told(0, digest("twin", 20, 1, Map.of("h", 1))));
        assertEquals(Refused.OLDER_GENERATION, view.told(1, digest("twin", 10, 99, Map.of("h", 5))));
        assertNull(view.told(2, digest("twin", 30, 1, Map.of("h", 2))));
        assertEquals(2, view.peers().get(0).since(), "a new generation begins anew");
        Map<String, Integer> large = IntStream.range(0, Digest.HOSTS_MOST + 1).boxed().collect(Collectors.toMap(i -> "x" + i, i -> 1));
        assertEquals(Refused.TOO_LARGE, view.told(3, digest("large", 1, 1, large)));
        for (int i = 1; i < PeerView.PEERS_MOST; i++) {
            assertNull(view.told(4, digest("p" + i, 1, 1, Map.of())));
        }
        assertEquals(Refused.TOO_MANY, view.told(4, digest("one-more", 1, 1, Map.of())));
        view.tick(5, 0);
        assertEquals(2, view.out("h"), 1e-9);
        view.tick(601_000_000L, 0);
        assertNull(view.told(601_000_001L, digest("one-more", 1, 1, Map.of())), "who is silent for ten minutes makes room");
    }

    /** More hosts than a digest holds: the most burdened are told, and all are in the total. */
    @Test
    void ownWorkIsCountedAndBounded() {
        OwnWork work = new OwnWork("own", 7);
        for (int i = 0; i < 3_000; i++) {
            work.sent("h" + i);
        }
        work.sent("h2999");
        work.ended("h0");
        Digest digest = work.digest();
        assertEquals(Digest.HOSTS_MOST, digest.out().size());
        assertEquals(2, digest.out().get("h2999"));
        assertTrue(!digest.out().containsKey("h0"));
        assertEquals(3_000, digest.total());
        assertEquals(digest.sequence() + 1, work.digest().sequence());
    }

    @ParameterizedTest
    @CsvSource({"0, 250000", "100, 250000", "1000, 2500000"})
    void manyPeersTellLessOften(int peers, long every) {
        assertEquals(every, PeerView.every(peers));
    }
}
