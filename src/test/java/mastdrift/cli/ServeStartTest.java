package mastdrift.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInClient;
import mastdrift.standin.StandInHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The begin of {@code serve}, as a process: what it takes from the moment in which clients can connect. */
class ServeStartTest {

    private static final int WAIT_SECONDS = 40;
    private static final int EXPIRES_MILLIS = 8_000;
    private static final long WORK_MICROS = 300_000;
    private static final int HTTP_PORT = 8_080;
    private static final int PEERS_PORT = 7_400;

    @TempDir
    private Path folder;

    // Loopback address by process id, so that two concurrent test runs don't collide.
    private final String address = "127." + (64 + ProcessHandle.current().pid() % 128) + ".249.1";
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private StandInHost host;
    private Process process;

    @BeforeEach
    void writeFiles() throws IOException {
        host = new StandInHost("one", "bilbao", new Effects(1_500_000), loop, WORK_MICROS, 8);
        GatewayFiles files = new GatewayFiles(folder);
        files.save("secret", "a secret that both know");
        files.save("main.toml", GatewayFiles.list(List.of(GatewayFiles.node("one", host.endpoint(), "bilbao", ""))));
        String otherAddress = address.replaceFirst("1$", "2");
        String peers = "[peers]\nlisten = \"" + address + ":" + PEERS_PORT + "\"\ninstallation = \"test\"\nfolder = \"state\"\n"
                + "[[peers.key]]\nsecret_file = \"secret\"\n"
                + "[[peers.gateway]]\nname = \"other\"\naddress = \"" + otherAddress + ":" + PEERS_PORT + "\"\n"
                + "[agreed]\nbegin = \"test\"\nfolder = \"state/agreed\"\nvoters = [\"loopback\"]\n";
        files.gateway(GatewayFiles.head(address + ":" + HTTP_PORT, ""), GatewayFiles.type("session-read", "safe", "2s", "10s", ""),
                GatewayFiles.RADIUS, peers, GatewayFiles.pool("main", GatewayFiles.FREE),
                "[[route]]\nname = \"all\"\npools = { main = 1 }\n");
    }

    @AfterEach
    void close() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        host.close();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void startGateway() throws IOException {
        process = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData", "-Xmx96m", "-cp", System.getProperty("java.class.path"), "mastdrift.cli.Main", "serve",
                "--config", folder.resolve("gateway.toml").toString(), "--cold")
                .redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
    }

    /** Connects as soon as the gateway listens. */
    private Socket connect() throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (System.nanoTime() < deadlineNanos && process.isAlive()) {
            Socket socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(address, HTTP_PORT));
                return socket;
            } catch (ConnectException e) {
                socket.close();
            }
        }
        throw new AssertionError("nobody listens; log:\n" + Files.readString(folder.resolve("log")));
    }

    /**
     * Guards against a SIGTERM that comes between the first listener's opening and the end of the start: it ended the
     * process at once, and what had been taken had no answer.
     */
    @Test
    void whatIsTakenAsItBeginsToListenIsAnsweredThoughItIsToldToEnd() throws Exception {
        startGateway();
        try (Socket client = connect()) {
            client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            String request = StandInClient.head("session-read", null, "id-1", "object", null, EXPIRES_MILLIS, 0);
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            process.destroy();
            String status = readStatusLine(client.getInputStream());
            assertTrue(status.startsWith("HTTP/1.1 200") || status.startsWith("HTTP/1.1 503"),
                    "a final answer, found '" + status + "'; log:\n" + Files.readString(folder.resolve("log")));
        }
        assertTrue(process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), "a gateway that is told to end ends in order");
    }

    /** The first line of a response; empty if the connection ends before it. */
    private static String readStatusLine(InputStream in) {
        StringBuilder line = new StringBuilder();
        try {
            for (int next = in.read(); next >= 0 && next != '\r'; next = in.read()) {
                line.append((char) next);
            }
        } catch (IOException e) {
            return line.toString();  // reset
        }
        return line.toString();
    }
}
