package mastdrift.distribution.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import mastdrift.distribution.Delta;
import mastdrift.distribution.ControlMachine;
import mastdrift.distribution.Message;
import mastdrift.distribution.PublisherSettings;
import mastdrift.distribution.Revision;
import mastdrift.distribution.SubscriberSettings;
import mastdrift.distribution.Table;
import mastdrift.events.Events;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * {@link Publication} and {@link Subscription} over fake transports: what is sent, which events are emitted once, and
 * how a connection that accepts no more messages is handled.
 */
class PublicationTest {

    private static final PublisherSettings PROMPT_SETTINGS = new PublisherSettings(1, 60_000_000, 8, 4_096, 1 << 20, 60_000_000, 60_000_000, 60_000_000, 64 << 10);

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    private static final class FakeTransport implements ControlTransport {
        private final Map<String, List<byte[]>> sent = new HashMap<>();
        private final List<String> closed = new ArrayList<>();
        private final List<String> fullConnections = new ArrayList<>();

        @Override
        public boolean send(String to, byte[] message) {
            return reply(to, message);
        }

        @Override
        public boolean reply(String to, byte[] message) {
            return !fullConnections.contains(to) && sent.computeIfAbsent(to, name -> new ArrayList<>()).add(message);
        }

        @Override
        public void closeOutbound(String to) {
            closed.add("leave " + to);
        }

        @Override
        public void closeInbound(String from) {
            closed.add("drop " + from);
        }

        private byte[] lastMessage(String to) {
            return sent.get(to).get(sent.get(to).size() - 1);
        }
    }

    private final FakeTransport transport = new FakeTransport();

    private <T> T runOnLoop(Callable<T> call) {
        T result = loop.submit(call).syncUninterruptibly().getNow();
        loop.submit(() -> { }).syncUninterruptibly();  // runs the tasks that the call deferred
        return result;
    }

    @AfterEach
    void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Publication publication(RandomTable tables) {
        return new Publication(loop, transport, tables.table(), PROMPT_SETTINGS, (level, name, text, fields) -> events.add(level + " " + name));
    }

    private static void subscribe(Publication publication, String name, Revision have) {
        publication.received(name, MessageCodec.encode(new Message.Subscribe(have, "z")));
    }

