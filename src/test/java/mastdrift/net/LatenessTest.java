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

/**
 * A gateway whose event loop is stalled by tasks that do nothing: which delay is attributed to the gateway and which to
 * the hosts, and that the rules hold meanwhile.
 */
class LatenessTest {

    private static final long STALL_MICROS = 300_000;

    @TempDir
    private Path folder;

    /**
     * An attempt as reported to the module: its host, its outcome, how long it took by the clock, and which part of
     * that is attributed to the host.
     */
    private record ResolvedAttempt(String uid, Outcome outcome, long totalMicros, long hostMicros) { }

    /** A gateway with the real module, whose calls the test observes. */
    private final class ObservedGateway implements AutoCloseable {

        private final TimedEventLoop timed = TimedEventLoop.start();
        private final BlockingQueue<ResolvedAttempt> resolvedAttempts = new LinkedBlockingQueue<>();
        private final Map<Object, Long> requestedAtMicros = new ConcurrentHashMap<>();
        private final List<Socket> sockets = new ArrayList<>();
        private final HttpFront clients;
        private final AtomicInteger requestCount = new AtomicInteger();
        // called with the request's number, from 1 up, once the module has handled it
        private volatile IntConsumer afterRequest = number -> { };

        ObservedGateway(Server discovery, String... entries) throws Exception {
            GatewayConfig config = GatewayConfig.read(environment(folder, discovery, list(1, true, entries), SETTINGS));
            Balancer module = observed(new Balance());
            clients = timed.loop().submit(() -> {
                Gateway gateway = new Gateway(config, timed, module, 100, 100, false,
                        new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
                return new HttpFront(timed.loop(), gateway.ledger(), gateway, config.settings().classes(),
                        config.settings().tenants(), 100, line -> { });
            }).get();
            clients.listen(new InetSocketAddress("127.0.0.1", 0)).sync();
        }

        private Balancer observed(Balancer module) {
            return (Balancer) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {Balancer.class},
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("request")) {
                            requestedAtMicros.put(((Balancer.Request) arguments[1]).id(), (Long) arguments[0]);
                        } else if (method.getName().equals("resolved")) {
                            resolvedAttempts.add(new ResolvedAttempt((String) arguments[3], (Outcome) arguments[4],
                                    (Long) arguments[0] - requestedAtMicros.get(arguments[1]), (Long) arguments[5]));
                        }
                        try {
                            Object result = method.invoke(module, arguments);
                            if (method.getName().equals("request")) {
                                afterRequest.accept(requestCount.incrementAndGet());
                            }
                            return result;
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

        /** Sends a request on each connection before any is read, so that one turn takes them all. */
        void sendInOneTurn(List<Socket> clients) throws Exception {
            CountDownLatch written = new CountDownLatch(1);
            stall(0, written);
            for (Socket client : clients) {
                int number = clients.indexOf(client);
                write(client, read(20_000).replace("9b1f", "id-" + number).replace("7f3a", "key-" + number));
            }
            written.countDown();
        }

        /** Stalls the loop for a time from when this returns. */
        CountDownLatch stall(long micros) throws InterruptedException {
            return stall(micros, new CountDownLatch(0));
        }

        /** Stalls the loop for a time, and until the latch is released. */
        CountDownLatch stall(long micros, CountDownLatch release) throws InterruptedException {
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch over = new CountDownLatch(1);
            timed.loop().execute(() -> {
                stalled.countDown();
                pause(micros);
                awaitLatch(release);
                over.countDown();
            });
            assertTrue(stalled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
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

    private static void awaitLatch(CountDownLatch latch) {
        try {
            assertTrue(latch.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);  // no thread interrupts it
        }
    }

    private static void pause(long micros) {
        for (long until = System.nanoTime() + micros * 1000; System.nanoTime() < until; ) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    private static String inServiceEntry(String uid, Server host) {
        return entry(uid, host.address(), "a", "in_service");
    }

    /**
     * The host answers one request while the loop is stalled, and the other well after: the stall must not be
     * attributed to the host, its own delay must be.
     */
    @Test
    void hostIsChargedForItsOwnDelayButNotForAStall() throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        Script script = message -> {
            assertTrue(stalled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            pause(message.header("X-Trace-Id").equals("slow") ? 3 * STALL_MICROS : STALL_MICROS / 10);
            write(message.socket(), answer("200 OK", "x"));
        };
        try (Server discovery = discovery(); Server host = new Server(script);
                ObservedGateway gateway = new ObservedGateway(discovery, inServiceEntry("s1", host))) {
            Socket quick = gateway.connect();
            Socket slow = gateway.connect();
            write(quick, read(20_000).replace("9b1f", "quick"));
            write(slow, read(20_000).replace("9b1f", "slow"));
            await(host.received);
            await(host.received);
            gateway.stall(STALL_MICROS);
            stalled.countDown();
            assertEquals(200, Loopback.read(quick).status());
            assertEquals(200, Loopback.read(slow).status());
            ResolvedAttempt first = await(gateway.resolvedAttempts);
            ResolvedAttempt second = await(gateway.resolvedAttempts);
            assertTrue(first.totalMicros() - first.hostMicros() >= STALL_MICROS * 9 / 10,
                    "the stall is deducted: " + first);
            assertTrue(second.hostMicros() >= STALL_MICROS * 2,
                    "the time after the stall is attributed to the host: " + second);
        }
    }

    /**
     * Four fifths of the loop's time are lost, in short pieces; a slow host must still be distinguished from a fast one.
     */
    @Test
    void slowHostIsIdentifiedOnABusyLoop() throws Exception {
        long slownessMicros = 60_000;
        try (Server discovery = discovery(); Server one = serverTaking(3_000);
                Server two = serverTaking(slownessMicros);
                ObservedGateway gateway = new ObservedGateway(discovery, inServiceEntry("quick", one),
                        inServiceEntry("slow", two))) {
            gateway.timed.loop().scheduleWithFixedDelay(() -> pause(20_000), 0, 1_000, TimeUnit.MICROSECONDS);
            Socket client = gateway.connect();
            for (int i = 0; i < 60; i++) {
                write(client, read(20_000).replace("7f3a", "key" + i));
                assertEquals(200, Loopback.read(client).status());
            }
            List<ResolvedAttempt> attempts = new ArrayList<>();
            gateway.resolvedAttempts.drainTo(attempts);
            long[] quick = attempts.stream().filter(t -> t.uid().equals("quick")).mapToLong(ResolvedAttempt::hostMicros)
                    .sorted().toArray();
            long[] slow = attempts.stream().filter(t -> t.uid().equals("slow")).mapToLong(ResolvedAttempt::hostMicros)
                    .sorted().toArray();
            long quickByClock = median(attempts.stream().filter(t -> t.uid().equals("quick"))
                    .mapToLong(ResolvedAttempt::totalMicros).sorted().toArray());
            assertTrue(quickByClock >= 10_000, "by the clock the quick host takes long: " + quickByClock);
            assertTrue(median(quick) <= 8_000, "but that is not attributed to it: " + Arrays.toString(quick));
            assertTrue(median(slow) >= slownessMicros / 2, "the slow host's time is: " + Arrays.toString(slow));
        }
    }

    private static Server serverTaking(long micros) throws IOException {
        return new Server(message -> {
            pause(micros);
            write(message.socket(), answer("200 OK", "x"));
        });
    }

    private static long median(long[] sorted) {
        assertTrue(sorted.length > 5, "too few: " + sorted.length);
        return sorted[sorted.length / 2];
    }

    /**
     * A client whose time is up by the end of a stall is answered at once; a request that arrived during the stall,
     * with less time than the stall took, is refused and not sent. This also holds if the turn after the stall takes
     * long itself, so that its events are deferred.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void afterAHoldNobodyWaitsInVain(boolean longTurn) throws Exception {
        try (Server discovery = discovery(); Server host = new Server(message -> { });
                ObservedGateway gateway = new ObservedGateway(discovery, inServiceEntry("s1", host))) {
            // loads classes, which takes longer than the whole time of the other request
            Socket first = gateway.connect();
            write(first, read(60_000));
            await(host.received);
            Socket waiting = gateway.connect();
            Socket arriving = gateway.connect();
            Socket queued = gateway.connect();
            long stallMicros = 5 * STALL_MICROS;  // so that the time until the first send does not matter
            write(waiting, read((int) stallMicros / 3_000).replace("9b1f", "out"));
            await(host.received);
            CountDownLatch over = gateway.stall(stallMicros);
            write(arriving, read((int) stallMicros / 3_000).replace("9b1f", "coming"));
            if (longTurn) {
                gateway.afterRequest = number -> pause(STALL_MICROS);
                write(queued, read(60_000).replace("9b1f", "long"));
            }
            assertTrue(over.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            assertEquals(503, Loopback.read(waiting).status());
            assertEquals(503, Loopback.read(arriving).status());
            if (longTurn) {
                assertTrue(await(host.received).head().contains("long"));
            }
            assertEquals(0, host.received.size(), "no further request was sent");
            assertEquals(Outcome.EXPIRED, await(gateway.resolvedAttempts).outcome(),
                    "the host had all or most of that time");
        }
    }

    /**
     * Three requests are ready when a turn begins. The first takes longer than the loop may be late (as code does that
     * runs for the first time), so the others are deferred until all input has been read. The second then takes half a
     * second, during which the only host is drained in favour of another: the third, for which an idle connection to
     * the first host is open, must go to the other host.
     */
    @Test
    void drainReadWhileDeferredEventsAreHandledIsObeyed() throws Exception {
        CountDownLatch allArrived = new CountDownLatch(3);
        // the first three requests wait for each other, so that three connections are opened
        Script together = message -> {
            allArrived.countDown();
            awaitLatch(allArrived);
            write(message.socket(), answer("200 OK", "one"));
        };
        try (Server discovery = discovery(); Server one = new Server(together); Server two = host("two");
                ObservedGateway gateway = new ObservedGateway(discovery, inServiceEntry("s1", one))) {
            Message watch = await(discovery.received);
            List<Socket> clients = List.of(gateway.connect(), gateway.connect(), gateway.connect());
            gateway.sendInOneTurn(clients);
            for (Socket client : clients) {
                assertEquals("one", Loopback.read(client).text());
            }
            one.received.clear();
            pause(100_000);  // a connection is not used again within 25 ms after an answer
            gateway.afterRequest = number -> {
                if (number == clients.size() + 1) {
                    pause(STALL_MICROS);
                } else if (number == clients.size() + 2) {
                    drain(watch, two);
                    pause(2 * STALL_MICROS);
                }
            };
            gateway.sendInOneTurn(clients);
            List<String> answers = new ArrayList<>();
            for (Socket client : clients) {
                answers.add(Loopback.read(client).text());
            }
            assertEquals(List.of("one", "one", "two"), answers.stream().sorted().toList(),
                    "sent to a host half a second after its drain was announced");
        }
    }

    /** As before, with a connection that has been established and on which a task of the same turn sends. */
    @Test
    void drainReadBetweenADialAndItsFirstByteIsObeyed() throws Exception {
        try (Server discovery = discovery(); Server one = host("one"); Server two = host("two");
                ObservedGateway gateway = new ObservedGateway(discovery, inServiceEntry("s1", one))) {
            Message watch = await(discovery.received);
            Socket first = gateway.connect();
            Socket second = gateway.connect();
            for (int i = 0; i < 3; i++) {
                gateway.timed.loop().submit(() -> { }).get();  // both connections are accepted by then
            }
            CountDownLatch dialled = new CountDownLatch(1);
            CountDownLatch written = new CountDownLatch(1);
            gateway.afterRequest = number -> {
                if (number == 1) {
                    // the next wait finds the dial complete and the second request ready
                    gateway.timed.loop().execute(() -> awaitLatch(written));
                    dialled.countDown();
                } else if (number == 2) {
                    drain(watch, two);
                    pause(2 * STALL_MICROS);
                }
            };
            write(first, read(20_000));
            awaitLatch(dialled);
            write(second, read(20_000).replace("9b1f", "second").replace("7f3a", "other"));
            written.countDown();
            assertEquals("two", Loopback.read(first).text());
            assertEquals("two", Loopback.read(second).text());
            assertTrue(one.received.isEmpty(), "sent to a host half a second after its drain was announced");
        }
    }

    private static void drain(Message watch, Server other) {
        try {
            sendLine(watch.socket(), list(7, true, inServiceEntry("s2", other)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Every turn of the loop is long, and more connections have arrived than one turn accepts: the last of them is
     * accepted some turns after its request arrived. However many turns it waited, its time counts from the client's
     * send, to within one turn.
     */
    @Test
    void requestWaitingForAcceptIsAnsweredInTime() throws Exception {
        int expiresMillis = 1_500;
        long turnMicros = 150_000;
        try (Server discovery = discovery(); Server host = new Server(message -> { });
                ObservedGateway gateway = new ObservedGateway(discovery, inServiceEntry("s1", host))) {
            Socket first = gateway.connect();  // loads classes
            write(first, read(1));
            assertNotNull(Loopback.read(first));
            ConcurrentSkipListSet<Long> turns = new ConcurrentSkipListSet<>();
            gateway.timed.loop().scheduleWithFixedDelay(() -> {
                turns.add(System.nanoTime());
                pause(turnMicros);
            }, 0, 1_000, TimeUnit.MICROSECONDS);
            List<Socket> sockets = new ArrayList<>();
            long[] sent = new long[80];
            for (int i = 0; i < sent.length; i++) {
                sockets.add(gateway.connect());
                write(sockets.get(i), read(expiresMillis).replace("9b1f", "id" + i));
                sent[i] = System.nanoTime();
            }
            for (int i = 0; i < sent.length; i++) {
                assertNotNull(Loopback.read(sockets.get(i)));
                long answered = System.nanoTime();
                long due = sent[i] + TimeUnit.MILLISECONDS.toNanos(expiresMillis);
                // The tolerance is the length of two turns, the one in which the time ends and the next, however long
                // they take on this machine.
                List<Long> after = turns.tailSet(due).stream().limit(2).toList();
                assertTrue(after.size() < 2 || answered - due <= after.get(1) - turns.floor(due),
                        "answered " + (answered - due) / 1_000 + " us after its time, number " + i);
            }
        }
    }

    /**
     * The listener is to be closed while the loop is stalled, and clients connect meanwhile: the kernel has
     * accepted their connections, so they must be answered.
     */
    @Test
    void clientWaitingForAcceptAtShutdownIsAnswered() throws Exception {
        try (Server discovery = discovery(); Server host = Loopback.host("x");
                ObservedGateway gateway = new ObservedGateway(discovery, inServiceEntry("s1", host))) {
            Socket first = gateway.connect();
            write(first, read(20_000));
            assertEquals(200, Loopback.read(first).status());
            gateway.timed.loop().execute(() -> gateway.clients.stop(3_000_000, () -> { }));
            CountDownLatch sent = new CountDownLatch(1);
            // the close of the listener falls due during the stall, and all clients connect during it
            gateway.stall(3 * STALL_MICROS, sent);
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                sockets.add(gateway.connect());
                write(sockets.get(i), read(20_000).replace("9b1f", "id" + i));
            }
            sent.countDown();
            for (Socket each : sockets) {
                Message answer = Loopback.read(each);
                assertNotNull(answer, "answered, not reset");
                assertEquals(200, answer.status());
            }
        }
    }

    /**
     * The drain arrives behind the request, while the loop is stalled for longer than a drain may take: both are read
     * in the same turn, and the request must not go to the draining host.
     */
    @Test
    void drainArrivingDuringAStallIsObeyedBeforeAnySend() throws Exception {
        try (Server discovery = discovery(); Server host = Loopback.host("x");
                ObservedGateway gateway = new ObservedGateway(discovery, inServiceEntry("s1", host))) {
            Socket client = gateway.connect();
            Socket watch = await(discovery.received).socket();
            write(client, read(20_000));
            assertEquals(200, Loopback.read(client).status());
            await(host.received);
            gateway.stall(STALL_MICROS);
            write(client, read(20_000));
            pause(1_000);
            sendLine(watch, list(2, false, entry("s1", host.address(), "a", "terminating")));
            Message refused = Loopback.read(client);
            assertEquals(503, refused.status());
            assertEquals(0, host.received.size());
        }
    }

    /**
     * Nobody listens on the host's address, which is known at once: the failure is attributed to the host even though
     * the loop was busy for part of that time.
     */
    @Test
    void immediateDialFailureIsAttributedToTheHost() throws Exception {
        try (Server discovery = discovery();
                ObservedGateway gateway = new ObservedGateway(discovery,
                        entry("s1", Loopback.unusedAddress(), "a", "in_service"))) {
            ResolvedAttempt last = null;
            for (int i = 0; i < 5; i++) {  // the first ones load classes
                Socket client = gateway.connect();
                write(client, read(20_000));
                assertEquals(503, Loopback.read(client).status());
                last = gateway.resolvedAttempts.isEmpty() ? last : gateway.resolvedAttempts.poll();
            }
            assertEquals(Outcome.DIAL_FAILED, last.outcome());
        }
    }
}
