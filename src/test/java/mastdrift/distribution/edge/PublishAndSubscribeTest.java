package mastdrift.distribution.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import mastdrift.distribution.Delta;
import mastdrift.distribution.ControlMachine;
import mastdrift.distribution.Message;
import mastdrift.distribution.PublisherSettings;
import mastdrift.distribution.Revision;
import mastdrift.distribution.SubscriberSettings;
import mastdrift.distribution.Table;
import mastdrift.lab.rig.Relay;
import mastdrift.peers.edge.PeerLinks;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A voter that publishes, machines that pass on, and subscribers, over signed links on loopback: what is published arrives, whatever breaks on the way. */
class PublishAndSubscribeTest {

    private static final byte CONFIG = 4;
    private static final byte[] KEY = "a key".getBytes(StandardCharsets.UTF_8);
    private static final PublisherSettings PUBLISHER = new PublisherSettings(20_000, 200_000, 8, 100, 1 << 20, 20_000_000, 30_000_000, 10_000_000, 64 << 10);
    private static final SubscriberSettings SUBSCRIBER = new SubscriberSettings(10_000_000, 2_000_000, 20_000, 300_000, 100_000, 8_000_000, 2, 600_000_000);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    private final List<Node> nodes = new ArrayList<>();
    private final Growing tables = new Growing(1);

    /** A process: links, and on them what it publishes and what it subscribes to. */
    private final class Node implements PeerLinks.Listener, Transport {
        private final String name;
        private final EventLoop loop = group.next();
        private final PeerLinks links;
        private final ConcurrentLinkedQueue<String> events = new ConcurrentLinkedQueue<>();
        private final AtomicInteger jumps = new AtomicInteger();
        private final AtomicInteger chunks = new AtomicInteger();
        private volatile Table table;
        private IntConsumer chunkSent = count -> { };
        private TableWriter writer;
        private Publication publication;
        private Subscription subscription;
        private boolean closed;

        Node(String name, byte[] key) {
            this.name = name;
            links = new PeerLinks(loop, "test", name, 64, this);
            table = Table.empty(1);
            on(() -> {
                links.generation(1);
                links.keys(List.of(key));
                return null;
            });
            nodes.add(this);
        }

        private <T> T on(Callable<T> call) {
            return loop.submit(call).syncUninterruptibly().getNow();
        }

        Node publishes(Table first) {
            table = first;
            links.listen(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly();
            publication = on(() -> new Publication(loop, this, first, PUBLISHER, (level, what, text, fields) -> events.add(what)));
            return this;
        }

        /** At machines by name, whose addresses may be those of something in between. */
        Node subscribes(Table have, Map<String, InetSocketAddress> at) {
            table = have;
            on(() -> {
                links.addresses(at);
                subscription = new Subscription(loop, this, name, "z", have, SUBSCRIBER, name.hashCode(), (level, what, text, fields) -> events.add(what), this::taken);
                subscription.machines(at.keySet().stream().map(machine -> new ControlMachine(machine, "z")).toList());
                return null;
            });
            return this;
        }

        private void taken(Table next, List<Delta> deltas) {
            if (!next.revision().isAfter(table.revision())) {
                events.add("went back");
            }
            table = next;
            if (deltas.isEmpty()) {
                jumps.incrementAndGet();
            }
            if (writer != null) {
                writer.table(next, deltas);
            }
            if (publication != null) {
                publication.table(next, deltas);
            }
            subscription.inForce(next.revision());
        }

        void publish(Table next, List<Delta> deltas) {
            on(() -> {
                table = next;
                publication.table(next, deltas);
                return null;
            });
        }

        InetSocketAddress address() {
            return links.address();
        }

        void stop() {
            if (!closed) {
                closed = true;
                on(() -> {
                    links.close();
                    if (publication != null) {
                        publication.close();
                    }
                    if (subscription != null) {
                        subscription.close();
                    }
                    return null;
                });
                if (writer != null) {
                    writer.close();
                }
            }
        }

        @Override
        public void received(String from, long generation, byte kind, byte[] message) {
            if (kind == CONFIG && generation == 0 && subscription != null) {
                subscription.received(from, message);
            } else if (kind == CONFIG && generation != 0 && publication != null) {
                publication.received(from, message);
            }
        }

        @Override
        public void refused(String what, String who, String text) {
            events.add(what);
        }

        @Override
        public void outboundClosed(String to) {
            if (subscription != null) {
                subscription.outboundClosed(to);
            }
        }

        @Override
        public void inboundClosed(String from) {
            if (publication != null) {
                publication.inboundClosed(from);
            }
        }

        @Override
        public boolean send(String to, byte[] message) {
            return links.send(to, CONFIG, message);
        }

        @Override
        public boolean reply(String to, byte[] message) {
            boolean sent = links.reply(to, CONFIG, message);
            if (sent && MessageCodec.message(message) instanceof Message.SnapshotChunk) {
                chunkSent.accept(chunks.incrementAndGet());
            }
            return sent;
        }

        @Override
        public void leave(String to) {
            links.leave(to);
        }

        @Override
        public void drop(String from) {
            links.drop(from);
        }
    }

