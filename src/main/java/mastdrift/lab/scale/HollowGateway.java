package mastdrift.lab.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import mastdrift.distribution.Delta;
import mastdrift.distribution.ControlMachine;
import mastdrift.distribution.SubscriberSettings;
import mastdrift.distribution.Table;
import mastdrift.distribution.edge.Subscription;
import mastdrift.distribution.edge.ControlTransport;
import mastdrift.peers.edge.PeerLinks;

/** A hollow gateway: the program's own links, codec and subscriber, and nothing else; what comes is in force as soon as it is there. On the loop's thread alone, the beginning too. */
final class HollowGateway implements PeerLinks.Listener, ControlTransport, AutoCloseable {

    private static final byte CONFIG = 4;  // of messages on links
    private static final int MACHINES = 64;

    /** One that may be followed: its name, its zone and where it listens. */
    record Upstream(String name, String zone, InetSocketAddress address) { }

    private final BiConsumer<Table, List<Delta>> taken;
    private final PeerLinks links;
    private final Map<String, InetSocketAddress> upstreams;
    private final Subscription subscription;
    private Table table;

    /** Of a name and zone, with the table that it has; {@code taken} hears of each that comes, and what led there. */
    HollowGateway(EventLoop loop, String name, String zone, List<Upstream> upstreams, Table have, long seed, BiConsumer<Table, List<Delta>> taken) {
        this.taken = taken;
        this.upstreams = upstreams.stream().collect(Collectors.toMap(Upstream::name, Upstream::address));
        table = have;
        links = new PeerLinks(loop, Layout.INSTALLATION, name, MACHINES, this);
        links.setKeys(List.of(Layout.KEY.getBytes(StandardCharsets.UTF_8)));
        links.setGeneration(System.nanoTime());
        links.setAddresses(this.upstreams);
        subscription = new Subscription(loop, this, name, zone, have, SubscriberSettings.DEFAULTS, seed, (level, event, text, fields) -> System.err.println(name + ": " + event + ": " + text),
                this::take);
        subscription.setMachines(upstreams.stream().map(each -> new ControlMachine(each.name, each.zone)).toList());
    }

    private void take(Table next, List<Delta> deltas) {
        taken.accept(next, deltas);
        table = next;
        subscription.tableApplied(next.revision());
    }

    /** Reaches nobody that it follows, or all of them again. */
    void cut(boolean cut) {
        links.setAddresses(cut ? Map.of() : upstreams);
    }

    /** What is in force. */
    Table table() {
        return table;
    }

    @Override
    public void received(String from, long generation, byte kind, byte[] message) {
        if (kind == CONFIG) {
            subscription.received(from, message);
        }
    }

    @Override
    public void outboundClosed(String to) {
        subscription.outboundClosed(to);
    }

    @Override
    public void refused(String what, String who, String text) {
        System.err.println(what + " " + who + ": " + text);
    }

    @Override
    public boolean send(String to, byte[] message) {
        return links.send(to, CONFIG, message);
    }

    @Override
    public boolean reply(String to, byte[] message) {
        throw new UnsupportedOperationException("a gateway publishes nothing");
    }

    @Override
    public void closeOutbound(String to) {
        links.closeOutbound(to);
    }

    @Override
    public void closeInbound(String from) {
        throw new UnsupportedOperationException("a gateway has no subscribers");
    }

    @Override
    public void close() {
        subscription.close();
        links.close();
    }
}
