package mastdrift.serve;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.engine.EndpointGate;
import mastdrift.engine.Member;
import mastdrift.engine.Pool;
import mastdrift.membership.Node;
import mastdrift.net.Addresses;
import mastdrift.net.Discovery;
import mastdrift.net.HostList;

/**
 * Watches a pool's discovery service for as long as the pool exists. A watch that ends is opened again after a pause
 * that doubles from 250 ms up to 4 s, with random jitter over its upper half, unless {@link Discovery} does so earlier.
 * Drains and removals take effect at once; other updates are merged with the pool's other sources first. Runs on the
 * event loop.
 */
final class DiscoverySource implements Discovery.Listener {

    private static final long MIN_PAUSE_MILLIS = 250;
    private static final long MAX_PAUSE_MILLIS = 4_000;

    private final EventLoop loop;
    private final Pool pool;
    private final Control control;
    private final Consumer<String> log;
    private final Discovery discovery;
    private final EndpointGate gate = new EndpointGate();
    private long pauseMillis = MIN_PAUSE_MILLIS;
    private boolean closed;

    DiscoverySource(EventLoop loop, Pool pool, InetSocketAddress at, Control control, Consumer<String> log) {
        this.loop = loop;
        this.pool = pool;
        this.control = control;
        this.log = log;
        discovery = new Discovery(loop, at, new HostList(0, true, List.of()), this);
    }

    @Override
    public void listAccepted(HostList list) {
        pauseMillis = MIN_PAUSE_MILLIS;
        if (!closed) {
            Set<String> before = gate.uids();
            List<Member> inForce = gate.apply(list.version(), list.full(), list.entries());
            withdrawFromPool(before, inForce);
            control.discoveryUpdated(pool.name(), list.full(), inForce.stream().map(DiscoverySource::toNode).toList());
        }
    }

    @Override
    public boolean hostsWithdrawn(Discovery.Withdrawal withdrawal) {
        if (closed) {
            return false;
        }
        List<Member> changes = gate.withdraw(withdrawal.version(), withdrawal.namedUids(), withdrawal.leaving());
        pool.withdraw(changes);
        control.discoveryUpdated(pool.name(), false, changes.stream().map(DiscoverySource::toNode).toList());
        return !changes.isEmpty();
    }

    private void withdrawFromPool(Set<String> before, List<Member> inForce) {
        List<Member> leaving = new ArrayList<>(inForce.stream().filter(member -> member.host().health() != Health.UP).toList());
        Set<String> now = gate.uids();
        before.stream().filter(uid -> !now.contains(uid))
                .forEach(uid -> leaving.add(new Member(new Host(uid, "", 0, "", 1, Health.LEAVING, Long.MAX_VALUE), null)));
        pool.withdraw(leaving);
    }

    private static Node toNode(Member member) {
        Host host = member.host();
        return new Node(host.address(), Addresses.format(member.socketAddress()), nullIfEmpty(host.zone()), host.cell(), nullIfEmpty(host.kind()),
                host.weight(), host.health(), host.born(), "discovery");
    }

    private static String nullIfEmpty(String text) {
        return text.isEmpty() ? null : text;
    }

    @Override
    public void callFailed(String cause) {
        if (closed) {
            return;
        }
        log.accept("discovery of pool " + pool.name() + " failed: " + cause);
        control.discoveryFailed(pool.name());
        long waitMillis = pauseMillis / 2 + ThreadLocalRandom.current().nextLong(pauseMillis / 2 + 1);
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
        loop.schedule(() -> watch(!closed), waitMillis, TimeUnit.MILLISECONDS);
    }

    void watch(boolean active) {
        discovery.watch(active && !closed);
    }

    /** See {@link Discovery#listHolds}. */
    boolean listHolds() {
        return discovery.isListValid();
    }

    /** Reads what has arrived and is unread; see {@link Discovery#look}. */
    boolean readUnread() {
        return discovery.readUnreadInput();
    }

    void close() {
        closed = true;
        discovery.watch(false);
    }
}
