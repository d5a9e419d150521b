package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.answer;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.sendLine;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntConsumer;
import mastdrift.Balance;
import mastdrift.Balancer;
import mastdrift.Balancer.Outcome;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Script;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gateway whose loop is held up, by tasks that do nothing: what is its own, what is the hosts', and the rules meanwhile. */
class LatenessTest {

    private static final long HOLD = 300_000;

    @TempDir
    private Path folder;

    /** What the module was told of an attempt: its host, for how long it was out by the clock, and of that the host's part. */
    private record Told(String uid, Outcome outcome, long all, long elapsed) { }

    /** A gateway around the real module, which a test listens in on. */
    private final class Held implements AutoCloseable {

        private final TimedLoop timed = TimedLoop.start();
        private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();
        private final Map<Object, Long> asked = new ConcurrentHashMap<>();
        private final List<Socket> sockets = new ArrayList<>();
        private final ClientSide clients;
        private final AtomicInteger requests = new AtomicInteger();
        private volatile IntConsumer requested = number -> { };  // once the module has had the request of that number, from 1 up

        Held(Server discovery, String... entries) throws Exception {
            GatewayConfig config = GatewayConfig.read(environment(folder, discovery, list(1, true, entries), SETTINGS));
            Balancer module = listenedTo(new Balance());
            clients = timed.loop().submit(() -> {
                Gateway gateway = new Gateway(config, timed, module, 100, 100, false,
                        new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
                return new ClientSide(timed.loop(), gateway.ledger(), gateway, config.settings().classes(),
                        config.settings().tenants(), 100, line -> { });
            }).get();
            clients.listen(new InetSocketAddress("127.0.0.1", 0)).sync();
        }

        private Balancer listenedTo(Balancer module) {
            return (Balancer) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {Balancer.class},
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("request")) {
                            asked.put(((Balancer.Request) arguments[1]).id(), (Long) arguments[0]);
                        } else if (method.getName().equals("resolved")) {
                            told.add(new Told((String) arguments[3], (Outcome) arguments[4],
                                    (Long) arguments[0] - asked.get(arguments[1]), (Long) arguments[5]));
                        }
                        try {
                            Object none = method.invoke(module, arguments);
                            if (method.getName().equals("request")) {
                                requested.accept(requests.incrementAndGet());
                            }
                            return none;
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }

        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.connect(clients.address());
            socket.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
            sockets.add(socket);
            return socket;
        }

        /** A request of each is there before one is read: one turn takes them. */
        void inOneTurn(List<Socket> clients) throws Exception {
            CountDownLatch written = new CountDownLatch(1);
            hold(0, written);
            for (Socket client : clients) {
                int number = clients.indexOf(client);
                write(client, read(20_000).replace("9b1f", "id-" + number).replace("7f3a", "key-" + number));
            }
            written.countDown();
        }

        /** The loop does nothing else for a while from the moment at which this returns. */
        CountDownLatch hold(long micros) throws InterruptedException {
            return hold(micros, new CountDownLatch(0));
        }

