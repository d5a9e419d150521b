package mastdrift.serve;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import mastdrift.Balancer.Host;
import mastdrift.engine.Member;
import mastdrift.membership.Node;
import mastdrift.net.Addresses;
import mastdrift.net.Discovery;
import mastdrift.net.HostList;

/** A pool's discovery service, watched for as long as the pool is: a watch that ends is begun anew after a pause that grows
    from a quarter of a second to four seconds, by halves at random, where {@link Discovery} doesn't do so earlier. All on the loop's thread. */
final class DiscoverySource {

    private static final long PAUSE_LEAST = 250;
    private static final long PAUSE_MOST = 4_000;

    private final EventLoop loop;
    private final String pool;
    private final Control control;
    private final LongSupplier arrived;
    private final Consumer<String> log;
    private final Discovery discovery;
    private long pause = PAUSE_LEAST;
    private boolean closed;

    /** {@code arrived} tells when what is read now may have come, in microseconds. */
    DiscoverySource(EventLoop loop, String pool, InetSocketAddress at, Control control, LongSupplier arrived, Consumer<String> log) {
        this.arrived = arrived;
        this.loop = loop;
        this.pool = pool;
        this.control = control;
        this.log = log;
        discovery = new Discovery(loop, at, new HostList(0, true, List.of()), this::heard, this::failed);
    }

    private void heard(HostList list) {
        pause = PAUSE_LEAST;
        if (!closed) {
            control.told(pool, list.all(), list.entries().stream().map(DiscoverySource::node).toList(), arrived.getAsLong());
        }
    }

    private static Node node(Member member) {
        Host host = member.host();
        return new Node(host.address(), Addresses.format(member.at()), text(host.zone()), host.cell(), text(host.kind()),
                host.weight(), host.health(), host.born(), "discovery");
    }

    private static String text(String text) {
        return text.isEmpty() ? null : text;
    }

    private void failed(String cause) {
        if (closed) {
            return;
        }
        log.accept("discovery of pool " + pool + " failed: " + cause);
        control.silent(pool);
        long wait = pause / 2 + ThreadLocalRandom.current().nextLong(pause / 2 + 1);
        pause = Math.min(PAUSE_MOST, 2 * pause);
        loop.schedule(() -> watch(!closed), wait, TimeUnit.MILLISECONDS);
    }

    void watch(boolean active) {
        discovery.watch(active && !closed);
    }

    void close() {
        closed = true;
        discovery.watch(false);
    }
}
