package mastdrift.net;

import static mastdrift.net.Loopback.answer;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.eventually;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.EndpointGate;
import mastdrift.engine.Timers;
import mastdrift.limits.ByteBudget;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Hosts whose answers are large and come slowly, or are made of very many small parts. */
class AnswerMemoryTest {

    private static final long TIMEOUT_MICROS = 20_000_000;
    private static final long MEMORY_BYTES = 200_000;
    private static final int FREE_BYTES = 4_096;
    private static final int ATTEMPTS = 12;
    private static final String LARGE_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 64000\r\n\r\n";

    private final TimedEventLoop timed = TimedEventLoop.start();
    private final ByteBudget memory = new ByteBudget(MEMORY_BYTES, FREE_BYTES, 0);
    private final EndpointGate gate = new EndpointGate();
    private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        timed.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return timed.loop().submit(task).get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private ConnectionPool pool(Server host) throws Exception {
        HostList list = HostList.parse(JSON.std.anyFrom(list(1, true, entry("s1", host.address(), "a", "in_service"))));
        gate.apply(list.version(), list.full(), list.entries());
        return onLoop(() -> new ConnectionPool(timed.loop(), timed.clock()::now, Timers.of(timed.loop()), TIMEOUT_MICROS, TIMEOUT_MICROS, 100,
                new ConnectionPool.AnswerLimits(memory, timed.turns()::turnNumber), line -> { }, NioSocketChannel::new));
    }

    private void send(ConnectionPool pool, String path) throws Exception {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        onLoop(() -> pool.send(gate.find("s1"), message, TIMEOUT_MICROS, TIMEOUT_MICROS, (outcome, answer) -> outcomes.add(outcome)));
    }

    private static void answerByPath(Message message) throws Exception {
        switch (message.line().split(" ")[1]) {
            case "/part" -> write(message.socket(), LARGE_HEAD + "x".repeat(60_000));
            case "/large" -> write(message.socket(), answer("200 OK", "x".repeat(60_000)));
            case "/chunks" -> write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(60_000)
                    + "0\r\n\r\n");
            case "/fields" -> write(message.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + "a: b\r\n".repeat(1_200) + "\r\n");
            default -> write(message.socket(), answer("200 OK", "small"));
        }
    }

    /** Guards against answers whose memory has a bound alone and none in sum. */
    @Test
    void memoryForPartsOfAnswersIsBoundedInSum() throws Exception {
        try (Server host = new Server(AnswerMemoryTest::answerByPath)) {
            ConnectionPool pool = pool(host);
            for (int i = 0; i < ATTEMPTS; i++) {
                send(pool, "/part");
            }
            eventually(() -> outcomes.size() >= ATTEMPTS - MEMORY_BYTES / 60_000);
            assertTrue(onLoop(memory::usedBytes) <= MEMORY_BYTES);
            send(pool, "/small");
            eventually(() -> outcomes.contains(Outcome.DELIVERED));
            eventually(() -> outcomes.size() == ATTEMPTS + 1 && onLoop(memory::usedBytes) == 0);
            assertEquals(ATTEMPTS, outcomes.stream().filter(outcome -> outcome == Outcome.DROPPED).count(), outcomes.toString());
            send(pool, "/large");
            eventually(() -> outcomes.size() == ATTEMPTS + 2);
            assertEquals(Outcome.DELIVERED, outcomes.get(ATTEMPTS + 1));
            assertEquals(0, onLoop(memory::usedBytes));
        }
    }

    /** Guards against an answer of many small parts that keeps the event loop from everybody else. */
    @Test
    void decodingOfAnAnswerIsDividedIntoTurns() throws Exception {
        try (Server host = new Server(AnswerMemoryTest::answerByPath)) {
            ConnectionPool pool = pool(host);
            long turnsBefore = onLoop(timed.turns()::turnNumber);
            send(pool, "/chunks");
            eventually(() -> !outcomes.isEmpty());
            assertEquals(List.of(Outcome.DELIVERED), outcomes);
            long turns = onLoop(timed.turns()::turnNumber) - turnsBefore;
            assertTrue(turns >= 60_000 / 512, "turns that the answer took: " + turns);
        }
    }

    /** Guards against heads of answers whose fields take a multiple of their bytes. */
    @Test
    void answerWithVeryManyFieldsIsDropped() throws Exception {
        try (Server host = new Server(AnswerMemoryTest::answerByPath)) {
            ConnectionPool pool = pool(host);
            send(pool, "/fields");
            eventually(() -> !outcomes.isEmpty());
            assertEquals(List.of(Outcome.DROPPED), outcomes);
        }
    }
}
