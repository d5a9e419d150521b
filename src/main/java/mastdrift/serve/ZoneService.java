package mastdrift.serve;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import mastdrift.config.Configuration;
import mastdrift.config.GatewaySettings;
import mastdrift.zones.ClientNetworks;
import mastdrift.zones.PoolCrossings;
import mastdrift.zones.ZoneSnapshot;
import mastdrift.zones.ZoneSettings;
import mastdrift.zones.ZoneBudgetManager;
import mastdrift.zones.edge.ZoneFileStore;

/**
 * Counts and bounds the traffic across zones in a gateway that is configured from files: drives one {@link ZoneBudgetManager} on
 * the event loop and its files.
 */
final class ZoneService {

    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final int TICKS_PER_WRITE = 10;  // ticks between two writes
    // The last write before a crash may be this old: so much time is treated as not recorded.
    private static final long MAX_UNSAVED_MILLIS = 10_000;

    private final LongSupplier clock;
    private final ZoneBudgetManager zoning;
    private final ZoneFileStore files;
    private volatile ClientNetworks networks;
    private int ticks;

    /**
     * Reads the state that an earlier process left; to be called before the gateway serves, since it blocks on the
     * disk. On the event loop.
     */
    ZoneService(Path file, EventLoop loop, LongSupplier clock, GatewaySettings gateway, ZoneSettings settings, Consumer<String> log) {
        this.clock = clock;
        zoning = new ZoneBudgetManager(gateway.name(), gateway.zone(), gateway.gatewayCount(), settings, clock.getAsLong(), System.currentTimeMillis());
        networks = new ClientNetworks(settings.networks());
        files = new ZoneFileStore(file, gateway.name(), settings, word -> loop.execute(() -> zoning.receive(word)), log);
        ZoneSnapshot earlier = files.readSnapshot();
        if (earlier != null) {
            try {
                zoning.restore(earlier, MAX_UNSAVED_MILLIS);
            } catch (IllegalArgumentException e) {
                log.accept("the stored state of zones is not used: " + e.getMessage());
            }
        }
        if (files.readOwnAnnouncement() != null) {
            zoning.restoreTransfers(files.readOwnAnnouncement());
        }
        loop.scheduleWithFixedDelay(() -> tick(log), TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick(Consumer<String> log) {
        try {
            zoning.tick(clock.getAsLong(), System.currentTimeMillis());
            if (++ticks % TICKS_PER_WRITE == 0) {
                write();
            }
        } catch (RuntimeException fault) {  // or no further tick would be run
            log.accept("internal error in a tick of zones: " + fault);
        }
    }

    /** Has the state written soon by the thread of the files. On the event loop. */
    void write() {
        files.write(zoning.snapshot(clock.getAsLong()), zoning.announcement(clock.getAsLong()));
    }

    /** Applies a changed gateway's file. */
    void configure(Configuration next) {
        networks = new ClientNetworks(next.zones().networks());
        zoning.configure(next.zones());
    }

    PoolCrossings pool(String name) {
        return zoning.pool(name);
    }

    void poolClosed(String name) {
        zoning.removePool(name);
    }

    String zoneOf(InetAddress client) {
        return networks.zone(client.getAddress());
    }

    ZoneSnapshot snapshot() {
        return zoning.snapshot(clock.getAsLong());
    }

    /** Blocks until pending writes are done. */
    void close() {
        files.close();
    }
}
