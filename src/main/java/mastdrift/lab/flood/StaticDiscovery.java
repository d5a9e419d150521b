package mastdrift.lab.flood;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Discovery whose list changes only when it is told to; it answers watches, with an empty line every two seconds. */
final class StaticDiscovery implements AutoCloseable {

    private static final int HEARTBEAT_MILLIS = 2_000;

    private final ServerSocket listener;
    private final String list;

    StaticDiscovery(List<String> entries) throws IOException {
        list = "{\"rev\":1,\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        startThread(this::acceptUntilClosed);
    }

    /** A host in service, in the form of the platform's discovery. */
    static String entry(String uid, String endpoint) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"a\",\"model\":\"std\",\"pod_group\":1,"
                + "\"state\":\"in_service\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** The whole list. */
    String list() {
        return list;
    }

    private static void startThread(Runnable body) {
        Thread thread = new Thread(body, "static-discovery");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptUntilClosed() {
        try {
            while (true) {
                Socket call = listener.accept();
                startThread(() -> answer(call));
            }
        } catch (IOException e) {
            return;  // closed
        }
    }

    private void answer(Socket call) {
        try (call) {
            readHead(call.getInputStream());
            write(call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list + "\n"));
            while (!listener.isClosed()) {
                Thread.sleep(HEARTBEAT_MILLIS);
                write(call, chunk("\n"));
            }
        } catch (IOException e) {
            return;  // its gateway has ended, or ended the call
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void readHead(InputStream input) throws IOException {
        int newLines = 0;
        while (newLines < 2) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("the call ended within its head");
            }
            newLines = next == '\n' ? newLines + 1 : next == '\r' ? newLines : 0;
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void write(Socket call, String text) throws IOException {
        OutputStream output = call.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
