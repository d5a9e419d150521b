package mastdrift.lab.scale;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Machine;
import mastdrift.distribution.PublisherSettings;
import mastdrift.distribution.Revision;
import mastdrift.distribution.SubscriberSettings;
import mastdrift.distribution.Table;
import mastdrift.distribution.edge.Publication;
import mastdrift.distribution.edge.Subscription;
import mastdrift.distribution.edge.Wires;
import mastdrift.events.Events;
import mastdrift.peers.edge.PeerLinks;

/** A hollow gateway, or a control machine without the agreed log: the program's own links, codec and deciders, and nothing else. On the loop's thread alone, the beginning too. */
final class Member implements PeerLinks.Ears, Wires, AutoCloseable {

    private static final String INSTALLATION = "scale";
    private static final List<byte[]> KEYS = List.of("a key of the scale run".getBytes(StandardCharsets.UTF_8));
    private static final byte CONFIG = 4;  // of messages on links
    private static final int MACHINES = 64;
    private static final int SUMMARY_SECONDS = 2;

    /** One that is followed: its name, its zone and where it listens. */
    record Above(String name, String zone, InetSocketAddress address) { }

    private final EventLoop loop;
    private final PeerLinks links;
    private final BiConsumer<Table, List<Delta>> taken;
    private final Map<String, InetSocketAddress> above;
    private final Events events;
    private Subscription subscription;  // null for a voter
    private Publication publication;  // null for a hollow gateway
    private Future<?> summaries;
    private Table table;

    private Member(EventLoop loop, String name, int connections, List<Above> above, Table have, BiConsumer<Table, List<Delta>> taken) {
        this.loop = loop;
        this.taken = taken;
        this.above = above.stream().collect(Collectors.toMap(Above::name, Above::address));
        events = (level, event, text, fields) -> System.err.println(name + ": " + event + ": " + text);
        table = have;
        links = new PeerLinks(loop, INSTALLATION, name, connections, this);
        links.keys(KEYS);
        links.life(System.nanoTime());
        links.addresses(this.above);
    }

    /** A gateway of a name and zone, with the table that it has; {@code taken} hears of each that comes, and what led there. */
    static Member hollow(EventLoop loop, String name, String zone, List<Above> above, Table have, long seed, BiConsumer<Table, List<Delta>> taken) {
        Member member = new Member(loop, name, MACHINES, above, have, taken);
        member.follow(name, zone, above, have, seed);
        return member;
    }

    /** A control machine; with nobody above it one that has the whole. */
    static Member machine(EventLoop loop, String name, String zone, List<Above> above, Table have, long seed) {
        Member member = new Member(loop, name, PublisherSettings.SUBSCRIBERS_MOST, above, have, (table, deltas) -> { });
        member.publication = new Publication(loop, member, have, PublisherSettings.USUAL, member.events);
        if (!above.isEmpty()) {
            member.publication.alone(true);
            member.follow(name, zone, above, have, seed);
            member.summaries = loop.scheduleAtFixedRate(member::passOn, SUMMARY_SECONDS, SUMMARY_SECONDS, TimeUnit.SECONDS);
        }
        return member;
    }

    private void follow(String name, String zone, List<Above> machines, Table have, long seed) {
        subscription = new Subscription(loop, this, name, zone, have, SubscriberSettings.USUAL, seed, events, this::take);
        subscription.machines(machines.stream().map(each -> new Machine(each.name, each.zone)).toList());
    }

    private void passOn() {
        subscription.summary(publication.publisher().summary());
        alone();
    }

    private void take(Table next, List<Delta> deltas) {
        taken.accept(next, deltas);
        table = next;
        if (publication != null) {
            publication.table(next, deltas);
        }
        loop.execute(() -> subscription.inForce(next.revision()));  // another event than the one that brought it
    }

    /** Has another table from now on, which a voter publishes. */
    void put(Table next, List<Delta> deltas) {
        table = next;
        publication.table(next, deltas);
    }

    /** Reaches nobody that it follows, or all of them again. */
    void cut(boolean cut) {
        links.addresses(cut ? Map.of() : above);
    }

    /** Where it listens, from then on. */
    io.netty.channel.ChannelFuture listen() {
        return links.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    /** What is in force. */
    Table table() {
        return table;
    }

    Revision revision() {
        return table.revision();
    }

    @Override
    public void heard(String from, long life, byte kind, byte[] message) {
        if (kind != CONFIG) {
            return;
        }
        if (above.containsKey(from)) {
            subscription.heard(from, message);
            alone();
        } else if (publication != null) {
            publication.heard(from, message);
        }
    }

    /** Who passes on says itself whether it hears anybody. */
    private void alone() {
        if (publication != null) {
            publication.alone(subscription.subscriber().aloneSince() != 0);
        }
    }

    @Override
    public boolean send(String to, byte[] message) {
        return links.send(to, CONFIG, message);
    }

    @Override
    public boolean reply(String to, byte[] message) {
        return links.reply(to, CONFIG, message);
    }

    @Override
    public void leave(String to) {
        links.leave(to);
    }

    @Override
    public void drop(String from) {
        links.drop(from);
    }

    @Override
    public void refused(String what, String who, String text) {
        System.err.println(what + " " + who + ": " + text);
    }

    @Override
    public void ended(String to) {
        subscription.ended(to);
        alone();
    }

    @Override
    public void gone(String from) {
        if (publication != null) {
            publication.gone(from);
        }
    }

    @Override
    public void close() {
        if (summaries != null) {
            summaries.cancel(false);
        }
        if (subscription != null) {
            subscription.close();
        }
        if (publication != null) {
            publication.close();
        }
        links.close();
    }

    /** A machine as the process that runs it tells it to others. */
    static Map<String, Object> told(String name, String zone, InetSocketAddress at) {
        return Map.of("name", name, "zone", zone, "port", at.getPort());
    }

    /** What {@link #told} said. */
    static Above above(Map<?, ?> told) {
        return new Above(String.valueOf(told.get("name")), String.valueOf(told.get("zone")), new InetSocketAddress("127.0.0.1", ((Number) told.get("port")).intValue()));
    }
}