    @AfterEach
    void close() {
        nodes.forEach(Node::stop);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static void until(String what, Callable<Boolean> met) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        while (!met.call()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(5);
        }
    }

    private void change(Node voter, int bytes) {
        Delta delta = tables.change(bytes);
        voter.publish(tables.table(), List.of(delta));
    }

    private void follow(List<Node> who) throws Exception {
        for (Node each : who) {
            until(each.name + " has " + tables.table().revision().number() + ", it has " + each.table.revision().number() + " " + each.events,
                    () -> each.table.revision().equals(tables.table().revision()));
            assertArrayEquals(tables.table().digests(), each.table.digests());
            assertTrue(!each.events.contains("went back") && !each.events.contains("config_forked"), String.valueOf(each.events));
        }
    }

    /** A voter, two that pass on, six gateways; one that passes on is stopped, and its gateways go on at the other. */
    @Test
    void changesGoByThoseThatPassOnAndAStopOfOneOfThemCostsNothing() throws Exception {
        Node voter = new Node("voter", KEY).publishes(tables.table());
        Node one = new Node("one", KEY).publishes(tables.table()).subscribes(tables.table(), Map.of("voter", voter.address()));
        Node two = new Node("two", KEY).publishes(tables.table()).subscribes(tables.table(), Map.of("voter", voter.address()));
        Map<String, InetSocketAddress> both = Map.of("one", one.address(), "two", two.address());
        List<Node> gateways = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            gateways.add(new Node("gateway" + i, KEY).subscribes(tables.table(), both));
        }
        for (int i = 0; i < 20; i++) {
            change(voter, 200);
        }
        follow(gateways);
        Revision at = tables.table().revision();
        for (Node each : List.of(one, two)) {
            until("told upward", () -> each.on(() -> {
                each.subscription.summary(each.publication.publisher().summary());
                return each.publication.publisher().summary().stream().allMatch(zone -> at.equals(zone.lowest()));
            }));
        }
        until("all are in force, as the voter has it", () -> voter.on(() -> {
            List<Message.ZoneSummary> zones = voter.publication.publisher().summary();
            return zones.stream().mapToInt(Message.ZoneSummary::subscribers).sum() == 6 && zones.stream().allMatch(zone -> at.equals(zone.lowest()));
        }));
        assertTrue(gateways.stream().allMatch(each -> each.jumps.get() == 0), "by deltas alone");
        Node stopped = one.on(() -> one.publication.publisher().status().subscribers()) > 0 ? one : two;
        List<Node> its = gateways.stream().filter(each -> stopped.name.equals(each.on(() -> each.subscription.subscriber().currentMachine()))).toList();
        assertTrue(!its.isEmpty());
        stopped.stop();
        for (int i = 0; i < 20; i++) {
            change(voter, 200);
        }
        follow(gateways);
        assertTrue(gateways.stream().allMatch(each -> each.jumps.get() == 0), "still by deltas alone");
        voter.stop();
        Node left = stopped == one ? two : one;
        until("alone, and said since when", () -> left.on(() -> left.subscription.subscriber().disconnectedSince() != 0));
        assertEquals(tables.table().revision(), left.table.revision());
    }

    /** A gateway without a copy, whose machine stops in the middle of the snapshot: the other one sends what is missing. */
    @Test
    void aSnapshotThatBreaksOffGoesOnAtTheOtherMachine() throws Exception {
        for (int i = 0; i < 300; i++) {
            tables.change(4_000);
        }
        Node one = new Node("one", KEY).publishes(tables.table());
        Node two = new Node("two", KEY).publishes(tables.table());
        AtomicInteger sentByFirst = new AtomicInteger();
        for (Node each : List.of(one, two)) {
            each.chunkSent = count -> {
                if (count == 6 && sentByFirst.compareAndSet(0, count)) {
                    each.loop.execute(each.links::close);
                }
            };
        }
        Node gateway = new Node("gateway", KEY).subscribes(Table.empty(1), Map.of("one", one.address(), "two", two.address()));
        follow(List.of(gateway));
        assertEquals(6, sentByFirst.get());
        int all = one.chunks.get() + two.chunks.get();
        int whole = wholeSnapshot();
        assertTrue(all <= whole + 4, "expected about " + whole + " chunks in all, found " + all + ": what was heard isn't sent again");
        assertEquals(1, gateway.jumps.get());
        assertTrue(gateway.on(() -> gateway.subscription.subscriber().ready()));
    }