    /** A change is encoded once, however many subscribers receive it. */
    @Test
    void messageToManySubscribersIsEncodedOnce() {
        RandomTable tables = new RandomTable(1);
        runOnLoop(() -> {
            Publication publication = publication(tables);
            for (int i = 0; i < 300; i++) {
                subscribe(publication, "g" + i, tables.table().revision());
            }
            long before = publication.encodedCount();
            assertEquals(1, before, "one heartbeat, encoded once for 300 subscribers");
            for (int change = 1; change <= 3; change++) {
                Delta delta = tables.applyChange(100);
                publication.publishTable(tables.table(), List.of(delta));
                long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1);
                while (System.nanoTime() < until) {
                    Thread.onSpinWait();  // let the publisher's batching delay pass
                }
                publication.setSourceUnreachable(false);
                byte[] bytes = transport.lastMessage("g0");
                assertEquals(RandomMessages.describe(new Message.Deltas(List.of(delta))), RandomMessages.describe(MessageCodec.decodeMessage(bytes)));
                for (int i = 0; i < 300; i++) {
                    assertSame(bytes, transport.lastMessage("g" + i));
                }
                assertEquals(before + change, publication.encodedCount());
            }
            return null;
        });
        assertTrue(events.isEmpty());
    }

    /** A subscriber whose connection accepts no more messages is dropped once; the others still receive updates. */
    @Test
    void subscriberIsDroppedWhenItsConnectionIsFull() {
        RandomTable tables = new RandomTable(2);
        Publication publication = runOnLoop(() -> {
            Publication made = publication(tables);
            subscribe(made, "a", tables.table().revision());
            subscribe(made, "slow", tables.table().revision());
            return made;
        });
        transport.fullConnections.add("slow");
        runOnLoop(() -> {
            Table old = tables.table();
            Delta delta = tables.applyChange(100);
            publication.publishTable(tables.table(), List.of(delta));
            subscribe(publication, "slow", old.revision());  // sends to it again, which fails again
            return null;
        });
        assertEquals(List.of("drop slow"), transport.closed);
        assertEquals(1, publication.publisher().status().subscribers());
        assertEquals(List.of("WARN config_subscriber_full"), List.copyOf(events));
    }

    @Test
    void senderOfInvalidMessagesIsDroppedAndReportedOnce() {
        RandomTable tables = new RandomTable(3);
        runOnLoop(() -> {
            Publication publication = publication(tables);
            subscribe(publication, "a", tables.table().revision());
            for (int i = 0; i < 5; i++) {
                publication.received("bad", new byte[] {1, 0, 7});
                byte[] later = MessageCodec.encode(new Message.Credit(1));
                later[0]++;
                publication.received("later", later);
                // not a message that subscribers send
                publication.received("turned", MessageCodec.encode(new Message.Deltas(List.of(new RandomTable(4).applyChange(10)))));
            }
            assertEquals(1, publication.publisher().status().subscribers());
            assertEquals(0, publication.publisher().table().revision().number());
            return null;
        });
        assertEquals(15, transport.closed.size());
        assertEquals(List.of("WARN config_malformed", "WARN config_later"), List.copyOf(events));
    }

    /**
     * Malformed or unsolicited messages change nothing; the subscription switches to the other machine when a send
     * fails.
     */
    @Test
    void subscriptionIgnoresInvalidMessagesAndSwitchesMachineWhenSendFails() {
        RandomTable tables = new RandomTable(5);
        tables.applyChange(100);
        List<Table> receivedTables = new ArrayList<>();
        Subscription subscription = new Subscription(loop, transport, "g", "z", Table.empty(1), new SubscriberSettings(60_000_000, 60_000_000, 1_000, 60_000_000, 1, 60_000_000, 4,
                600_000_000), 1, (level, name, text, fields) -> events.add(level + " " + name), (table, deltas) -> receivedTables.add(table));
        runOnLoop(() -> {
            subscription.setMachines(List.of(new ControlMachine("m1", "z"), new ControlMachine("m2", "z")));
            return null;
        });
        String first = subscription.subscriber().currentMachine();
        String other = first.equals("m1") ? "m2" : "m1";
        // Within a millisecond it also acknowledges the table that it has applied, and sends nothing more for a minute.
        long ackDeadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (runOnLoop(() -> transport.sent.get(first).size()) < 2) {
            assertTrue(System.nanoTime() < ackDeadline, "sends an ack");
        }
        List<byte[]> sentToFirst = runOnLoop(() -> List.copyOf(transport.sent.get(first)));
        assertEquals(2, sentToFirst.size());
        assertArrayEquals(MessageCodec.encode(new Message.Subscribe(Revision.empty(1), "z")), sentToFirst.get(0));
        assertArrayEquals(MessageCodec.encode(new Message.Ack(Revision.empty(1))), sentToFirst.get(1));
        runOnLoop(() -> {
            for (int i = 0; i < 5; i++) {
                subscription.received(first, new byte[] {1, 0, 7});
                // unsolicited
                subscription.received(other, MessageCodec.encode(new Message.Deltas(List.of(new RandomTable(5).applyChange(100)))));
            }
            return null;
        });
        assertTrue(receivedTables.isEmpty());
        assertEquals(List.of("WARN config_malformed"), List.copyOf(events));
        transport.fullConnections.add(first);
        runOnLoop(() -> {
            // the subscriber is behind and sends a request
            subscription.received(first, MessageCodec.encode(new Message.Heartbeat(tables.table().revision())));
            return null;
        });
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!runOnLoop(() -> transport.sent.containsKey(other))) {
            assertTrue(System.nanoTime() < until, "subscribes to the other machine");
        }
        assertTrue(runOnLoop(() -> transport.closed).contains("leave " + first));
        runOnLoop(() -> {
            subscription.received(other, MessageCodec.encode(new Message.Deltas(List.of(new RandomTable(5).applyChange(100)))));
            return null;
        });
        assertEquals(1, receivedTables.size());
        assertEquals(tables.table().revision(), receivedTables.get(0).revision());
        assertNotSame(Table.empty(1), subscription.subscriber().table());
        runOnLoop(() -> {
            subscription.close();
            return null;
        });
    }

    /**
     * Subscribers of a later build, each sending something that this build doesn't know, are dropped with an event;
     * other subscribers are not affected.
     */
    @Test
    void subscribersSendingUnknownMessagesAreDroppedAndOthersServed() {
        RandomTable tables = new RandomTable(6);
        Object[] have = ForeignBuildEncoder.revisionFields(tables.table().revision());
        List<byte[]> later = List.of(ForeignBuildEncoder.encode(2, 0, new Object[] {0, have, "z"}), ForeignBuildEncoder.encodePlain(0, have, "z", "cell"), ForeignBuildEncoder.encodePlain(11, have),
                ForeignBuildEncoder.encodePlain(0, new Object[] {1, 0, 0, 0, 0}, "z"), ForeignBuildEncoder.encode(1, 0, Map.of("type", 0, "have", have, "zone", "z")));
        runOnLoop(() -> {
            Publication publication = publication(tables);
            subscribe(publication, "a", tables.table().revision());
            for (int i = 0; i < later.size(); i++) {
                publication.received("later-" + i, later.get(i));
            }
            Delta delta = tables.applyChange(100);
            publication.publishTable(tables.table(), List.of(delta));
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1);
            while (System.nanoTime() < until) {
                Thread.onSpinWait();  // let the publisher's batching delay pass
            }
            publication.setSourceUnreachable(false);
            assertEquals(RandomMessages.describe(new Message.Deltas(List.of(delta))), RandomMessages.describe(MessageCodec.decodeMessage(transport.lastMessage("a"))));
            assertEquals(1, publication.publisher().status().subscribers());
            return null;
        });
        assertEquals(List.of("drop later-0", "drop later-1", "drop later-2", "drop later-3", "drop later-4"), transport.closed);
        assertEquals(List.of("WARN config_later", "WARN config_malformed", "WARN config_malformed", "WARN config_malformed", "WARN config_malformed"), List.copyOf(events));
    }

    /**
     * A machine of a later build: unknown messages are reported and ignored, known ones are applied, and the table
     * never goes back to an earlier revision.
     */
    @Test
    void subscriptionAppliesKnownMessagesOfALaterBuild() {
        RandomTable tables = new RandomTable(7);
        Delta one = tables.applyChange(100);
        Table first = tables.table();
        Delta two = tables.applyChange(100);
        Object[] to = ForeignBuildEncoder.revisionFields(two.to());
        List<byte[]> later = List.of(ForeignBuildEncoder.encode(2, 0, new Object[] {7, to}), ForeignBuildEncoder.encodePlain(7, to, "why"), ForeignBuildEncoder.encodePlain(12, to),
                ForeignBuildEncoder.encodePlain(6, new Object[] {new Object[] {one.to().number(), to, new Object[] {}, new Object[] {}, "by"}}),
                ForeignBuildEncoder.encodePlain(6, new Object[] {new Object[] {one.to().number(), to, new Object[] {new Object[] {4, "n", 2, new byte[0]}}, new Object[] {}}}),
                ForeignBuildEncoder.encodePlain(9, to, new Object[] {}, true, "more"));
        List<Table> receivedTables = new ArrayList<>();
        Subscription subscription = new Subscription(loop, transport, "g", "z", Table.empty(1), new SubscriberSettings(60_000_000, 60_000_000, 1_000, 60_000_000, 1, 60_000_000, 4,
                600_000_000), 1, (level, name, text, fields) -> events.add(level + " " + name), (table, deltas) -> receivedTables.add(table));
        runOnLoop(() -> {
            subscription.setMachines(List.of(new ControlMachine("m", "z")));
            subscription.received("m", MessageCodec.encode(new Message.Deltas(List.of(one))));
            for (byte[] each : later) {
                subscription.received("m", each);
                assertEquals(first.revision(), subscription.subscriber().table().revision());
            }
            subscription.received("m", MessageCodec.encode(new Message.Deltas(List.of(two))));
            subscription.received("m", MessageCodec.encode(new Message.Deltas(List.of(one))));
            return null;
        });
        assertEquals(List.of(first.revision(), tables.table().revision()), runOnLoop(() -> receivedTables.stream().map(Table::revision).toList()));
        assertEquals(List.of("WARN config_later", "WARN config_malformed"), List.copyOf(events));
        runOnLoop(() -> {
            subscription.close();
            return null;
        });
    }

    /** When the disk of a relay is full, it reports that once and still passes updates on to its subscribers. */
    @Test
    void relayWithFullDiskReportsItAndKeepsPublishing() throws Exception {
        InMemoryFiles files = new InMemoryFiles(Long.MAX_VALUE, new Random(1));
        TableFolder folder = new TableFolder(files);
        assertNull(folder.read().table());
        RandomTable tables = new RandomTable(8);
        Events eventSink = (level, name, text, fields) -> events.add(level + " " + name);
        List<Table> written = new ArrayList<>();
        try (TableWriter writer = new TableWriter(folder, null, Clock.systemUTC(), eventSink, 10)) {
            Publication publication = runOnLoop(() -> {
                Publication made = publication(tables);
                subscribe(made, "a", tables.table().revision());
                return made;
            });
            files.setDiskFull(true);
            for (int i = 0; i < 20; i++) {
                Delta delta = tables.applyChange(100);
                runOnLoop(() -> {  // as a control machine does with each update
                    writer.submit(tables.table(), List.of(delta));
                    publication.publishTable(tables.table(), List.of(delta));
                    return null;
                });
                awaitTrue(() -> runOnLoop(() -> MessageCodec.decodeMessage(transport.lastMessage("a")) instanceof Message.Deltas deltas && deltas.deltas().get(deltas.deltas().size() - 1).to().equals(delta.to())));
                runOnLoop(() -> {
                    publication.received("a", MessageCodec.encode(new Message.Ack(delta.to())));
                    return null;
                });
            }
            awaitTrue(() -> files.failedWrites() > 2);
            assertEquals(List.of("ERROR config_folder_unwritten"), List.copyOf(events));
            assertEquals(tables.table().revision(), publication.publisher().status().revision());
            files.setDiskFull(false);
            awaitTrue(() -> tables.table().revision().equals(writer.status().writtenRevision()));
            written.add(new TableFolder(files).read().table());
        }
        assertEquals(tables.table().revision(), written.get(0).revision());
        assertEquals(List.of("ERROR config_folder_unwritten", "INFO config_folder_written"), List.copyOf(events));
    }

    private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30); !condition.getAsBoolean(); Thread.sleep(1)) {
            assertTrue(System.nanoTime() < end, "in time");
        }
    }
}
