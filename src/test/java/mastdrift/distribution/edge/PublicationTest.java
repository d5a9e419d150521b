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

/** Both ends over links that are made up: what goes out, what is said once, and what a link that takes nothing leads to. */
class PublicationTest {

    private static final PublisherSettings AT_ONCE = new PublisherSettings(1, 60_000_000, 8, 4_096, 1 << 20, 60_000_000, 60_000_000, 60_000_000, 64 << 10);

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    private static final class FakeTransport implements Transport {
        private final Map<String, List<byte[]>> out = new HashMap<>();
        private final List<String> ended = new ArrayList<>();
        private final List<String> full = new ArrayList<>();

        @Override
        public boolean send(String to, byte[] message) {
            return reply(to, message);
        }

        @Override
        public boolean reply(String to, byte[] message) {
            return !full.contains(to) && out.computeIfAbsent(to, name -> new ArrayList<>()).add(message);
        }

        @Override
        public void leave(String to) {
            ended.add("leave " + to);
        }

        @Override
        public void drop(String from) {
            ended.add("drop " + from);
        }

        private byte[] last(String to) {
            return out.get(to).get(out.get(to).size() - 1);
        }
    }

    private final FakeTransport transport = new FakeTransport();

    private <T> T on(Callable<T> call) {
        T result = loop.submit(call).syncUninterruptibly().getNow();
        loop.submit(() -> { }).syncUninterruptibly();  // what it left for the next turn
        return result;
    }

    @AfterEach
    void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Publication publication(Growing tables) {
        return new Publication(loop, transport, tables.table(), AT_ONCE, (level, name, text, fields) -> events.add(level + " " + name));
    }

    private static void subscribe(Publication publication, String name, Revision have) {
        publication.received(name, MessageCodec.bytes(new Message.Subscribe(have, "z")));
    }

