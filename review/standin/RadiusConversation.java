import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chargers show a card, are asked for a PIN by an Access-Challenge, and send it with the challenge's State. One server of
 * four is slow meanwhile. A charger sends the same packet again until it is answered; the server that holds the
 * conversation has to see one request, however often that packet comes.
 */
final class RadiusConversation {

    private static final int SERVERS = 4;
    private static final int CHARGERS = 6;
    private static final long USUAL_WORK_MILLIS = 600;
    private static final long SLOWER_TIMES = 8;
    // RFC 5080, 2.2.1: the first retransmission after 2 s, each further wait twice as long.
    private static final long[] RESEND_AT_MILLIS = {2_000, 6_000, 14_000};
    private static final long GIVES_UP_AFTER_MILLIS = 22_000;

    private RadiusConversation() { }

    /** A server that asks for a PIN. A PIN is used up by its first check, as a one-time password is. */
    private static final class Server implements Closeable {
        final String name;
        final DatagramSocket socket;
        volatile long workMillis = USUAL_WORK_MILLIS;
        private final Kit.Log log;
        private final Map<String, byte[]> answersByPacket = new HashMap<>();
        private final Map<String, AtomicInteger> checksByState = new ConcurrentHashMap<>();
        private final AtomicInteger states = new AtomicInteger();
        private final ScheduledThreadPoolExecutor later = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "radius-later");
            thread.setDaemon(true);
            return thread;
        });

        Server(String name, Kit.Log log) throws IOException {
            this.name = name;
            this.log = log;
            socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
            Kit.daemon("radius-server", this::receive);
        }

        private void receive() {
            byte[] buffer = new byte[Radius.MAX_BYTES];
            try {
                while (true) {
                    DatagramPacket datagram = new DatagramPacket(buffer, buffer.length);
                    socket.receive(datagram);
                    handle(java.util.Arrays.copyOf(buffer, datagram.getLength()), datagram.getSocketAddress());
                }
            } catch (IOException e) {
                return;  // closed
            }
        }

        private synchronized void handle(byte[] request, SocketAddress from) {
            if (request[0] == Radius.STATUS_SERVER) {
                send(Radius.response(Radius.ACCESS_ACCEPT, request, RadiusPlay.SECRET), from);
                return;
            }
            // RFC 5080, 2.2.2: the same source, identifier and authenticator are a retransmission, and get the same answer.
            String packet = from + "/" + HexFormat.of().formatHex(request, 1, Radius.HEADER_BYTES);
            if (answersByPacket.containsKey(packet)) {
                if (answersByPacket.get(packet) != null) {
                    send(answersByPacket.get(packet), from);
                }
                return;
            }
            answersByPacket.put(packet, null);
            String user = new String(Radius.value(request, Radius.USER_NAME), StandardCharsets.UTF_8);
            byte[] state = Radius.value(request, Radius.STATE);
            if (state == null) {
                byte[] newState = (name + "/" + user + "/" + states.incrementAndGet()).getBytes(StandardCharsets.UTF_8);
                log.line("server %s asks %s for its PIN", name, user);
                answer(packet, Radius.response(Radius.ACCESS_CHALLENGE, request, RadiusPlay.SECRET, Radius.attribute(Radius.STATE, newState)), from);
                return;
            }
            int check = checksByState.computeIfAbsent(user, key -> new AtomicInteger()).incrementAndGet();
            log.line("server %s checks the PIN of %s%s, as identifier %d from port %d", name, user, check == 1 ? "" : " ONCE MORE, and finds it used up",
                    request[1] & 0xFF, ((InetSocketAddress) from).getPort());
            byte[] response = Radius.response(check == 1 ? Radius.ACCESS_ACCEPT : Radius.ACCESS_REJECT, request, RadiusPlay.SECRET);
            later.schedule(() -> answer(packet, response, from), check == 1 ? workMillis : 0, TimeUnit.MILLISECONDS);
        }

        private synchronized void answer(String packet, byte[] answer, SocketAddress to) {
            answersByPacket.put(packet, answer);
            log.line("server %s answers with code %d", name, answer[0]);
            send(answer, to);
        }

        private void send(byte[] bytes, SocketAddress to) {
            try {
                socket.send(new DatagramPacket(bytes, bytes.length, to));
            } catch (IOException e) {
                log.line("server %s: its answer can't be sent: %s", name, e);
            }
        }

        int checks(String user) {
            AtomicInteger checks = checksByState.get(user);
            return checks == null ? 0 : checks.get();
        }

        @Override
        public void close() {
            socket.close();
            later.shutdownNow();
        }
    }

    /** A charger with a socket of its own. */
    private static final class Charger implements Closeable {
        final String name;
        private final Kit.Log log;
        private final DatagramSocket socket;
        private int identifier;

        Charger(String name, Kit.Log log, int port) throws IOException {
            this.name = name;
            this.log = log;
            socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
            socket.connect(new InetSocketAddress("127.0.0.1", port));
        }

        /** Sends a request, and the same packet again without an answer. Returns the answer; null if there was none. */
        byte[] ask(byte[] state, String what) throws IOException {
            byte[] request = Radius.accessRequest(++identifier & 0xFF, name, state, RadiusPlay.SECRET);
            byte[] buffer = new byte[Radius.MAX_BYTES];
            long startNanos = System.nanoTime();
            int sent = 0;
            while (true) {
                long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                if (elapsed >= GIVES_UP_AFTER_MILLIS) {
                    log.line("%s has no answer to its %s after %d ms", name, what, elapsed);
                    return null;
                }
                long next = sent == 0 ? 0 : sent <= RESEND_AT_MILLIS.length ? RESEND_AT_MILLIS[sent - 1] : GIVES_UP_AFTER_MILLIS;
                if (elapsed >= next) {
                    log.line("%s sends its %s%s", name, what, sent == 0 ? "" : ", the same packet again");
                    sent++;
                    socket.send(new DatagramPacket(request, request.length));
                    continue;
                }
                socket.setSoTimeout((int) Math.max(1, next - elapsed));
                try {
                    DatagramPacket datagram = new DatagramPacket(buffer, buffer.length);
                    socket.receive(datagram);
                    byte[] answer = java.util.Arrays.copyOf(buffer, datagram.getLength());
                    if (Radius.isResponse(answer, request, RadiusPlay.SECRET)) {
                        log.line("%s has code %d for its %s, %d ms after it sent it first", name, answer[0], what,
                                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
                        return answer;
                    }
                } catch (SocketTimeoutException e) {
                    continue;  // time to send again, or to end
                }
            }
        }

        @Override
        public void close() {
            socket.close();
        }
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Files.createTempDirectory("review");
        int status = Kit.NOT_RUN;
        Kit.Program gateway = null;
        try (Kit.Log log = new Kit.Log(Path.of(arguments[0]))) {
            List<Server> servers = new ArrayList<>();
            Map<String, Integer> ports = new java.util.LinkedHashMap<>();
            for (int i = 1; i <= SERVERS; i++) {
                Server server = new Server("r-" + i, log);
                servers.add(server);
                ports.put(server.name, server.socket.getLocalPort());
            }
            int httpPort = Kit.freePort();
            int radiusPort = Kit.freePort();
            gateway = RadiusPlay.startGateway(folder, httpPort, radiusPort, ports);
            if (Kit.awaitReady(gateway, httpPort)) {
                status = play(log, servers, radiusPort);
            }
            log.line("the gateway's log:");
            gateway.text().lines().limit(60).forEach(line -> log.line("  %s", line));
            log.line("exit status %d", status);
        } finally {
            if (gateway != null) {
                gateway.end();
            }
            Kit.deleteTree(folder);
        }
        System.exit(status);
    }

    private static int play(Kit.Log log, List<Server> servers, int radiusPort) throws IOException, InterruptedException {
        List<Charger> chargers = new ArrayList<>();
        List<byte[]> states = new ArrayList<>();
        Map<String, Integer> conversations = new HashMap<>();
        for (int i = 1; i <= CHARGERS; i++) {
            Charger charger = new Charger("charger-" + i, log, radiusPort);
            byte[] challenge = charger.ask(null, "card");
            if (challenge == null || challenge[0] != Radius.ACCESS_CHALLENGE) {
                return Kit.NOT_RUN;
            }
            byte[] state = Radius.value(challenge, Radius.STATE);
            chargers.add(charger);
            states.add(state);
            conversations.merge(new String(state, StandardCharsets.UTF_8).split("/")[0], 1, Integer::sum);
        }
        log.line("conversations by server: %s", conversations);
        Server slow = servers.stream().filter(server -> conversations.containsKey(server.name))
                .min(Comparator.comparing(server -> conversations.get(server.name))).get();
        if (Kit.trouble()) {
            log.line("server %s is %d times slower from now on", slow.name, SLOWER_TIMES);
            slow.workMillis = SLOWER_TIMES * USUAL_WORK_MILLIS;
        }
        int[] codes = new int[CHARGERS];
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CHARGERS; i++) {
            int number = i;
            threads.add(Kit.daemon("charger", () -> {
                try {
                    byte[] answer = chargers.get(number).ask(states.get(number), "PIN");
                    codes[number] = answer == null ? 0 : answer[0];
                } catch (IOException e) {
                    log.line("charger fails: %s", e);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int twice = 0;
        for (int i = 0; i < CHARGERS; i++) {
            String name = chargers.get(i).name;
            int checks = servers.stream().mapToInt(server -> server.checks(name)).sum();
            log.line("%s: its PIN was checked %d times, its answer was %s", name, checks,
                    codes[i] == Radius.ACCESS_ACCEPT ? "Access-Accept" : codes[i] == Radius.ACCESS_REJECT ? "ACCESS-REJECT" : "none");
            twice += checks > 1 ? 1 : 0;
            chargers.get(i).close();
        }
        log.line("conversations whose request ran more than once: %d of %d", twice, CHARGERS);
        return twice > 0 ? Kit.RULE_BROKEN : Kit.RULE_HELD;
    }
}
