package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import mastdrift.Balancer;
import mastdrift.engine.ResponseMessage;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.Responder;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gateway with a module that the test supplies. */
class GatewayTest {

    @TempDir
    private Path folder;

    private final TimedEventLoop timed = TimedEventLoop.start();
    private final EventLoop loop = timed.loop();
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final List<String> events = new CopyOnWriteArrayList<>();
    private Balancer.Actions actions;

    private final Responder client = new Responder() {
        @Override
        public void sendResponse(ResponseMessage answer) {
            answers.add("served");
        }

        @Override
        public void sendRefusal(long retryAfter) {
            answers.add("refused");
        }

        @Override
        public void sendFailure(boolean late) {
            answers.add(late ? "late" : "failed");
        }
    };

    @AfterEach
    void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Passes one request to a module that handles it as given. */
    private void handleRequest(long remainingMicros, BiConsumer<Balancer.Actions, Long> onRequest) throws Exception {
        Balancer module = (Balancer) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {Balancer.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("own")) {
                        return null;
                    }
                    events.add(method.getName());
                    if (method.getName().equals("start")) {
                        actions = (Balancer.Actions) arguments[2];
                    } else if (method.getName().equals("request")) {
                        onRequest.accept(actions, ((Balancer.Request) arguments[1]).id());
                        events.add("end of request");
                    }
                    return null;
                });
        try (Server discovery = discovery()) {
            GatewayConfig config = GatewayConfig.read(environment(folder, discovery, list(1, true), SETTINGS));
            loop.submit(() -> {
                Gateway gateway = new Gateway(config, timed, module, 8, 8, false,
                        new PrintStream(log, true, StandardCharsets.UTF_8));
                gateway.ledger().accept(gateway.pool(null, null, null, null), client, new HttpCall(
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api")),
                        new RequestAttributes("read", "acme", null, remainingMicros, false, false, 0));
            }).sync();
        }
    }

    /**
     * Guards against a gateway that hangs for good after a fault, also when memory ran out, and against a module that
     * goes on counting a request that has failed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"module", "memory", "message"})
    void faultIsLoggedAndFailsTheRequest(String fault) throws Exception {
        handleRequest(60_000_000, (moduleActions, id) -> {
            if (fault.equals("module")) {
                throw new IllegalStateException("on purpose");
            } else if (fault.equals("memory")) {
                throw new OutOfMemoryError("on purpose");
            }
            moduleActions.send(id + 1, "unheard", 1, 1);
        });
        assertEquals("failed", Loopback.await(answers));
        assertEquals(List.of("start", "hosts", "request", "departed"), awaitEvents(4));
        assertTrue(log.toString(StandardCharsets.UTF_8).contains("fault"));
    }

    /**
     * Guards against a request that nobody answers: the gateway fails it at its deadline, and tells the module that it
     * is over.
     */
    @Test
    void requestForgottenByTheModuleFailsAtItsDeadline() throws Exception {
        handleRequest(50_000, (moduleActions, id) -> { });
        assertEquals("late", Loopback.await(answers));
        assertEquals(List.of("start", "hosts", "request", "end of request", "departed"), awaitEvents(5));
    }

    @Test
    void secondAnswerIsIgnoredAndNothingIsSentAfterTheFirst() throws Exception {
        handleRequest(60_000_000, (moduleActions, id) -> {
            moduleActions.send(id, "unknown", 1_000_000, 1_000_000);
            moduleActions.refuse(id, 0, Balancer.Why.HOSTS);
            moduleActions.fail(id);
            moduleActions.send(id, "unknown", 1_000_000, 1_000_000);
        });
        assertEquals("refused", Loopback.await(answers));
        awaitEvents(6);
        assertNull(answers.peek());
    }

    /**
     * Guards against nested events: an outcome that is known at once is delivered after the current event, and each
     * send has one.
     */
    @Test
    void outcomesAreDeliveredAfterTheEventThatCausedThem() throws Exception {
        handleRequest(60_000_000, (moduleActions, id) -> {
            moduleActions.send(id, "unknown", 1_000_000, 1_000_000);
            moduleActions.send(id, "unknown", 1_000_000, 1_000_000);
        });
        assertEquals(List.of("start", "hosts", "request", "end of request", "resolved", "resolved"), awaitEvents(6));
    }

    private List<String> awaitEvents(int count) throws InterruptedException {
        for (int i = 0; events.size() < count && i < Loopback.WAIT_SECONDS * 100; i++) {
            Thread.sleep(10);
        }
        return events;
    }
}