    /** Chunks of one that isn't broken off. */
    private int wholeSnapshot() throws Exception {
        Node machine = new Node("machine", KEY).publishes(tables.table());
        Node gateway = new Node("whole", KEY).subscribes(Table.empty(1), Map.of("machine", machine.address()));
        follow(List.of(gateway));
        return machine.chunks.get();
    }

    /** Nothing of what the machine says arrives at one of two: it is let go, the other hears on, and it catches up later. */
    @Test
    void whoDoesNotReadIsLetGoAndCatchesUpLater() throws Exception {
        Node voter = new Node("voter", KEY).publishes(tables.table());
        Node good = new Node("good", KEY).subscribes(tables.table(), Map.of("voter", voter.address()));
        try (Relay between = new Relay(group.next(), voter.address(), 1)) {
            Node slow = new Node("slow", KEY).subscribes(tables.table(), Map.of("voter", between.address()));
            change(voter, 100);
            follow(List.of(good, slow));
            between.weather(new Relay.Weather(false, true, false, 0, 0, 0, 0, 0));
            long before = slow.table.revision().number();
            for (int i = 0; i < 60; i++) {
                change(voter, 14_000);
            }
            follow(List.of(good));
            until("let go", () -> voter.on(() -> voter.publication.publisher().status().subscribers()) == 1);
            assertEquals(before, slow.table.revision().number());
            change(voter, 100);
            follow(List.of(good));
            between.weather(Relay.Weather.FAIR);
            follow(List.of(good, slow));
        }
    }

    /** One with another key in a machine's place, and one with the key that sends nonsense to a machine: nothing changes. */
    @Test
    void forgersChangeNothing() throws Exception {
        Node voter = new Node("voter", KEY).publishes(tables.table());
        Growing other = new Growing(99);
        other.jump(50);
        Node forger = new Node("forged", "another key".getBytes(StandardCharsets.UTF_8)).publishes(other.table());
        Node gateway = new Node("gateway", KEY).subscribes(tables.table(), Map.of("voter", voter.address(), "forged", forger.address()));
        change(voter, 100);
        follow(List.of(gateway));
        Node mad = new Node("mad", KEY);
        mad.on(() -> {
            mad.links.addresses(Map.of("voter", voter.address()));
            return null;
        });
        Random random = new Random(5);
        for (String fault : List.of("config_malformed", "config_later", "config_malformed")) {
            until(fault, () -> {
                byte[] nonsense = new byte[1 + random.nextInt(500)];
                random.nextBytes(nonsense);
                nonsense[0] = (byte) (fault.equals("config_later") ? 9 : 1);
                mad.on(() -> mad.send("voter", nonsense));
                mad.on(() -> mad.send("voter", MessageCodec.bytes(new Message.Deltas(List.of(new Growing(98).change(20))))));
                return voter.events.contains(fault);
            });
        }
        assertEquals(1, voter.on(() -> voter.publication.publisher().status().subscribers()));
        change(voter, 100);
        follow(List.of(gateway));
        assertTrue(forger.events.isEmpty() || forger.events.contains("peer_signature"), String.valueOf(forger.events));
    }

    /** A gateway that is started again has its table before it has heard anybody, and gets by deltas what it missed. */
    @Test
    void aGatewayThatStartsAgainHasItsCopyAndGetsWhatItMissed(@TempDir Path folder) throws Exception {
        Node voter = new Node("voter", KEY).publishes(tables.table());
        Node first = new Node("gateway", KEY);
        first.writer = writer(folder, first);
        first.subscribes(tables.table(), Map.of("voter", voter.address()));
        for (int i = 0; i < 30; i++) {
            change(voter, 300);
        }
        follow(List.of(first));
        first.stop();
        Table left = tables.table();
        for (int i = 0; i < 10; i++) {
            change(voter, 300);
        }
        TableFolder.Found found = new TableFolder(folder).read();
        assertNull(found.problem());
        assertEquals(left.revision(), found.table().revision());
        Node again = new Node("gateway", KEY);
        again.writer = writer(folder, again);
        again.subscribes(found.table(), Map.of("voter", voter.address()));
        assertTrue(again.on(() -> again.subscription.subscriber().ready()));
        follow(List.of(again));
        assertEquals(0, again.jumps.get(), "by deltas");
        again.stop();
        assertEquals(tables.table().revision(), new TableFolder(folder).read().table().revision());
    }

    private static TableWriter writer(Path folder, Node of) throws IOException {
        TableFolder copy = new TableFolder(folder);
        return new TableWriter(copy, copy.read().table(), Clock.systemUTC(), (level, what, text, fields) -> of.events.add(what));
    }
}
