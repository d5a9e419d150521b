import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;

/** A RADIUS client: sends a packet, sends the same bytes again after each pause, and waits for the response. */
final class Charger implements AutoCloseable {

    private final CaseRun run;
    private final String name;
    private final byte[] secret;
    private final DatagramSocket socket;
    private final InetSocketAddress gateway;
    private int identifier;

    Charger(CaseRun run, String name, String secret, int gatewayPort) throws IOException {
        this.run = run;
        this.name = name;
        this.secret = secret.getBytes(StandardCharsets.UTF_8);
        gateway = new InetSocketAddress("127.0.0.1", gatewayPort);
        socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    }

    /** Sends at once and again at these times, in milliseconds from the first; null if there is no response by the end. */
    RadiusPacket exchange(int code, List<RadiusPacket.Attribute> attributes, long endMillis, long... resendAtMillis) throws IOException {
        byte[] authenticator = new byte[16];
        new SecureRandom().nextBytes(authenticator);
        byte[] bytes = RadiusPacket.request(code, ++identifier & 0xFF, authenticator, attributes, secret);
        long started = System.nanoTime();
        int resends = 0;
        send(bytes, "sends");
        while (true) {
            long now = (System.nanoTime() - started) / 1_000_000;
            if (now >= endMillis) {
                run.log(name + ": no response to packet " + identifier);
                return null;
            }
            if (resends < resendAtMillis.length && now >= resendAtMillis[resends]) {
                resends++;
                send(bytes, "sends again, the same bytes,");
            }
            long until = resends < resendAtMillis.length ? Math.min(endMillis, resendAtMillis[resends]) : endMillis;
            socket.setSoTimeout((int) Math.max(1, until - now));
            byte[] buffer = new byte[4096];
            DatagramPacket datagram = new DatagramPacket(buffer, buffer.length);
            try {
                socket.receive(datagram);
                RadiusPacket response = RadiusPacket.decode(buffer, datagram.getLength());
                if (response.identifier == (identifier & 0xFF)) {
                    run.log(name + ": response to packet " + identifier + ": code " + response.code);
                    return response;
                }
            } catch (SocketTimeoutException e) {
                continue;
            }
        }
    }

    private void send(byte[] bytes, String verb) throws IOException {
        run.log(name + ": " + verb + " packet " + identifier + " of code " + bytes[0]);
        socket.send(new DatagramPacket(bytes, bytes.length, gateway));
    }

    @Override
    public void close() {
        socket.close();
    }
}
