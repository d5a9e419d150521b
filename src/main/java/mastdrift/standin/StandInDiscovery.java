package mastdrift.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A discovery service by script on a loopback port: every watch gets the whole list as it is, then what is told. */
public final class StandInDiscovery implements AutoCloseable {

    private final ServerSocket server;
    private final List<Socket> watches = new ArrayList<>();
    private String list = "{\"rev\":1,\"all\":true,\"targets\":[]}";
    private long rev = 1;
    private boolean turnsAway;

    /** Listens on a free port of 127.0.0.1. */
    public StandInDiscovery() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::accept, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    /** One host as discovery names it; {@code state} is in_service, terminating or terminated. */
    public static String target(String uid, String endpoint, String zone, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"" + zone + "\",\"state\":\"" + state + "\"}";
    }

    private void accept() {
        try {
            while (true) {
                Socket watch = server.accept();
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(watch.getInputStream(), StandardCharsets.ISO_8859_1));
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) { }
                synchronized (this) {
                    if (turnsAway) {
                        watch.getOutputStream().write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.ISO_8859_1));
                        watch.close();
                        continue;
                    }
                    watches.add(watch);
                    watch.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
                    line(watch, list);
                }
            }
        } catch (IOException e) {
            return;  // closed
        }
    }

    private static void line(Socket watch, String line) throws IOException {
        watch.getOutputStream().write((Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        watch.getOutputStream().flush();
    }

    /** From now on this is the whole list; open watches hear of it. */
    public synchronized void list(String... targets) {
        list = "{\"rev\":" + ++rev + ",\"all\":true,\"targets\":[" + String.join(",", targets) + "]}";
        tell(list);
    }

    /** Open watches hear of these changes; the whole list stays as it was. */
    public synchronized void changes(String... targets) {
        tell("{\"rev\":" + ++rev + ",\"all\":false,\"targets\":[" + String.join(",", targets) + "]}");
    }

    private void tell(String line) {
        watches.removeIf(watch -> {
            try {
                line(watch, line);
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    /** As it is configured. */
    public String endpoint() {
        return "127.0.0.1:" + ((InetSocketAddress) server.getLocalSocketAddress()).getPort();
    }

    @Override
    public void close() throws IOException {
        vanish();
    }

    /** Watches end, and calls are refused at once from now on. */
    public synchronized void turnAway() throws IOException {
        turnsAway = true;
        closeWatches();
    }

    /** Its port is closed, and watches end. */
    public synchronized void vanish() throws IOException {
        server.close();
        closeWatches();
    }

    private void closeWatches() throws IOException {
        for (Socket watch : watches) {
            watch.close();
        }
    }
}
