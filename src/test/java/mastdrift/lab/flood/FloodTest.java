package mastdrift.lab.flood;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import mastdrift.standin.StandInHost;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A gateway process with the least memory and the descriptors that the deployment page names, beside clients that misuse
 * it. Its ordinary clients get their answers in time, it lives within its memory, and afterwards it serves everybody again.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FloodTest {

    private static final FloodPlay.Limits LIMITS = new FloodPlay.Limits(192, 1_024);
    private static final int WAIT_MILLIS = 435;
    private static final long FLOOD_MILLIS = 1_500;
    private static final long CROWD_MILLIS = 2_500;
    // A request that was sent before the flood ended has been answered by then, or is lost.
    private static final long RECOVERY_MILLIS = 1_000;
    private static final long SERVICE_MILLIS = 500;
    private static final int CROWD_SIZE = 460;

    @TempDir
    private Path folder;

    private FloodPlay play;

    @BeforeEach
    void startUnlessItRuns() throws Exception {
        if (play != null && !play.gateway().isAlive()) {
            play.close();
            play = null;
        }
        if (play == null) {
            play = FloodPlay.start(Files.createDirectories(folder.resolve("gateway")), LIMITS, WAIT_MILLIS);
        }
    }

    @AfterAll
    void end() throws IOException {
        if (play != null) {
            play.close();
        }
    }

    /** Guards against one sender without pauses that keeps the event loop from everybody else. */
    @ParameterizedTest
    @EnumSource
    void ordinaryClientsAreAnsweredWhileOneSendsWithoutPause(FloodKind kind) throws Exception {
        checkBesideFlood(kind, 1);
    }

    /** Guards against senders whose shares of the event loop have a bound alone and none in sum. */
    @ParameterizedTest
    @EnumSource(names = {"READY", "NEW_NAMES", "MANY_FIELDS"})
    void ordinaryClientsAreAnsweredWhileSomeSendWithoutPause(FloodKind kind) throws Exception {
        checkBesideFlood(kind, 6);
    }

    private void checkBesideFlood(FloodKind kind, int clients) throws Exception {
        List<FloodClient> flood = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            flood.add(FloodClient.start(play.gateway().address(), kind, "flood" + i));
        }
        FloodPlay.Outcome beside;
        try {
            beside = play.observe(FLOOD_MILLIS);
        } finally {
            flood.forEach(FloodClient::close);
        }
        check(kind.label() + ", " + clients + " clients", beside);
    }

    /** Guards against connections whose memory has a bound alone and none in sum, in each state of a connection. */
    @ParameterizedTest
    @EnumSource
    void gatewayOutlivesACrowd(CrowdKind kind) throws Exception {
        FloodPlay.Outcome beside;
        play.hosts().forEach(host -> host.padding(kind.answerPaddingBytes()));
        try (Crowd crowd = Crowd.start(play.gateway().address(), kind, CROWD_SIZE, kind.name())) {
            beside = play.observe(CROWD_MILLIS);
        } finally {
            play.hosts().forEach(host -> host.padding(0));
        }
        check(kind.toString(), beside);
    }

    /** Guards against parts of hosts' answers whose memory has a bound alone and none in sum. */
    @Test
    void gatewayOutlivesHostsThatStopWithinLargeAnswers() throws Exception {
        FloodPlay.Outcome beside;
        List<StandInHost> stalling = play.hosts().subList(1, play.hosts().size());
        stalling.forEach(host -> host.manner(StandInHost.Manner.STALL));
        try (Crowd crowd = Crowd.start(play.gateway().address(), CrowdKind.MANY_REQUESTS, CROWD_SIZE, "stalled")) {
            beside = play.observe(CROWD_MILLIS);
        } finally {
            stalling.forEach(host -> host.manner(StandInHost.Manner.SERVE));
        }
        play.observe(RECOVERY_MILLIS);
        check("hosts that stop within large answers", beside);
    }

    private void check(String trouble, FloodPlay.Outcome beside) throws Exception {
        assertTrue(play.gateway().isAlive(), trouble + ": the process has ended: " + play.gateway().log());
        long peakMegabytes = play.gateway().peakMemoryKib() / 1_024;
        FloodPlay.Outcome meanwhile = play.observe(RECOVERY_MILLIS);
        FloodPlay.Outcome afterwards = play.observe(SERVICE_MILLIS);
        System.out.println(trouble + ": " + beside + "; afterwards " + afterwards + "; peak " + peakMegabytes + " MB");
        assertEquals(0, beside.lost() + meanwhile.lost(), trouble + ", requests lost: " + beside);
        assertTrue(beside.served() > 0, trouble + ": " + beside);
        assertTrue(afterwards.served() > 0 && afterwards.served() == afterwards.requests(), trouble + ", afterwards: " + afterwards);
        assertTrue(peakMegabytes < LIMITS.memoryMegabytes(), trouble + ", peak memory in MB: " + peakMegabytes);
    }
}
