package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.answer;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.eventually;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.Channel;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Input of discovery that this process received and lost by a fault of its own has been told all the same. */
class LostDiscoveryInputTest {

    @TempDir
    private Path folder;

    /** Guards against sending by a list whose successor was lost with a watch that ended for lack of memory. */
    @Test
    void listIsNotUsedOnceItsWatchEndedForLackOfMemory() throws Exception {
        try (Server discovery = discovery(); Server host = new Server(message -> write(message.socket(), answer("200 OK", "x")));
                Node node = new Node(environment(folder, discovery, list(1, true, entry("s1", host.address(), "a", "in_service")),
                        SETTINGS.replace("\"must_ask_in\":1000000", "\"must_ask_in\":20000000")))) {
            Socket watch = await(discovery.received).socket();
            Loopback.sendLine(watch, list(2, true, entry("s1", host.address(), "a", "in_service")));
            eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 2"));
            assertEquals(200, node.ask(read(20_000)).status());
            node.loop.submit(() -> {
                for (Channel call : List.copyOf(node.gateway.discovery().openChannels())) {
                    call.pipeline().fireExceptionCaught(new OutOfMemoryError("Cannot reserve 65536 bytes"));
                }
            }).get();
            assertEquals(503, node.ask(read(20_000)).status());
            Loopback.sendLine(await(discovery.received).socket(), list(3, true, entry("s1", host.address(), "a", "in_service")));
            eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 3"));
            assertEquals(200, node.ask(read(20_000)).status());
        }
    }
}
