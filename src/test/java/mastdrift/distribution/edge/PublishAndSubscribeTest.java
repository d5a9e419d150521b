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

/**
 * A voter that publishes, relays, and subscribers, over signed links on loopback: what is published arrives despite
 * failures on the way.
 */
class PublishAndSubscribeTest {

    private static final byte CONFIG = 4;
    private static final byte[] KEY = "a key".getBytes(StandardCharsets.UTF_8);
    private static final PublisherSettings PUBLISHER = new PublisherSettings(20_000, 200_000, 8, 100, 1 << 20, 20_000_000, 30_000_000, 10_000_000, 64 << 10);
    private static final SubscriberSettings SUBSCRIBER = new SubscriberSettings(10_000_000, 2_000_000, 20_000, 300_000, 100_000, 8_000_000, 2, 600_000_000);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    private final List<Node> nodes = new ArrayList<>();
    private final RandomTable tables = new RandomTable(1);

    /** A process with its links, its publication and its subscription. */
    private final class Node implements PeerLinks.Listener, ControlTransport {
        private final String name;
        private final EventLoop loop = group.next();
        private final PeerLinks links;
        private final ConcurrentLinkedQueue<String> events = new ConcurrentLinkedQueue<>();
        private final AtomicInteger fullTableUpdates = new AtomicInteger();
        private final AtomicInteger chunks = new AtomicInteger();
        private volatile Table table;
        private IntConsumer onChunkSent = count -> { };
        private TableWriter writer;
        private Publication publication;
        private Subscription subscription;
        private boolean closed;

        Node(String name, byte[] key) {
            this.name = name;
            links = new PeerLinks(loop, "test", name, 64, this);
            table = Table.empty(1);
            runOnLoop(() -> {
                links.setGeneration(1);
                links.setKeys(List.of(key));
                return null;
            });
            nodes.add(this);
        }

        private <T> T runOnLoop(Callable<T> call) {
            return loop.submit(call).syncUninterruptibly().getNow();
        }

