package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against starts that take longer the smaller the share of a core is: many gateways that start together have
 * none to spare.
 */
class WarmUpTest {

    private static final long SLOW_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    @TempDir
    private Path folder;

    @Test
    void warmUpEndsInTimeOnASlowCore() throws IOException {
        try (Server discovery = Loopback.discovery()) {
            GatewayConfig config = GatewayConfig.read(Loopback.environment(folder, discovery, Loopback.list(1, true),
                    SETTINGS));
            TimedEventLoop slow = TimedEventLoop.start();
            // Each turn of the loop takes this long, and a request takes several turns: 800 requests would take more
            // than 16 s.
            slow.loop().scheduleWithFixedDelay(() -> LockSupport.parkNanos(SLOW_TURN_NANOS), 0, 1,
                    TimeUnit.MILLISECONDS);
            List<String> log = new ArrayList<>();
            long beganNanos = System.nanoTime();
            Main.warmUp(config, slow, log::add);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
            assertTrue(millis < 6000, "took " + millis + " ms");
            assertEquals(List.of(), log, "ended without an error");
        }
    }
}
