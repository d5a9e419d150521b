package mastdrift.serve;

import static mastdrift.serve.Rig.GUARDS_OFF;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import mastdrift.radius.Attribute;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Code;
import mastdrift.radius.Packet;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInRadiusServer;
import mastdrift.standin.StandInRadiusServer.Manner;
import mastdrift.zones.FlowCounts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** RADIUS requests that are in progress while their gateway stops, or while a reload takes away what they use. */
class RadiusShutdownTest {

    private static final String SECRET = "a secret that both know";
    private static final long WORK_MICROS = 600_000;
    // Longer than a gateway that stops serves new requests.
    private static final long LONG_WORK_MICROS = 5_000_000;
    private static final int ANSWER_TIMEOUT_MILLIS = 20_000;
    private static final int STOP_SECONDS = 25;
    private static final int PACKET_BYTES_MOST = 4_096;
    private static final String CLASSES_AND_LISTENER = GatewayFiles.RADIUS.replace("deadline = \"4s\"", "deadline = \"20s\"");
    private static final String POOL = GatewayFiles.pool("cards", GUARDS_OFF + "secret_file = \"secret\"\n");
    private static final String ROUTES = routes("cards");

    /** Kinds of requests. */
    private enum Kind { ACCESS, ACCOUNTING }

    @TempDir
    private Path folder;

    private final Authenticators charger = new Authenticators(SECRET.getBytes(StandardCharsets.US_ASCII));
    private final Effects effects = new Effects(60_000_000);
    private Rig rig;
    private StandInRadiusServer server;
    private DatagramSocket socket;
    private InetSocketAddress gateway;

    private static String routes(String pool) {
        return GatewayFiles.route("cards", "card", pool) + GatewayFiles.route("talks", "talk", pool)
                + GatewayFiles.route("accounts", "accounting", pool);
    }

    @BeforeEach
    void open() throws IOException {
        rig = new Rig(folder);
        server = new StandInRadiusServer("one", "one", effects, SECRET.getBytes(StandardCharsets.US_ASCII), 1_000);
        socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        rig.save("secret", SECRET);
        rig.save("cards.toml", GatewayFiles.list(List.of(node("one", "bilbao"))));
        rig.save("other.toml", GatewayFiles.list(List.of(node("other", "bilbao"))));
    }

    @AfterEach
    void close() {
        rig.close();
        server.close();
        socket.close();
    }

    private String node(String uid, String zone) {
        return GatewayFiles.node(uid, server.endpoint(), zone, "");
    }

    /** Starts the gateway, and has it answer a request, so that its code is loaded. */
    private void start(String more) throws Exception {
        rig.gateway(CLASSES_AND_LISTENER + POOL + ROUTES + more);
        rig.start();
        gateway = rig.service.radiusAddresses().get(0);
        send(request(Kind.ACCESS, 1));
        assertEquals(Code.ACCESS_ACCEPT, receive(ANSWER_TIMEOUT_MILLIS).code());
    }

    private Packet request(Kind kind, int identifier) {
        byte[] authenticator = new byte[16];
        if (kind == Kind.ACCESS) {
            authenticator[3] = (byte) identifier;
            return charger.signRequest(new Packet(Code.ACCESS_REQUEST, identifier, authenticator, List.of()));
        }
        return charger.signRequest(new Packet(Code.ACCOUNTING_REQUEST, identifier, authenticator, List.of(
                new Attribute(Attribute.ACCT_STATUS_TYPE, new byte[] {0, 0, 0, 1}),
                new Attribute(Attribute.ACCT_SESSION_ID, new byte[] {(byte) identifier}))));
    }

    private void send(Packet request) throws IOException {
        byte[] bytes = request.encode();
        socket.send(new DatagramPacket(bytes, bytes.length, gateway));
    }

    /** The next answer, or null if none comes within {@code millis}. */
    private Packet receive(int millis) throws Exception {
        socket.setSoTimeout(millis);
        DatagramPacket datagram = new DatagramPacket(new byte[PACKET_BYTES_MOST], PACKET_BYTES_MOST);
        try {
            socket.receive(datagram);
        } catch (SocketTimeoutException e) {
            return null;
        }
        return Packet.decode(Arrays.copyOf(datagram.getData(), datagram.getLength()));
    }

    /** The answer to the request with an identifier, or null if none comes; other answers are passed over. */
    private Packet receiveAnswer(int identifier) throws Exception {
        Packet answer = receive(ANSWER_TIMEOUT_MILLIS);
        while (answer != null && answer.identifier() != identifier) {
            answer = receive(ANSWER_TIMEOUT_MILLIS);
        }
        return answer;
    }