        Node startPublishing(Table first) {
            table = first;
            links.listen(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly();
            publication = runOnLoop(() -> new Publication(loop, this, first, PUBLISHER, (level, what, text, fields) -> events.add(what)));
            return this;
        }

        /** Subscribes to machines by name; their addresses may be those of a proxy. */
        Node startSubscribing(Table initialTable, Map<String, InetSocketAddress> addresses) {
            table = initialTable;
            runOnLoop(() -> {
                links.setAddresses(addresses);
                subscription = new Subscription(loop, this, name, "z", initialTable, SUBSCRIBER, name.hashCode(), (level, what, text, fields) -> events.add(what), this::tableReceived);
                subscription.setMachines(addresses.keySet().stream().map(machine -> new ControlMachine(machine, "z")).toList());
                return null;
            });
            return this;
        }

        private void tableReceived(Table next, List<Delta> deltas) {
            if (!next.revision().isAfter(table.revision())) {
                events.add("went back");
            }
            table = next;
            if (deltas.isEmpty()) {
                fullTableUpdates.incrementAndGet();
            }
            if (writer != null) {
                writer.submit(next, deltas);
            }
            if (publication != null) {
                publication.publishTable(next, deltas);
            }
            subscription.tableApplied(next.revision());
        }

        void publish(Table next, List<Delta> deltas) {
            runOnLoop(() -> {
                table = next;
                publication.publishTable(next, deltas);
                return null;
            });
        }

        InetSocketAddress address() {
            return links.address();
        }

        void stop() {
            if (!closed) {
                closed = true;
                runOnLoop(() -> {
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
            if (sent && MessageCodec.decodeMessage(message) instanceof Message.SnapshotChunk) {
                onChunkSent.accept(chunks.incrementAndGet());
            }
            return sent;
        }

        @Override
        public void closeOutbound(String to) {
            links.closeOutbound(to);
        }

        @Override
        public void closeInbound(String from) {
            links.closeInbound(from);
        }
    }

    @AfterEach
    void close() {
        nodes.forEach(Node::stop);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static void awaitTrue(String description, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < end, description);
            Thread.sleep(5);
        }
    }

    private void publishChange(Node voter, int bytes) {
        Delta delta = tables.applyChange(bytes);
        voter.publish(tables.table(), List.of(delta));
    }

    private void awaitCurrentTable(List<Node> subscribers) throws Exception {
        for (Node each : subscribers) {
            awaitTrue(each.name + " has " + tables.table().revision().number() + ", it has " + each.table.revision().number() + " " + each.events,
                    () -> each.table.revision().equals(tables.table().revision()));
            assertArrayEquals(tables.table().digests(), each.table.digests());
            assertTrue(!each.events.contains("went back") && !each.events.contains("config_forked"), String.valueOf(each.events));
        }
    }

    /** A voter, two relays and six gateways; one relay is stopped and its gateways continue at the other. */
    @Test
    void gatewaysStayCurrentByDeltasWhenOneOfTwoRelaysStops() throws Exception {
        Node voter = new Node("voter", KEY).startPublishing(tables.table());
        Node one = new Node("one", KEY).startPublishing(tables.table()).startSubscribing(tables.table(), Map.of("voter", voter.address()));
        Node two = new Node("two", KEY).startPublishing(tables.table()).startSubscribing(tables.table(), Map.of("voter", voter.address()));
        Map<String, InetSocketAddress> both = Map.of("one", one.address(), "two", two.address());
        List<Node> gateways = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            gateways.add(new Node("gateway" + i, KEY).startSubscribing(tables.table(), both));
        }
        for (int i = 0; i < 20; i++) {
            publishChange(voter, 200);
        }
        awaitCurrentTable(gateways);
        Revision at = tables.table().revision();
        for (Node each : List.of(one, two)) {
            awaitTrue("zone summaries sent upstream", () -> each.runOnLoop(() -> {
                each.subscription.reportZones(each.publication.publisher().summary());
                return each.publication.publisher().summary().stream().allMatch(zone -> at.equals(zone.lowest()));
            }));
        }
        awaitTrue("the voter knows that all have applied it", () -> voter.runOnLoop(() -> {
            List<Message.ZoneSummary> zones = voter.publication.publisher().summary();
            return zones.stream().mapToInt(Message.ZoneSummary::subscribers).sum() == 6 && zones.stream().allMatch(zone -> at.equals(zone.lowest()));
        }));
        assertTrue(gateways.stream().allMatch(each -> each.fullTableUpdates.get() == 0), "by deltas alone");
        Node stopped = one.runOnLoop(() -> one.publication.publisher().status().subscribers()) > 0 ? one : two;
        List<Node> gatewaysOfStopped = gateways.stream().filter(each -> stopped.name.equals(each.runOnLoop(() -> each.subscription.subscriber().currentMachine()))).toList();
        assertTrue(!gatewaysOfStopped.isEmpty());
        stopped.stop();
        for (int i = 0; i < 20; i++) {
            publishChange(voter, 200);
        }
        awaitCurrentTable(gateways);
        assertTrue(gateways.stream().allMatch(each -> each.fullTableUpdates.get() == 0), "still by deltas alone");
        voter.stop();
        Node remaining = stopped == one ? two : one;
        awaitTrue("reports since when it has heard no machine", () -> remaining.runOnLoop(() -> remaining.subscription.subscriber().disconnectedSince() != 0));
        assertEquals(tables.table().revision(), remaining.table.revision());
    }

    /**
     * A gateway without a copy whose machine stops during the snapshot gets the missing shards from the other machine.
     */
    @Test
    void interruptedSnapshotIsResumedFromTheOtherMachine() throws Exception {
        for (int i = 0; i < 300; i++) {
            tables.applyChange(4_000);
        }
        Node one = new Node("one", KEY).startPublishing(tables.table());
        Node two = new Node("two", KEY).startPublishing(tables.table());
        AtomicInteger sentByFirst = new AtomicInteger();
        for (Node each : List.of(one, two)) {
            each.onChunkSent = count -> {
                if (count == 6 && sentByFirst.compareAndSet(0, count)) {
                    each.loop.execute(each.links::close);
                }
            };
        }
        Node gateway = new Node("gateway", KEY).startSubscribing(Table.empty(1), Map.of("one", one.address(), "two", two.address()));
        awaitCurrentTable(List.of(gateway));
        assertEquals(6, sentByFirst.get());
        int totalChunks = one.chunks.get() + two.chunks.get();
        int snapshotChunks = countSnapshotChunks();
        assertTrue(totalChunks <= snapshotChunks + 4, "expected about " + snapshotChunks + " chunks in all, found " + totalChunks + ": chunks already received aren't sent again");
        assertEquals(1, gateway.fullTableUpdates.get());
        assertTrue(gateway.runOnLoop(() -> gateway.subscription.subscriber().ready()));
    }

    /** Number of chunks of an uninterrupted snapshot. */
    private int countSnapshotChunks() throws Exception {
        Node machine = new Node("machine", KEY).startPublishing(tables.table());
        Node gateway = new Node("whole", KEY).startSubscribing(Table.empty(1), Map.of("machine", machine.address()));
        awaitCurrentTable(List.of(gateway));
        return machine.chunks.get();
    }

    /**
     * Replies to one of two subscribers are blocked: it is dropped, the other still receives updates, and it catches up
     * later.
     */
    @Test
    void blockedSubscriberIsDroppedAndCatchesUpWhenUnblocked() throws Exception {
        Node voter = new Node("voter", KEY).startPublishing(tables.table());
        Node good = new Node("good", KEY).startSubscribing(tables.table(), Map.of("voter", voter.address()));
        try (Relay proxy = new Relay(group.next(), voter.address(), 1)) {
            Node slow = new Node("slow", KEY).startSubscribing(tables.table(), Map.of("voter", proxy.address()));
            publishChange(voter, 100);
            awaitCurrentTable(List.of(good, slow));
            proxy.weather(new Relay.Weather(false, true, false, 0, 0, 0, 0, 0));
            long before = slow.table.revision().number();
            for (int i = 0; i < 60; i++) {
                publishChange(voter, 14_000);
            }
            awaitCurrentTable(List.of(good));
            awaitTrue("the slow subscriber is dropped", () -> voter.runOnLoop(() -> voter.publication.publisher().status().subscribers()) == 1);
            assertEquals(before, slow.table.revision().number());
            publishChange(voter, 100);
            awaitCurrentTable(List.of(good));
            proxy.weather(Relay.Weather.FAIR);
            awaitCurrentTable(List.of(good, slow));
        }
    }

    /**
     * A process with another key in a machine's place, and one with the right key that sends garbage to a machine:
     * nothing changes.
     */
    @Test
    void wrongKeyAndInvalidMessagesChangeNothing() throws Exception {
        Node voter = new Node("voter", KEY).startPublishing(tables.table());
        RandomTable other = new RandomTable(99);
        other.applyChanges(50);
        Node forger = new Node("forged", "another key".getBytes(StandardCharsets.UTF_8)).startPublishing(other.table());
        Node gateway = new Node("gateway", KEY).startSubscribing(tables.table(), Map.of("voter", voter.address(), "forged", forger.address()));
        publishChange(voter, 100);
        awaitCurrentTable(List.of(gateway));
        Node faultyPeer = new Node("mad", KEY);
        faultyPeer.runOnLoop(() -> {
            faultyPeer.links.setAddresses(Map.of("voter", voter.address()));
            return null;
        });
        Random random = new Random(5);
        for (String fault : List.of("config_malformed", "config_later", "config_malformed")) {
            awaitTrue(fault, () -> {
                byte[] garbage = new byte[1 + random.nextInt(500)];
                random.nextBytes(garbage);
                garbage[0] = (byte) (fault.equals("config_later") ? 9 : 1);
                faultyPeer.runOnLoop(() -> faultyPeer.send("voter", garbage));
                faultyPeer.runOnLoop(() -> faultyPeer.send("voter", MessageCodec.encode(new Message.Deltas(List.of(new RandomTable(98).applyChange(20))))));
                return voter.events.contains(fault);
            });
        }
        assertEquals(1, voter.runOnLoop(() -> voter.publication.publisher().status().subscribers()));
        publishChange(voter, 100);
        awaitCurrentTable(List.of(gateway));
        assertTrue(forger.events.isEmpty() || forger.events.contains("peer_signature"), String.valueOf(forger.events));
    }

    /** A restarted gateway has its table before it contacts any machine, and gets by deltas what it missed. */
    @Test
    void restartedGatewayLoadsItsCopyAndGetsMissedDeltas(@TempDir Path folder) throws Exception {
        Node voter = new Node("voter", KEY).startPublishing(tables.table());
        Node first = new Node("gateway", KEY);
        first.writer = writer(folder, first);
        first.startSubscribing(tables.table(), Map.of("voter", voter.address()));
        for (int i = 0; i < 30; i++) {
            publishChange(voter, 300);
        }
        awaitCurrentTable(List.of(first));
        first.stop();
        Table tableAtStop = tables.table();
        for (int i = 0; i < 10; i++) {
            publishChange(voter, 300);
        }
        TableFolder.ReadResult found = new TableFolder(folder).read();
        assertNull(found.problem());
        assertEquals(tableAtStop.revision(), found.table().revision());
        Node restarted = new Node("gateway", KEY);
        restarted.writer = writer(folder, restarted);
        restarted.startSubscribing(found.table(), Map.of("voter", voter.address()));
        assertTrue(restarted.runOnLoop(() -> restarted.subscription.subscriber().ready()));
        awaitCurrentTable(List.of(restarted));
        assertEquals(0, restarted.fullTableUpdates.get(), "by deltas");
        restarted.stop();
        assertEquals(tables.table().revision(), new TableFolder(folder).read().table().revision());
    }

    private static TableWriter writer(Path folder, Node node) throws IOException {
        TableFolder copy = new TableFolder(folder);
        return new TableWriter(copy, copy.read().table(), Clock.systemUTC(), (level, what, text, fields) -> node.events.add(what));
    }
}
