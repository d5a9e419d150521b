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

/** A pool's discovery service, watched for as long as the pool is: a watch that ends is begun anew after a pause that grows
    from a quarter of a second to four seconds, by halves at random, where {@link Discovery} doesn't do so earlier. Drains and removals
    are in force at once; what else is told is put together with the pool's other sources first. All on the loop's thread. */
final class DiscoverySource implements Discovery.Listener {

    private static final long PAUSE_LEAST = 250;
    private static final long PAUSE_MOST = 4_000;

    private final EventLoop loop;
    private final Pool pool;
    private final Control control;
    private final Consumer<String> log;
    private final Discovery discovery;
    private final EndpointGate listed = new EndpointGate();
    private long pause = PAUSE_LEAST;
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
        pause = PAUSE_LEAST;
        if (!closed) {
            Set<String> before = listed.uids();
            List<Member> inForce = listed.apply(list.version(), list.full(), list.entries());
            withdrawFromPool(before, inForce);
            control.told(pool.name(), list.full(), inForce.stream().map(DiscoverySource::node).toList());
        }
    }

    @Override
    public boolean hostsWithdrawn(Discovery.Withdrawal withdrawal) {
        if (closed) {
            return false;
        }
        List<Member> changes = listed.withdraw(withdrawal.version(), withdrawal.namedUids(), withdrawal.leaving());
        pool.withdraw(changes);
        control.told(pool.name(), false, changes.stream().map(DiscoverySource::node).toList());
        return !changes.isEmpty();
    }

    private void withdrawFromPool(Set<String> before, List<Member> inForce) {
        List<Member> leaving = new ArrayList<>(inForce.stream().filter(member -> member.host().health() != Health.UP).toList());
        Set<String> now = listed.uids();
        before.stream().filter(uid -> !now.contains(uid))
                .forEach(uid -> leaving.add(new Member(new Host(uid, "", 0, "", 1, Health.LEAVING, Long.MAX_VALUE), null)));
        pool.withdraw(leaving);
    }

    private static Node node(Member member) {
        Host host = member.host();
        return new Node(host.address(), Addresses.format(member.socketAddress()), text(host.zone()), host.cell(), text(host.kind()),
                host.weight(), host.health(), host.born(), "discovery");
    }

    private static String text(String text) {
        return text.isEmpty() ? null : text;
    }

    @Override
    public void callFailed(String cause) {
        if (closed) {
            return;
        }
        log.accept("discovery of pool " + pool.name() + " failed: " + cause);
        control.silent(pool.name());
        long wait = pause / 2 + ThreadLocalRandom.current().nextLong(pause / 2 + 1);
        pause = Math.min(PAUSE_MOST, 2 * pause);
        loop.schedule(() -> watch(!closed), wait, TimeUnit.MILLISECONDS);
    }

    void watch(boolean active) {
        discovery.watch(active && !closed);
    }

    /** See {@link Discovery#listHolds}. */
    boolean listHolds() {
        return discovery.isListValid();
    }

    /** Reads what stands unread; see {@link Discovery#look}. */
    boolean look() {
        return discovery.readUnreadInput();
    }

    void close() {
        closed = true;
        discovery.watch(false);
    }
}
