package mastdrift.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How long a list may be used after each event of its watch and calls. */
class HostListLeaseTest {

    private static final long SECOND_MICROS = 1_000_000;
    private static final long VALIDITY_MICROS = 10 * SECOND_MICROS;

    private final HostListLease lease = new HostListLease(VALIDITY_MICROS);

    private void openWatch(long at) {
        lease.callStarted(at);
        lease.watchStarted(at);
        lease.lineReceived(at);
        lease.listAccepted();
    }

    @Test
    void listIsValidWhileItsWatchReceivesLines() {
        openWatch(0);
        for (long at = 0; at < 60 * SECOND_MICROS; at += 2 * SECOND_MICROS) {
            lease.lineReceived(at);
            assertTrue(lease.isValid(at + 2 * SECOND_MICROS));
        }
    }

    /** Guards against sending by a list whose successor was received and lost, through an outage of the registry too. */
    @Test
    void lostInputEndsTheLeaseUntilANewListIsAccepted() {
        openWatch(0);
        lease.inputLost(SECOND_MICROS);
        lease.watchEnded(SECOND_MICROS);
        assertFalse(lease.isValid(SECOND_MICROS));
        lease.callStarted(2 * SECOND_MICROS);
        lease.callFailed();
        lease.lineReceived(3 * SECOND_MICROS);
        assertFalse(lease.isValid(3 * SECOND_MICROS));
        lease.listAccepted();
        assertTrue(lease.isValid(3 * SECOND_MICROS));
        HostListLease pushed = HostListLease.pushedByAgent();
        pushed.inputLost(0);
        assertFalse(pushed.isValid(0));
    }

    @Test
    void listExpiresAfterItsWatchEndedUntilANewListIsAccepted() {
        openWatch(0);
        lease.watchEnded(SECOND_MICROS);
        lease.callStarted(SECOND_MICROS + 200_000);
        assertTrue(lease.isValid(SECOND_MICROS + HostListLease.WATCH_ENDED_VALIDITY_MICROS - 1));
        assertFalse(lease.isValid(SECOND_MICROS + HostListLease.WATCH_ENDED_VALIDITY_MICROS));
        lease.watchStarted(4 * SECOND_MICROS);
        assertFalse(lease.isValid(4 * SECOND_MICROS), "a response that has only started delivers nothing");
        lease.lineReceived(4 * SECOND_MICROS);
        lease.listAccepted();
        assertTrue(lease.isValid(4 * SECOND_MICROS));
    }

    @Test
    void validityAfterASilentWatchCountsFromItsLastLine() {
        openWatch(0);
        lease.lineReceived(2 * SECOND_MICROS);
        lease.watchTimedOut();
        lease.callStarted(5 * SECOND_MICROS);
        assertTrue(lease.isValid(2 * SECOND_MICROS + HostListLease.WATCH_SILENT_VALIDITY_MICROS - 1));
        assertFalse(lease.isValid(2 * SECOND_MICROS + HostListLease.WATCH_SILENT_VALIDITY_MICROS));
    }

    @Test
    void silentWatchExpiresAsSoonWithoutBeingReported() {
        openWatch(0);
        assertFalse(lease.isValid(HostListLease.WATCH_SILENT_VALIDITY_MICROS));
    }

    @Test
    void secondWatchEndDoesNotExtendTheLease() {
        openWatch(0);
        lease.watchEnded(SECOND_MICROS);
        lease.watchEnded(2 * SECOND_MICROS);
        assertEquals(SECOND_MICROS + HostListLease.WATCH_ENDED_VALIDITY_MICROS, lease.expiresAt());
    }

    @Test
    void failedCallExtendsTheLease() {
        openWatch(0);
        lease.watchEnded(SECOND_MICROS);
        lease.callStarted(SECOND_MICROS);
        lease.callFailed();
        assertTrue(lease.isValid(SECOND_MICROS + 4 * VALIDITY_MICROS - 1));
        assertFalse(lease.isValid(SECOND_MICROS + 4 * VALIDITY_MICROS), "four times the configured validity");
        lease.callStarted(9 * SECOND_MICROS);
        assertFalse(lease.isValid(9 * SECOND_MICROS + VALIDITY_MICROS));
    }

    @Test
    void failedCallRemovesTheExpiryWithoutASetting() {
        HostListLease unconfigured = new HostListLease(0);
        unconfigured.lineReceived(0);
        unconfigured.watchEnded(SECOND_MICROS);
        unconfigured.callFailed();
        assertEquals(Long.MAX_VALUE, unconfigured.expiresAt());
    }

    @Test
    void partialListExpiresTheLeaseUntilCleared() {
        openWatch(0);
        lease.partialListStarted(SECOND_MICROS);
        assertTrue(lease.isValid(SECOND_MICROS + HostListLease.PARTIAL_LIST_VALIDITY_MICROS - 1));
        assertFalse(lease.isValid(SECOND_MICROS + HostListLease.PARTIAL_LIST_VALIDITY_MICROS));
        lease.partialListCleared();
        assertTrue(lease.isValid(SECOND_MICROS + HostListLease.PARTIAL_LIST_VALIDITY_MICROS));
    }

    @Test
    void onlyAPartialListExpiresTheLeaseOfAnAgent() {
        HostListLease agentLease = HostListLease.pushedByAgent();
        agentLease.lineReceived(0);
        agentLease.watchEnded(SECOND_MICROS);
        assertTrue(agentLease.isValid(60 * SECOND_MICROS));
        agentLease.partialListStarted(60 * SECOND_MICROS);
        assertFalse(agentLease.isValid(60 * SECOND_MICROS + HostListLease.PARTIAL_LIST_VALIDITY_MICROS));
    }

    @Test
    void listExpiresAfterTheRegistryMoved() {
        openWatch(0);
        lease.registryMoved(SECOND_MICROS);
        lease.callStarted(SECOND_MICROS);
        assertTrue(lease.isValid(SECOND_MICROS + HostListLease.REGISTRY_MOVED_VALIDITY_MICROS - 1));
        assertFalse(lease.isValid(SECOND_MICROS + HostListLease.REGISTRY_MOVED_VALIDITY_MICROS));
    }

    @Test
    void knownListIsValidBeforeTheFirstCall() {
        assertTrue(new HostListLease(VALIDITY_MICROS).isValid(5 * SECOND_MICROS));
    }

    /** In any order of events: once a watch has ended, only a line, a list or a failed call extends the lease. */
    @Property
    void noOtherEventExtendsTheLeaseOfAnEndedWatch(@ForAll @Size(max = 12) List<@IntRange(min = 0,
            max = 5) Integer> events) {
        HostListLease endedLease = new HostListLease(0);
        endedLease.lineReceived(0);
        endedLease.watchEnded(0);
        long now = 0;
        for (int event : events) {
            now += 100_000;
            switch (event) {
                case 0 -> endedLease.callStarted(now);
                case 1 -> endedLease.watchStarted(now);
                case 2 -> endedLease.watchEnded(now);
                case 3 -> endedLease.registryMoved(now);
                case 4 -> endedLease.partialListStarted(now);
                default -> endedLease.partialListCleared();
            }
            assertTrue(endedLease.expiresAt() <= HostListLease.WATCH_ENDED_VALIDITY_MICROS, () -> "after " + events);
        }
    }
}
