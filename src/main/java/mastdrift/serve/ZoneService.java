package mastdrift.serve;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import mastdrift.config.Configuration;
import mastdrift.config.GatewaySettings;
import mastdrift.zones.Networks;
import mastdrift.zones.PoolZones;
import mastdrift.zones.Snapshot;
import mastdrift.zones.ZoneSettings;
import mastdrift.zones.Zoning;
import mastdrift.zones.edge.ZoneFiles;

/** What crosses zones, in a gateway from files: one decider on the loop, told the time, and its files. */
final class ZoneService {

    private static final long TICK_MILLIS = 100;
    private static final int WRITE_EVERY = 10;  // ticks
    // Writes may come late: so much is taken for not yet written.
    private static final long UNSAVED_MILLIS = 10_000;

    private final LongSupplier now;
    private final Zoning zoning;
    private final ZoneFiles files;
    private volatile Networks networks;
    private int ticks;

    /** Reads what an earlier process left; before the gateway serves, since it waits for the disk. On the loop's thread. */
    ZoneService(Path file, EventLoop loop, LongSupplier now, GatewaySettings gateway, ZoneSettings settings, Consumer<String> log) {
        this.now = now;
        zoning = new Zoning(gateway.name(), gateway.zone(), gateway.gatewayCount(), settings, now.getAsLong(), System.currentTimeMillis());
        networks = new Networks(settings.networks());
        files = new ZoneFiles(file, gateway.name(), settings, word -> loop.execute(() -> zoning.heard(word)), log);
        Snapshot earlier = files.earlier();
        if (earlier != null) {
            try {
                zoning.restore(earlier, UNSAVED_MILLIS);
            } catch (IllegalArgumentException e) {
                log.accept("the state of zones is not used: " + e.getMessage());
            }
        }
        if (files.told() != null) {
            zoning.told(files.told());
        }
        loop.scheduleWithFixedDelay(() -> tick(log), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick(Consumer<String> log) {
        try {
            zoning.tick(now.getAsLong(), System.currentTimeMillis());
            if (++ticks % WRITE_EVERY == 0) {
                write();
            }
        } catch (RuntimeException fault) {  // or no tick would ever come again
            log.accept("fault in a tick of zones: " + fault);
        }
    }

    /** Soon, by the thread of the files; on the loop's thread. */
    void write() {
        files.write(zoning.snapshot(now.getAsLong()), zoning.word(now.getAsLong()));
    }

    /** The operator's file has changed. */
    void configure(Configuration next) {
        networks = new Networks(next.zones().networks());
        zoning.configure(next.zones());
    }

    PoolZones pool(String name) {
        return zoning.pool(name);
    }

    void closed(String name) {
        zoning.closed(name);
    }

    String zone(InetAddress client) {
        return networks.zone(client.getAddress());
    }

    Snapshot snapshot() {
        return zoning.snapshot(now.getAsLong());
    }

    /** Waits for what is being written. */
    void close() {
        files.close();
    }
}