    /** One change costs one making of bytes, however many hear it. */
    @Test
    void whatGoesToManyIsMadeBytesOfOnce() {
        Growing tables = new Growing(1);
        on(() -> {
            Publication publication = publication(tables);
            for (int i = 0; i < 300; i++) {
                subscribe(publication, "g" + i, tables.table().revision());
            }
            long before = publication.encoded();
            assertEquals(1, before, "300 times that it is current");
            for (int change = 1; change <= 3; change++) {
                Delta delta = tables.change(100);
                publication.table(tables.table(), List.of(delta));
                long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1);
                while (System.nanoTime() < until) {
                    Thread.onSpinWait();  // what belongs together is told together
                }
                publication.alone(false);
                byte[] bytes = transport.last("g0");
                assertEquals(Drawn.said(new Message.Deltas(List.of(delta))), Drawn.said(MessageCodec.message(bytes)));
                for (int i = 0; i < 300; i++) {
                    assertSame(bytes, transport.last("g" + i));
                }
                assertEquals(before + change, publication.encoded());
            }
            return null;
        });
        assertTrue(events.isEmpty());
    }

    /** A link that takes no more: its subscriber is dropped, once, and the others hear on. */
    @Test
    void aSubscriberWhoseLinkIsFullIsDropped() {
        Growing tables = new Growing(2);
        Publication publication = on(() -> {
            Publication made = publication(tables);
            subscribe(made, "a", tables.table().revision());
            subscribe(made, "slow", tables.table().revision());
            return made;
        });
        transport.full.add("slow");
        on(() -> {
            Table old = tables.table();
            Delta delta = tables.change(100);
            publication.table(tables.table(), List.of(delta));
            subscribe(publication, "slow", old.revision());  // tells it again, which fails again
            return null;
        });
        assertEquals(List.of("drop slow"), transport.ended);
        assertEquals(1, publication.publisher().status().subscribers());
        assertEquals(List.of("WARN config_subscriber_full"), List.copyOf(events));
    }

    @Test
    void whatCannotBeReadDropsItsSenderAndIsSaidOnce() {
        Growing tables = new Growing(3);
        on(() -> {
            Publication publication = publication(tables);
            subscribe(publication, "a", tables.table().revision());
            for (int i = 0; i < 5; i++) {
                publication.received("bad", new byte[] {1, 0, 7});
                byte[] later = MessageCodec.bytes(new Message.Credit(1));
                later[0]++;
                publication.received("later", later);
                publication.received("turned", MessageCodec.bytes(new Message.Deltas(List.of(new Growing(4).change(10)))));  // not a subscriber's
            }
            assertEquals(1, publication.publisher().status().subscribers());
            assertEquals(0, publication.publisher().table().revision().number());
            return null;
        });
        assertEquals(15, transport.ended.size());
        assertEquals(List.of("WARN config_malformed", "WARN config_later"), List.copyOf(events));
    }

    /** A machine that talks nonsense changes nothing here; one that can't be reached is left for the next in the same turn. */
    @Test
    void aSubscriptionBearsNonsenseAndGoesOnWhereALinkTakesNothing() {
        Growing tables = new Growing(5);
        tables.change(100);
        List<Table> taken = new ArrayList<>();
        Subscription subscription = new Subscription(loop, transport, "g", "z", Table.empty(1), new SubscriberSettings(60_000_000, 60_000_000, 1_000, 60_000_000, 1, 60_000_000, 4,
                600_000_000), 1, (level, name, text, fields) -> events.add(level + " " + name), (table, deltas) -> taken.add(table));
        on(() -> {
            subscription.machines(List.of(new ControlMachine("m1", "z"), new ControlMachine("m2", "z")));
            return null;
        });
        String first = subscription.subscriber().currentMachine();
        String other = first.equals("m1") ? "m2" : "m1";
        // Within a millisecond it also tells what it has in force, and nothing more for a minute.
        long tells = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (on(() -> transport.out.get(first).size()) < 2) {
            assertTrue(System.nanoTime() < tells, "tells what is in force");
        }
        List<byte[]> asked = on(() -> List.copyOf(transport.out.get(first)));
        assertEquals(2, asked.size());
        assertArrayEquals(MessageCodec.bytes(new Message.Subscribe(Revision.empty(1), "z")), asked.get(0));
        assertArrayEquals(MessageCodec.bytes(new Message.Ack(Revision.empty(1))), asked.get(1));
        on(() -> {
            for (int i = 0; i < 5; i++) {
                subscription.received(first, new byte[] {1, 0, 7});
                subscription.received(other, MessageCodec.bytes(new Message.Deltas(List.of(new Growing(5).change(100)))));  // nobody asked it
            }
            return null;
        });
        assertTrue(taken.isEmpty());
        assertEquals(List.of("WARN config_malformed"), List.copyOf(events));
        transport.full.add(first);
        on(() -> {
            subscription.received(first, MessageCodec.bytes(new Message.Heartbeat(tables.table().revision())));  // it is behind, and asks
            return null;
        });
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!on(() -> transport.out.containsKey(other))) {
            assertTrue(System.nanoTime() < until, "asks the other");
        }
        assertTrue(on(() -> transport.ended).contains("leave " + first));
        on(() -> {
            subscription.received(other, MessageCodec.bytes(new Message.Deltas(List.of(new Growing(5).change(100)))));
            return null;
        });
        assertEquals(1, taken.size());
        assertEquals(tables.table().revision(), taken.get(0).revision());
        assertNotSame(Table.empty(1), subscription.subscriber().table());
        on(() -> {
            subscription.close();
            return null;
        });
    }

    /** Subscribers of a later build, each with something that this one doesn't know: dropped, said, and nobody else notices. */
    @Test
    void subscribersOfALaterBuildAreDroppedAndOthersServed() {
        Growing tables = new Growing(6);
        Object[] have = LaterCodec.fields(tables.table().revision());
        List<byte[]> later = List.of(LaterCodec.bytes(2, 0, new Object[] {0, have, "z"}), LaterCodec.plain(0, have, "z", "cell"), LaterCodec.plain(11, have),
                LaterCodec.plain(0, new Object[] {1, 0, 0, 0, 0}, "z"), LaterCodec.bytes(1, 0, Map.of("type", 0, "have", have, "zone", "z")));
        on(() -> {
            Publication publication = publication(tables);
            subscribe(publication, "a", tables.table().revision());
            for (int i = 0; i < later.size(); i++) {
                publication.received("later-" + i, later.get(i));
            }
            Delta delta = tables.change(100);
            publication.table(tables.table(), List.of(delta));
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1);
            while (System.nanoTime() < until) {
                Thread.onSpinWait();  // what belongs together is told together
            }
            publication.alone(false);
            assertEquals(Drawn.said(new Message.Deltas(List.of(delta))), Drawn.said(MessageCodec.message(transport.last("a"))));
            assertEquals(1, publication.publisher().status().subscribers());
            return null;
        });
        assertEquals(List.of("drop later-0", "drop later-1", "drop later-2", "drop later-3", "drop later-4"), transport.ended);
        assertEquals(List.of("WARN config_later", "WARN config_malformed", "WARN config_malformed", "WARN config_malformed", "WARN config_malformed"), List.copyOf(events));
    }

    /** A machine of a later build: what isn't known is said and taken for nothing, what is known is taken, and the table never goes back. */
    @Test
    void aMachineOfALaterBuildIsHeardAsFarAsItIsKnown() {
        Growing tables = new Growing(7);
        Delta one = tables.change(100);
        Table first = tables.table();
        Delta two = tables.change(100);
        Object[] to = LaterCodec.fields(two.to());
        List<byte[]> later = List.of(LaterCodec.bytes(2, 0, new Object[] {7, to}), LaterCodec.plain(7, to, "why"), LaterCodec.plain(12, to),
                LaterCodec.plain(6, new Object[] {new Object[] {one.to().number(), to, new Object[] {}, new Object[] {}, "by"}}),
                LaterCodec.plain(6, new Object[] {new Object[] {one.to().number(), to, new Object[] {new Object[] {4, "n", 2, new byte[0]}}, new Object[] {}}}),
                LaterCodec.plain(9, to, new Object[] {}, true, "more"));
        List<Table> taken = new ArrayList<>();
        Subscription subscription = new Subscription(loop, transport, "g", "z", Table.empty(1), new SubscriberSettings(60_000_000, 60_000_000, 1_000, 60_000_000, 1, 60_000_000, 4,
                600_000_000), 1, (level, name, text, fields) -> events.add(level + " " + name), (table, deltas) -> taken.add(table));
        on(() -> {
            subscription.machines(List.of(new ControlMachine("m", "z")));
            subscription.received("m", MessageCodec.bytes(new Message.Deltas(List.of(one))));
            for (byte[] each : later) {
                subscription.received("m", each);
                assertEquals(first.revision(), subscription.subscriber().table().revision());
            }
            subscription.received("m", MessageCodec.bytes(new Message.Deltas(List.of(two))));
            subscription.received("m", MessageCodec.bytes(new Message.Deltas(List.of(one))));
            return null;
        });
        assertEquals(List.of(first.revision(), tables.table().revision()), on(() -> taken.stream().map(Table::revision).toList()));
        assertEquals(List.of("WARN config_later", "WARN config_malformed"), List.copyOf(events));
        on(() -> {
            subscription.close();
            return null;
        });
    }

    /** The disk of one that passes on is full: it says so once, and what it hears goes on to its subscribers all the same. */
    @Test
    void oneThatPassesOnWithAFullDiskServesOnAndSaysSo() throws Exception {
        MemoryFiles files = new MemoryFiles(Long.MAX_VALUE, new Random(1));
        TableFolder folder = new TableFolder(files);
        assertNull(folder.read().table());
        Growing tables = new Growing(8);
        Events hears = (level, name, text, fields) -> events.add(level + " " + name);
        List<Table> written = new ArrayList<>();
        try (TableWriter writer = new TableWriter(folder, null, Clock.systemUTC(), hears, 10)) {
            Publication publication = on(() -> {
                Publication made = publication(tables);
                subscribe(made, "a", tables.table().revision());
                return made;
            });
            files.full(true);
            for (int i = 0; i < 20; i++) {
                Delta delta = tables.change(100);
                on(() -> {  // as a control machine does with what it is told
                    writer.table(tables.table(), List.of(delta));
                    publication.table(tables.table(), List.of(delta));
                    return null;
                });
                until(() -> on(() -> MessageCodec.message(transport.last("a")) instanceof Message.Deltas deltas && deltas.deltas().get(deltas.deltas().size() - 1).to().equals(delta.to())));
                on(() -> {
                    publication.received("a", MessageCodec.bytes(new Message.Ack(delta.to())));
                    return null;
                });
            }
            until(() -> files.failed() > 2);
            assertEquals(List.of("ERROR config_folder_unwritten"), List.copyOf(events));
            assertEquals(tables.table().revision(), publication.publisher().status().revision());
            files.full(false);
            until(() -> tables.table().revision().equals(writer.status().written()));
            written.add(new TableFolder(files).read().table());
        }
        assertEquals(tables.table().revision(), written.get(0).revision());
        assertEquals(List.of("ERROR config_folder_unwritten", "INFO config_folder_written"), List.copyOf(events));
    }

    private static void until(BooleanSupplier met) throws InterruptedException {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30); !met.getAsBoolean(); Thread.sleep(1)) {
            assertTrue(System.nanoTime() < end, "in time");
        }
    }
}
