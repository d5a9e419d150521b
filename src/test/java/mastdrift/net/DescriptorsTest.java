package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.eventually;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.tell;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Idle clients take all the descriptors that they are given, while discovery is down: its calls, hosts and timers still get theirs. */
class DescriptorsTest {

    private static final int LIMIT = 160;
    private static final int IDLE = 400;
    // Half of what the limit leaves beside the program's own: the hosts' part, and as much is the clients'.
    private static final int HOSTS = 32;

    @TempDir
    private Path folder;

    /** What the program needs: each file of the class path takes a descriptor. */
    private static String classPath() {
        return Arrays.stream(Loopback.classPath().split(File.pathSeparator)).filter(entry -> entry.matches(".*(target/classes|netty-|jackson-).*"))
                .collect(Collectors.joining(File.pathSeparator));
    }

    private String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    private static int descriptors(Process process) throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return (int) open.count();
        }
    }

    /** Connections that say nothing, or rest after one request, each opened anew as soon as the gateway closes it. */
    private static void idle(InetSocketAddress at, boolean used, AtomicBoolean over, AtomicInteger opened) {
        SocketChannel[] idle = new SocketChannel[IDLE];
        try {
            while (!over.get()) {
                for (int i = 0; i < IDLE && !over.get(); i++) {
                    try {
                        if (idle[i] == null) {
                            idle[i] = SocketChannel.open();
                            idle[i].socket().connect(at, 100);
                            if (used) {
                                idle[i].write(ByteBuffer.wrap("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n".getBytes()));
                            }
                            idle[i].configureBlocking(false);
                            opened.incrementAndGet();
                        } else if (idle[i].read(ByteBuffer.allocate(1024)) < 0) {
                            throw new IOException("closed");
                        }
                    } catch (IOException e) {
                        idle[i].close();
                        idle[i] = null;
                    }
                }
                Thread.sleep(5);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        } finally {
            try {
                for (SocketChannel one : idle) {
                    if (one != null) {
                        one.close();
                    }
                }
            } catch (IOException e) {
                opened.set(-1);
            }
        }
    }

    /** The configuration may give more than the system does: the smaller of both is what there is. */
    @ParameterizedTest
    @CsvSource({LIMIT + ",true", "100000,false", "100000,true"})
    void idleClientsLeaveDiscoveryAndHostsTheirs(int configured, boolean used) throws Exception {
        AtomicBoolean away = new AtomicBoolean();
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger opened = new AtomicInteger();
        AtomicInteger calls = new AtomicInteger();
        try (Server one = host("one"); Server two = host("two"); Server discovery = new Server(message -> {
            calls.incrementAndGet();
            if (away.get()) {
                message.socket().close();
                return;
            }
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            tell(message.socket(), calls.get() == 1 ? list(2, true, entry("s1", one.address(), "a", "in_service"))
                    : list(5, true, entry("s2", two.address(), "a", "in_service")));
        })) {
            ProcessBuilder builder = new ProcessBuilder("sh", "-c", "ulimit -n " + LIMIT + "; exec \"$0\" -Xmx64m -cp \"$1\" mastdrift.net.Main",
                    System.getProperty("java.home") + "/bin/java", classPath());
            builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
            builder.environment().putAll(environment(folder, discovery, list(1, true, entry("s1", one.address(), "a", "in_service")), SETTINGS));
            Path file = folder.resolve("config.json");
            Files.writeString(file, Files.readString(file).replace("\"sockets\":112", "\"sockets\":" + configured));
            Process process = builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
            Thread clients = null;
            try {
                eventually(() -> log().contains("listening on /"));
                int port = Integer.parseInt(log().replaceFirst("(?s).*listening on /127.0.0.1:(\\d+).*", "$1"));
                InetSocketAddress at = new InetSocketAddress("127.0.0.1", port);
                Socket watch = await(discovery.received).socket();
                int before = descriptors(process);
                clients = new Thread(() -> idle(at, used, over, opened));
                clients.start();
                eventually(() -> opened.get() >= IDLE && descriptors(process) >= before + HOSTS);
                away.set(true);
                watch.close();
                int asked = calls.get();
                int most = 0;
                for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2); System.nanoTime() < until; Thread.sleep(10)) {
                    most = Math.max(most, descriptors(process));
                }
                assertTrue(calls.get() > asked, "discovery was asked while it was away");
                assertTrue(most <= LIMIT - HOSTS, "descriptors: " + most + " of " + LIMIT + ", " + before + " with no client");
                away.set(false);
                eventually(() -> log().contains("list 5"));
                eventually(() -> {
                    try (Socket socket = new Socket()) {
                        socket.connect(at, 1_000);
                        socket.setSoTimeout(2_000);
                        write(socket, read(2_000));
                        Message answer = Loopback.read(socket);
                        return answer != null && answer.status() == 200 && answer.text().equals("two");
                    } catch (IOException e) {
                        return false;
                    }
                });
                assertTrue(process.isAlive() && !log().contains("fault"), log());
            } finally {
                over.set(true);
                if (clients != null) {
                    clients.join(TimeUnit.SECONDS.toMillis(Loopback.WAIT_SECONDS));
                }
                process.destroyForcibly().waitFor();
            }
        }
    }

    @Test
    void theLimitIsRead() throws Exception {
        Path file = folder.resolve("limits");
        assertEquals(Integer.MAX_VALUE, Descriptors.limit(file));
        for (String[] line : new String[][] {{"Max open files            160                  1048576              files     ", "160"},
                {"Max open files            unlimited            unlimited            files     ", "" + Integer.MAX_VALUE},
                {"Max open files            9223372036854775807  9223372036854775807  files     ", "" + Integer.MAX_VALUE}, {"Max locked memory 64 64 bytes", "" + Integer.MAX_VALUE}}) {
            Files.writeString(file, "Limit                     Soft Limit           Hard Limit           Units     \n" + line[0] + "\n");
            assertEquals(Integer.parseInt(line[1]), Descriptors.limit(file));
        }
        assertTrue(Descriptors.limit() > 0);
    }
}
