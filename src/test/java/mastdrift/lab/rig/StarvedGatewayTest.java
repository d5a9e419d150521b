package mastdrift.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInClient;
import mastdrift.standin.StandInHost;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A gateway that gets a twentieth of a core for 2 s, in slices, while requests wait unread, before a host that never answers. */
class StarvedGatewayTest {

    private static final long STARVED_MILLIS = 2_000;
    private static final int SLICE = 200;
    private static final int RUNS = 10;
    // Half a second after its time an answer is lost; the rest is for a machine that plays other tests meanwhile.
    private static final long LATE_MOST = 500 + 300;
    private static final int[] DEADLINES = {300, 600, 1_000, 1_500, 2_500, 4_000, 12_000};

    @TempDir
    private Path folder;

    private record Late(int deadline, int status, long sentAt, long answeredAt) { }

    /** Whose time is up after the gateway had its core back has its answer in time; the others have theirs soon after it had. */
    @Test
    void everyRequestHasItsAnswerSoonAfterItsTime() throws Exception {
        List<Late> all = starve(false);
        assertEquals(10 * DEADLINES.length, all.size());
    }

    /** The same, told to end in the middle of it. */
    @Test
    void soItIsWhenItIsToldToEndMeanwhile() throws Exception {
        starve(true);
    }

    private List<Late> starve(boolean ends) throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        ExecutorService clients = Executors.newCachedThreadPool();
        Path own = Files.createDirectory(folder.resolve("g" + ends));
        History history = new History();
        StandInHost host = new StandInHost("silent", "all", new Effects(1), loop, 1_000, 4_096);
        host.manner(StandInHost.Manner.SILENT);
        try (Signals signals = new Signals()) {
            RigGateway gateway = new RigGateway("g", "127.0.0.1", own, history, signals);
            GatewayFiles files = new GatewayFiles(own);
            files.save("nodes.toml", GatewayFiles.list(List.of(GatewayFiles.node("silent", host.endpoint(), "bilbao", ""))));
            int port = free();
            files.gateway(GatewayFiles.head("127.0.0.1:" + port, ""), GatewayFiles.type("session-read", "safe", "300ms", "12s", ""),
                    GatewayFiles.pool("nodes", "connections = 4096\n"));
            gateway.startAlone();
            gateway.await();
            try (StandInClient warm = new StandInClient(new InetSocketAddress("127.0.0.1", port))) {
                for (int i = 0; i < 5; i++) {
                    warm.ask(StandInClient.head("session-read", null, "warm-" + i, "o", null, 50, 0), "");
                }
            }
            long begun = millis();
            CompletableFuture<Void> starving = CompletableFuture.runAsync(() -> slices(gateway, begun), clients);
            List<CompletableFuture<Late>> asked = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                for (int deadline : DEADLINES) {
                    int number = i;
                    asked.add(CompletableFuture.supplyAsync(() -> ask(port, deadline, "id-" + number + "-" + deadline, begun + 150L * number), clients));
                }
            }
            if (ends) {
                Thread.sleep(Math.max(0, begun + 1_000 - millis()));
                gateway.signal("TERM");
            }
            starving.get(60, TimeUnit.SECONDS);
            List<Late> all = new ArrayList<>();
            for (CompletableFuture<Late> each : asked) {
                Late late = each.get(60, TimeUnit.SECONDS);
                // Once it was told to end, its listener closes, and who comes later finds nobody: that is not taken.
                if (!ends || late.status != 0 || late.sentAt < begun + 1_000) {
                    long due = Math.max(late.sentAt + late.deadline, begun + STARVED_MILLIS);
                    assertTrue(late.status >= 500, "a whole answer: " + late + ", begun " + begun);
                    assertTrue(late.answeredAt <= due + LATE_MOST, "answered " + (late.answeredAt - due) + " ms after it could: " + late);
                }
                all.add(late);
            }
            gateway.end(false);
            return all;
        } finally {
            clients.shutdownNow();
            host.close();
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static Late ask(int port, int deadline, String id, long at) {
        try {
            Thread.sleep(Math.max(0, at - millis()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try (StandInClient client = new StandInClient(new InetSocketAddress("127.0.0.1", port), 30_000)) {
            long sentAt = millis();
            int status = client.ask(StandInClient.head("session-read", null, id, id, null, deadline, 0), "").status();
            return new Late(deadline, status, sentAt, millis());
        }
    }

    private static void slices(RigGateway gateway, long begun) {
        try {
            while (millis() < begun + STARVED_MILLIS) {
                gateway.signal("STOP");
                Thread.sleep(SLICE - RUNS);
                gateway.signal("CONT");
                Thread.sleep(RUNS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            gateway.signal("CONT");
        }
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    private static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