    /** Sends a request, as often as it is refused, until it is at its server. */
    private void sendToServer(Packet request) throws Exception {
        long runs = server.runs();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(Rig.WAIT_SECONDS);
        while (server.runs() == runs) {
            assertTrue(System.nanoTime() < deadlineNanos, "the request is not at its server; log:\n" + rig.log());
            send(request);
            for (int i = 0; i < 20 && server.runs() == runs; i++) {
                Thread.sleep(10);
            }
        }
    }

    private CompletableFuture<Boolean> stopGateway(int seconds) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return rig.service.stop(seconds);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** Guards against a stop that closes the port first: servers' answers to what had run were discarded. */
    @ParameterizedTest
    @EnumSource(Kind.class)
    void stopWaitsForAnswersThatAreDue(Kind kind) throws Exception {
        start("");
        server.work(WORK_MICROS);
        sendToServer(request(kind, 2));
        CompletableFuture<Boolean> stopped = stopGateway(STOP_SECONDS);
        Packet answer = receive(ANSWER_TIMEOUT_MILLIS);
        assertNotNull(answer, "its server has answered; log:\n" + rig.log());
        assertEquals(2, answer.identifier());
        assertTrue(stopped.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS), "all was answered");
    }

    /** A charger whose answer was lost on the way gets the same one again, as long as the gateway runs. */
    @Test
    void retransmissionDuringAStopGetsTheSameAnswer() throws Exception {
        start("");
        server.work(LONG_WORK_MICROS);
        sendToServer(request(Kind.ACCOUNTING, 2));  // keeps the gateway running
        server.work(WORK_MICROS);
        Packet request = request(Kind.ACCOUNTING, 3);
        sendToServer(request);
        CompletableFuture<Boolean> stopped = stopGateway(STOP_SECONDS);
        send(request);
        Packet answer = receiveAnswer(3);
        assertNotNull(answer);
        send(request);
        assertArrayEquals(answer.encode(), receiveAnswer(3).encode());
        assertNotNull(receiveAnswer(2));
        assertTrue(stopped.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, effects.twice());
    }

    /**
     * A new request is served at the begin of a stop, since there may be no other gateway yet, and dropped later, so
     * that the stop ends; what was taken before is answered all the same.
     */
    @Test
    void newRequestsAreServedAtTheBeginOfAStopAlone() throws Exception {
        start("");
        server.work(LONG_WORK_MICROS);
        sendToServer(request(Kind.ACCOUNTING, 2));
        CompletableFuture<Boolean> stopped = stopGateway(STOP_SECONDS);
        server.work(1_000);
        send(request(Kind.ACCESS, 3));
        assertEquals(3, receive(ANSWER_TIMEOUT_MILLIS).identifier());
        rig.await(() -> {
            try {
                send(request(Kind.ACCESS, 4 + (int) (System.nanoTime() % 200)));
                receive(10);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
            return rig.log().contains("dropped STOPPING");
        }, "new requests are dropped");
        assertNotNull(receiveAnswer(2));
        assertTrue(stopped.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS));
    }

    /** A Status-Server asks whether requests are taken: it is answered as long as that is so, and no longer. */
    @Test
    void statusServerIsAnsweredAtTheBeginOfAStopAlone() throws Exception {
        start("");
        server.work(LONG_WORK_MICROS);
        sendToServer(request(Kind.ACCOUNTING, 2));
        CompletableFuture<Boolean> stopped = stopGateway(STOP_SECONDS);
        Packet probe = charger.signRequest(new Packet(Code.STATUS_SERVER, 3, new byte[16], List.of()));
        rig.await(() -> {
            try {
                send(probe);
                receive(10);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
            return rig.log().contains("a Status-Server while the gateway stops");
        }, "a Status-Server is dropped");
        assertNotNull(receiveAnswer(2));
        assertTrue(stopped.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS));
    }

    /** A start that fails once a port was open answers what was taken there by then. */
    @Test
    void requestThatAFailingStartHasTakenIsAnswered() throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (ServerSocket usedByAnother = new ServerSocket(0, 1, loopback)) {
            try (DatagramSocket free = new DatagramSocket(0, loopback)) {
                gateway = new InetSocketAddress(loopback, free.getLocalPort());
            }
            rig.save("gateway.toml", Rig.GATEWAY_HEAD.replace("listen = \"127.0.0.1:0\"", "listen = \"127.0.0.1:" + usedByAnother.getLocalPort() + "\"")
                    + CLASSES_AND_LISTENER.replace("127.0.0.1:0", "127.0.0.1:" + gateway.getPort()) + POOL + ROUTES + "# end\n");
            server.work(WORK_MICROS);
            CompletableFuture<Void> start = CompletableFuture.runAsync(rig::start);
            sendToServer(request(Kind.ACCESS, 2));
            assertNotNull(receiveAnswer(2));
            ExecutionException failure = assertThrows(ExecutionException.class, () -> start.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS));
            assertTrue(failure.getCause().getMessage().contains("no listening on"), failure.toString());
        }
    }

    /** A request that no server answers ends, without a response, in time for the process to end. */
    @Test
    void stopEndsRequestsThatNobodyAnswers() throws Exception {
        start("");
        server.manner(Manner.SILENT);
        sendToServer(request(Kind.ACCOUNTING, 2));
        assertTrue(stopGateway(3).get(Rig.WAIT_SECONDS, TimeUnit.SECONDS), "each request ended");
        assertNull(receive(1));
    }

    /** What crossed zones for a request in progress is counted before the last state is written. */
    @Test
    void crossingOfARequestInProgressIsCountedByTheStop() throws Exception {
        Files.createDirectory(folder.resolve("kept"));
        rig.save("cards.toml", GatewayFiles.list(List.of(node("one", "oviedo"))));
        String zones = "[zones]\nstate_folder = \"kept\"\n";
        start(zones);
        server.work(WORK_MICROS);
        sendToServer(request(Kind.ACCOUNTING, 2));
        assertTrue(stopGateway(STOP_SECONDS).get(Rig.WAIT_SECONDS, TimeUnit.SECONDS));
        assertNotNull(receive(ANSWER_TIMEOUT_MILLIS));
        rig.start();
        assertEquals(List.of(server.bytesIn(), server.bytesOut()), crossedBytes());
    }

    /** Bytes sent and received that crossed zones, as the gateway counts them. */
    private List<Long> crossedBytes() {
        FlowCounts crossed = new FlowCounts();
        rig.service.zoneSnapshot().flows().values().forEach(crossed::add);
        return List.of(crossed.bytesSent(), crossed.bytesReceived());
    }

    /** A reload takes the pool away while a request of it is in progress: its answer is passed on. */
    @Test
    void requestIsAnsweredWhenItsPoolIsTakenOut() throws Exception {
        start("");
        server.work(WORK_MICROS);
        sendToServer(request(Kind.ACCOUNTING, 2));
        rig.gateway(CLASSES_AND_LISTENER + POOL.replace("cards", "other") + routes("other"));
        rig.awaitLog("changed pools [other]");
        Packet answer = receive(ANSWER_TIMEOUT_MILLIS);
        assertNotNull(answer);
        assertEquals(2, answer.identifier());
    }

    /** What crosses zones is counted though its pool was taken out, and forgotten by routing, a second or more ago. */
    @Test
    void crossingIsCountedWhenItsPoolWasTakenOut() throws Exception {
        rig.save("cards.toml", GatewayFiles.list(List.of(node("one", "oviedo"))));
        start("[zones]\n");
        server.work(LONG_WORK_MICROS);
        sendToServer(request(Kind.ACCOUNTING, 2));
        rig.gateway(CLASSES_AND_LISTENER + POOL.replace("cards", "other") + routes("other") + "[zones]\n");
        rig.awaitLog("changed pools [other]");
        assertNotNull(receiveAnswer(2));
        rig.await(() -> crossedBytes().equals(List.of(server.bytesIn(), server.bytesOut())),
                "the server's bytes are counted");
    }

    /** A reload can't take a listener away: it is refused, and the listener serves on. */
    @Test
    void listenerCannotBeTakenOutByAReload() throws Exception {
        start("");
        server.work(WORK_MICROS);
        sendToServer(request(Kind.ACCOUNTING, 2));
        rig.gateway(CLASSES_AND_LISTENER.substring(0, CLASSES_AND_LISTENER.indexOf("[[radius]]")) + POOL + ROUTES);
        rig.awaitLog("refused: ");
        assertNotNull(receiveAnswer(2));
        server.work(1_000);
        sendToServer(request(Kind.ACCESS, 3));
        assertNotNull(receiveAnswer(3));
    }
}
