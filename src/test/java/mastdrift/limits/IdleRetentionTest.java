package mastdrift.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class IdleRetentionTest {

    private static final long MAX_RETENTION_MICROS = 4_000_000;

    private static IdleRetention afterNewConnections(int opened, int refused) {
        IdleRetention retention = new IdleRetention(MAX_RETENTION_MICROS);
        for (int i = 0; i < opened; i++) {
            retention.recordOnNewConnection(1000 + i, i < refused);
        }
        return retention;
    }

    @Property
    void retentionFallsWithRefusalsWithinBounds(@ForAll @IntRange(max = 200) int opened,
            @ForAll @IntRange(max = 200) int refused) {
        long retentionMicros = afterNewConnections(opened, Math.min(opened, refused)).retentionMicros(2000);
        assertTrue(retentionMicros >= IdleRetention.MIN_RETENTION_MICROS && retentionMicros <= MAX_RETENTION_MICROS,
                "" + retentionMicros);
        if (refused < opened) {
            assertTrue(afterNewConnections(opened, refused + 1).retentionMicros(2000) <= retentionMicros);
        }
    }

    @Test
    void retentionIsShortestWhenAFifthAreRefusedButNotForASingleRefusal() {
        assertTrue(afterNewConnections(1, 1).retentionMicros(2000) < MAX_RETENTION_MICROS
                && afterNewConnections(1, 1).retentionMicros(2000) >= IdleRetention.MIN_RETENTION_MICROS);
        assertEquals(MAX_RETENTION_MICROS, afterNewConnections(100, 0).retentionMicros(2000));
        assertTrue(afterNewConnections(100, 1).retentionMicros(2000) > 0.8 * MAX_RETENTION_MICROS);
        assertEquals(IdleRetention.MIN_RETENTION_MICROS, afterNewConnections(100, 25).retentionMicros(2000));
    }

    /**
     * A host with a full request queue refuses on all connections alike: closing connections would cost handshakes and
     * free nothing.
     */
    @Test
    void refusalsOnAllConnectionsAlikeDoNotShortenRetention() {
        IdleRetention retention = afterNewConnections(100, 40);
        for (int i = 0; i < 100; i++) {
            retention.recordOnEstablishedConnection(2000, i < 40);
        }
        assertEquals(MAX_RETENTION_MICROS, retention.retentionMicros(2000));
    }

    @Test
    void retentionRecoversAfterRefusalsEnd() {
        IdleRetention retention = afterNewConnections(100, 50);
        assertEquals(IdleRetention.MIN_RETENTION_MICROS, retention.retentionMicros(2000));
        assertTrue(retention.retentionMicros(40_000_000) > 0.95 * MAX_RETENTION_MICROS);
        assertEquals(100_000, new IdleRetention(100_000).retentionMicros(5));
    }

    /**
     * Fourteen gateways share hosts with room for ten connections each; four of the gateways hold nearly all of them
     * and rarely open one. The other gateways must find room, which they would not if idle connections were kept for as
     * long as hosts allow.
     */
    @Test
    void idleConnectionsAreReleasedForGatewaysThatHaveNone() {
        int refusedWithRetention = simulateRefusals(true);
        int refusedWithIdleKept = simulateRefusals(false);
        assertTrue(refusedWithRetention * 3 < refusedWithIdleKept,
                refusedWithRetention + " refused with retention, " + refusedWithIdleKept
                + " with idle connections kept");
    }

    /** Requests of 50 ms at random hosts. Returns how many new connections were refused in the last 5 of 10 s. */
    private static int simulateRefusals(boolean adaptsRetention) {
        int gateways = 14;
        int hosts = 20;
        SplittableRandom random = new SplittableRandom(7);
        IdleRetention[] retentions = new IdleRetention[gateways];
        long[][][] busyUntil = new long[gateways][hosts][10];  // in use until; 0 for no connection
        for (int g = 0; g < gateways; g++) {
            retentions[g] = new IdleRetention(MAX_RETENTION_MICROS);
            for (int h = 0; g < 4 && h < hosts; h++) {
                busyUntil[g][h][0] = busyUntil[g][h][1] = 1;
            }
        }
        int refusedInSecondHalf = 0;
        for (long now = 1; now < 10_000_000; now += 1_500) {
            int g = random.nextInt(gateways);
            int h = random.nextInt(hosts);
            int held = 0;
            for (int other = 0; other < gateways; other++) {
                long retentionMicros = adaptsRetention ? retentions[other].retentionMicros(now) : MAX_RETENTION_MICROS;
                for (int c = 0; c < 10; c++) {
                    busyUntil[other][h][c] = busyUntil[other][h][c] > 0
                            && now - busyUntil[other][h][c] > retentionMicros ? 0 : busyUntil[other][h][c];
                    held += busyUntil[other][h][c] > 0 ? 1 : 0;
                }
            }
            int idle = -1;
            int unused = -1;
            for (int c = 0; c < 10; c++) {
                idle = busyUntil[g][h][c] > 0 && busyUntil[g][h][c] <= now ? c : idle;
                unused = busyUntil[g][h][c] == 0 ? c : unused;
            }
            if (idle >= 0) {
                busyUntil[g][h][idle] = now + 50_000;
            } else if (unused >= 0) {
                boolean full = held >= 10;
                retentions[g].recordOnNewConnection(now, full);
                busyUntil[g][h][unused] = full ? 0 : now + 50_000;
                refusedInSecondHalf += full && now > 5_000_000 ? 1 : 0;
            }
        }
        return refusedInSecondHalf;
    }
}
