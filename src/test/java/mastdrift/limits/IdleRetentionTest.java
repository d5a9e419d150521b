package mastdrift.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class IdleRetentionTest {

    private static final long MOST = 4_000_000;

    private static IdleRetention after(int opened, int refused) {
        IdleRetention keep = new IdleRetention(MOST);
        for (int i = 0; i < opened; i++) {
            keep.opened(1000 + i, i < refused);
        }
        return keep;
    }

    @Property
    void theMoreAreTurnedAwayTheShorterAndNeverOutOfBounds(@ForAll @IntRange(max = 200) int opened, @ForAll @IntRange(max = 200) int refused) {
        long kept = after(opened, Math.min(opened, refused)).most(2000);
        assertTrue(kept >= IdleRetention.LEAST && kept <= MOST, "" + kept);
        if (refused < opened) {
            assertTrue(after(opened, refused + 1).most(2000) <= kept);
        }
    }

    @Test
    void aSingleOneIsNoFullTableAndAFifthIs() {
        assertTrue(after(1, 1).most(2000) < MOST && after(1, 1).most(2000) >= IdleRetention.LEAST);
        assertEquals(MOST, after(100, 0).most(2000));
        assertTrue(after(100, 1).most(2000) > 0.8 * MOST);
        assertEquals(IdleRetention.LEAST, after(100, 25).most(2000));
    }

    /** A host with a full queue turns away on every connection alike: giving connections back would cost handshakes and help nobody. */
    @Test
    void aFullQueueIsNoFullTable() {
        IdleRetention keep = after(100, 40);
        for (int i = 0; i < 100; i++) {
            keep.again(2000, i < 40);
        }
        assertEquals(MOST, keep.most(2000));
    }

    @Test
    void itComesBackOnceNobodyIsTurnedAway() {
        IdleRetention keep = after(100, 50);
        assertEquals(IdleRetention.LEAST, keep.most(2000));
        assertTrue(keep.most(40_000_000) > 0.95 * MOST);
        assertEquals(100_000, new IdleRetention(100_000).most(5));
    }

    /**
     * Fourteen gateways share hosts with room for ten connections each, four of them hold nearly all and open hardly any: those that come
     * new find room, which none would if idle ones stayed for as long as hosts allow.
     */
    @Test
    void gatewaysThatHoldConnectionsGiveThemBackToThoseThatHaveNone() {
        int refusedLate = play(true);
        int keptLate = play(false);
        assertTrue(refusedLate * 3 < keptLate, refusedLate + " turned away, " + keptLate + " where idle ones are kept");
    }

    /** Requests of 50 ms at random hosts; how many new connections were turned away in the last 5 of 10 s. */
    private static int play(boolean gives) {
        int gateways = 14;
        int hosts = 20;
        SplittableRandom random = new SplittableRandom(7);
        IdleRetention[] keeps = new IdleRetention[gateways];
        long[][][] until = new long[gateways][hosts][10];  // busy until, 0 for no connection
        for (int g = 0; g < gateways; g++) {
            keeps[g] = new IdleRetention(MOST);
            for (int h = 0; g < 4 && h < hosts; h++) {
                until[g][h][0] = until[g][h][1] = 1;
            }
        }
        int late = 0;
        for (long now = 1; now < 10_000_000; now += 1_500) {
            int g = random.nextInt(gateways);
            int h = random.nextInt(hosts);
            int held = 0;
            for (int other = 0; other < gateways; other++) {
                long most = gives ? keeps[other].most(now) : MOST;
                for (int c = 0; c < 10; c++) {
                    until[other][h][c] = until[other][h][c] > 0 && now - until[other][h][c] > most ? 0 : until[other][h][c];
                    held += until[other][h][c] > 0 ? 1 : 0;
                }
            }
            int idle = -1;
            int none = -1;
            for (int c = 0; c < 10; c++) {
                idle = until[g][h][c] > 0 && until[g][h][c] <= now ? c : idle;
                none = until[g][h][c] == 0 ? c : none;
            }
            if (idle >= 0) {
                until[g][h][idle] = now + 50_000;
            } else if (none >= 0) {
                boolean full = held >= 10;
                keeps[g].opened(now, full);
                until[g][h][none] = full ? 0 : now + 50_000;
                late += full && now > 5_000_000 ? 1 : 0;
            }
        }
        return late;
    }
}