        /** Likewise, and until something else has happened too. */
        CountDownLatch hold(long micros, CountDownLatch until) throws InterruptedException {
            CountDownLatch begun = new CountDownLatch(1);
            CountDownLatch over = new CountDownLatch(1);
            timed.loop().execute(() -> {
                begun.countDown();
                pause(micros);
                held(until);
                over.countDown();
            });
            assertTrue(begun.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            return over;
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : sockets) {
                socket.close();
            }
            timed.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static void held(CountDownLatch latch) {
        try {
            assertTrue(latch.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);  // nobody does
        }
    }

    private static void pause(long micros) {
        for (long until = System.nanoTime() + micros * 1000; System.nanoTime() < until; ) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    private static String up(String uid, Server host) {
        return entry(uid, host.address(), "a", "in_service");
    }

    /** The host answers one request while the loop is held, and the other well after: the first is not blamed, the second is. */
    @Test
    void aHoldIsNotTheHostsButItsOwnSlownessIs() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        Script script = message -> {
            assertTrue(held.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            pause(message.header("X-Trace-Id").equals("slow") ? 3 * HOLD : HOLD / 10);
            write(message.socket(), answer("200 OK", "x"));
        };
        try (Server discovery = discovery(); Server host = new Server(script); Held gateway = new Held(discovery, up("s1", host))) {
            Socket quick = gateway.connect();
            Socket slow = gateway.connect();
            write(quick, read(20_000).replace("9b1f", "quick"));
            write(slow, read(20_000).replace("9b1f", "slow"));
            await(host.received);
            await(host.received);
            gateway.hold(HOLD);
            held.countDown();
            assertEquals(200, Loopback.read(quick).status());
            assertEquals(200, Loopback.read(slow).status());
            Told first = await(gateway.told);
            Told second = await(gateway.told);
            assertTrue(first.all() - first.elapsed() >= HOLD * 9 / 10, "the hold is taken off: " + first);
            assertTrue(second.elapsed() >= HOLD * 2, "what comes after the hold is the host's: " + second);
        }
    }

    /** Four fifths of the loop's time are gone, in pieces; the host that takes its time is told from the one that doesn't. */
    @Test
    void ofALoopThatHasLittleTimeTheSlowHostIsStillFound() throws Exception {
        long slowness = 60_000;
        try (Server discovery = discovery(); Server one = taking(3_000); Server two = taking(slowness);
                Held gateway = new Held(discovery, up("quick", one), up("slow", two))) {
            gateway.timed.loop().scheduleWithFixedDelay(() -> pause(20_000), 0, 1_000, TimeUnit.MICROSECONDS);
            Socket client = gateway.connect();
            for (int i = 0; i < 60; i++) {
                write(client, read(20_000).replace("7f3a", "key" + i));
                assertEquals(200, Loopback.read(client).status());
            }
            List<Told> told = new ArrayList<>();
            gateway.told.drainTo(told);
            long[] quick = told.stream().filter(t -> t.uid().equals("quick")).mapToLong(Told::elapsed).sorted().toArray();
            long[] late = told.stream().filter(t -> t.uid().equals("slow")).mapToLong(Told::elapsed).sorted().toArray();
            long byClock = median(told.stream().filter(t -> t.uid().equals("quick")).mapToLong(Told::all).sorted().toArray());
            assertTrue(byClock >= 10_000, "by the clock the quick one takes long: " + byClock);
            assertTrue(median(quick) <= 8_000, "but it isn't told so: " + Arrays.toString(quick));
            assertTrue(median(late) >= slowness / 2, "the slow one is: " + Arrays.toString(late));
        }
    }

    private static Server taking(long micros) throws IOException {
        return new Server(message -> {
            pause(micros);
            write(message.socket(), answer("200 OK", "x"));
        });
    }

    private static long median(long[] sorted) {
        assertTrue(sorted.length > 5, "too few: " + sorted.length);
        return sorted[sorted.length / 2];
    }

    /** Whoever's time is up by the end of a hold hears at once; what came during it, with less time than the hold took, is
        turned away and not sent. So it is where the turn behind the hold is long itself, and its events are held back. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void afterAHoldNobodyWaitsInVain(boolean longTurn) throws Exception {
        try (Server discovery = discovery(); Server host = new Server(message -> { });
                Held gateway = new Held(discovery, up("s1", host))) {
            Socket first = gateway.connect();  // loads classes, which takes longer than the other's whole time
            write(first, read(60_000));
            await(host.received);
            Socket out = gateway.connect();
            Socket coming = gateway.connect();
            Socket behind = gateway.connect();
            long hold = 5 * HOLD;  // the time until the first send may not be a part of it that counts
            write(out, read((int) hold / 3_000).replace("9b1f", "out"));
            await(host.received);
            CountDownLatch over = gateway.hold(hold);
            write(coming, read((int) hold / 3_000).replace("9b1f", "coming"));
            if (longTurn) {
                gateway.requested = number -> pause(HOLD);
                write(behind, read(60_000).replace("9b1f", "long"));
            }
            assertTrue(over.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            assertEquals(503, Loopback.read(out).status());
            assertEquals(503, Loopback.read(coming).status());
            if (longTurn) {
                assertTrue(await(host.received).head().contains("long"));
            }
            assertEquals(0, host.received.size(), "nothing more was sent");
            assertEquals(Outcome.EXPIRED, await(gateway.told).outcome(), "the host had most of that time for itself, or all");
        }
    }

    /** Three requests are there as a turn begins. The first takes longer than the loop may be late, as code does that runs for the first time, so the others are
        held back until all that is there has been read. Then the second takes half a second, in which the only host is drained for another one: the third,
        for which an idle connection stands there, goes to the other. */
    @Test
    void aDrainToldWhileEventsThatWereHeldBackArePlayedIsKept() throws Exception {
        CountDownLatch met = new CountDownLatch(3);
        Script together = message -> {  // the first three meet, so that three connections stand
            met.countDown();
            held(met);
            write(message.socket(), answer("200 OK", "one"));
        };
        try (Server discovery = discovery(); Server one = new Server(together); Server two = host("two"); Held gateway = new Held(discovery, up("s1", one))) {
            Message watch = await(discovery.received);
            List<Socket> clients = List.of(gateway.connect(), gateway.connect(), gateway.connect());
            gateway.inOneTurn(clients);
            for (Socket client : clients) {
                assertEquals("one", Loopback.read(client).text());
            }
            one.received.clear();
            pause(100_000);  // connections rest for 25 ms behind an answer
            gateway.requested = number -> {
                if (number == clients.size() + 1) {
                    pause(HOLD);
                } else if (number == clients.size() + 2) {
                    drain(watch, two);
                    pause(2 * HOLD);
                }
            };
            gateway.inOneTurn(clients);
            List<String> answers = new ArrayList<>();
            for (Socket client : clients) {
                answers.add(Loopback.read(client).text());
            }
            assertEquals(List.of("one", "one", "two"), answers.stream().sorted().toList(), "sent to a host half a second after its drain was told");
        }
    }

    /** Likewise, while a connection has come up that a task of the same turn sends on. */
    @Test
    void aDrainToldBetweenADialAndItsFirstByteIsKept() throws Exception {
        try (Server discovery = discovery(); Server one = host("one"); Server two = host("two"); Held gateway = new Held(discovery, up("s1", one))) {
            Message watch = await(discovery.received);
            Socket first = gateway.connect();
            Socket second = gateway.connect();
            for (int i = 0; i < 3; i++) {
                gateway.timed.loop().submit(() -> { }).get();  // both are accepted by then
            }
            CountDownLatch dialled = new CountDownLatch(1);
            CountDownLatch written = new CountDownLatch(1);
            gateway.requested = number -> {
                if (number == 1) {
                    gateway.timed.loop().execute(() -> held(written));  // the next wait finds the dial up and the second's request there
                    dialled.countDown();
                } else if (number == 2) {
                    drain(watch, two);
                    pause(2 * HOLD);
                }
            };
            write(first, read(20_000));
            held(dialled);
            write(second, read(20_000).replace("9b1f", "second").replace("7f3a", "other"));
            written.countDown();
            assertEquals("two", Loopback.read(first).text());
            assertEquals("two", Loopback.read(second).text());
            assertTrue(one.received.isEmpty(), "sent to a host half a second after its drain was told");
        }
    }

    private static void drain(Message watch, Server other) {
        try {
            sendLine(watch.socket(), list(7, true, up("s2", other)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Every turn of the loop is long, and more connections have come than one turn takes: the last of them is accepted some turns
        after its request was there. However often it was passed over, its time counts from the client's send, but for one turn more. */
    @Test
    void whatWaitedToBeAcceptedHasItsAnswerInTime() throws Exception {
        int expires = 1_500;
        long turn = 150_000;
        try (Server discovery = discovery(); Server host = new Server(message -> { });
                Held gateway = new Held(discovery, up("s1", host))) {
            Socket first = gateway.connect();  // loads classes
            write(first, read(1));
            assertNotNull(Loopback.read(first));
            ConcurrentSkipListSet<Long> turns = new ConcurrentSkipListSet<>();
            gateway.timed.loop().scheduleWithFixedDelay(() -> {
                turns.add(System.nanoTime());
                pause(turn);
            }, 0, 1_000, TimeUnit.MICROSECONDS);
            List<Socket> sockets = new ArrayList<>();
            long[] sent = new long[80];
            for (int i = 0; i < sent.length; i++) {
                sockets.add(gateway.connect());
                write(sockets.get(i), read(expires).replace("9b1f", "id" + i));
                sent[i] = System.nanoTime();
            }
            for (int i = 0; i < sent.length; i++) {
                assertNotNull(Loopback.read(sockets.get(i)));
                long answered = System.nanoTime();
                long due = sent[i] + TimeUnit.MILLISECONDS.toNanos(expires);
                // As long as two turns last, the one in which its time ends and the next, however long the machine makes them.
                List<Long> after = turns.tailSet(due).stream().limit(2).toList();
                assertTrue(after.size() < 2 || answered - due <= after.get(1) - turns.floor(due),
                        "answered " + (answered - due) / 1_000 + " us after its time, number " + i);
            }
        }
    }

    /** The listener is to be closed while the loop is held, and somebody has come meanwhile: taken by the machine, they have their answer. */
    @Test
    void whoWaitsToBeAcceptedAtAStopIsAnswered() throws Exception {
        try (Server discovery = discovery(); Server host = Loopback.host("x"); Held gateway = new Held(discovery, up("s1", host))) {
            Socket first = gateway.connect();
            write(first, read(20_000));
            assertEquals(200, Loopback.read(first).status());
            gateway.timed.loop().execute(() -> gateway.clients.stop(3_000_000, () -> { }));
            CountDownLatch sent = new CountDownLatch(1);
            gateway.hold(3 * HOLD, sent);  // the close of the listener falls due in it, and all come during it
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                sockets.add(gateway.connect());
                write(sockets.get(i), read(20_000).replace("9b1f", "id" + i));
            }
            sent.countDown();
            for (Socket each : sockets) {
                Message answer = Loopback.read(each);
                assertNotNull(answer, "an answer, and no reset");
                assertEquals(200, answer.status());
            }
        }
    }

    /** The drain came in behind the request, while the loop was held for longer than a drain may take: read in the same turn, the
        request must not go to the host that drains. */
    @Test
    void aDrainToldDuringAHoldIsHeardBeforeAnythingIsSent() throws Exception {
        try (Server discovery = discovery(); Server host = Loopback.host("x"); Held gateway = new Held(discovery, up("s1", host))) {
            Socket client = gateway.connect();
            Socket watch = await(discovery.received).socket();
            write(client, read(20_000));
            assertEquals(200, Loopback.read(client).status());
            await(host.received);
            gateway.hold(HOLD);
            write(client, read(20_000));
            pause(1_000);
            sendLine(watch, list(2, false, entry("s1", host.address(), "a", "terminating")));
            Message refused = Loopback.read(client);
            assertEquals(503, refused.status());
            assertEquals(0, host.received.size());
        }
    }

    /** Nobody listens there, which is known at once: that the loop had other things to do for part of that moment excuses nothing. */
    @Test
    void whatFailsAtOnceIsTheHosts() throws Exception {
        try (Server discovery = discovery(); Held gateway = new Held(discovery, entry("s1", Loopback.unusedAddress(), "a", "in_service"))) {
            Told last = null;
            for (int i = 0; i < 5; i++) {  // the first ones load classes
                Socket client = gateway.connect();
                write(client, read(20_000));
                assertEquals(503, Loopback.read(client).status());
                last = gateway.told.isEmpty() ? last : gateway.told.poll();
            }
            assertEquals(Outcome.DIAL_FAILED, last.outcome());
        }
    }
}
