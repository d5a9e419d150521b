import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Stand-ins for the platform, hosts and clients, as the protocol page describes them. JDK only. */
final class Kit {

    static final int RULE_HELD = 0;
    static final int RULE_BROKEN = 1;
    static final int NOT_RUN = 2;

    private Kit() { }

    /** The disruption is left out with TROUBLE=0. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** The record of a run: one line an event, with the milliseconds since its start. */
    static final class Log implements Closeable {
        private final PrintWriter out;
        private final long startedNanos = System.nanoTime();

        Log(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void line(String format, Object... values) {
            out.println(String.format(Locale.ROOT, "%9.1f  ", millis()) + String.format(Locale.ROOT, format, values));
            out.flush();
        }

        double millis() {
            return (System.nanoTime() - startedNanos) / 1e6;
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static void deleteTree(Path root) throws IOException {
        try (Stream<Path> all = Files.walk(root)) {
            all.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    // ---- HTTP messages

    /** A message as it came: first line, header fields in lower case, body. */
    record Message(String firstLine, Map<String, String> fields, byte[] body) {

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String field(String name) {
            return fields.getOrDefault(name, "");
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException(line.size() == 0 ? "end" : "end within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one message with Content-Length, or chunked; throws EOFException where the connection ends before. */
    static Message readMessage(InputStream in) throws IOException {
        String first = readLine(in);
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            for (int size = Integer.parseInt(readLine(in), 16); size > 0; size = Integer.parseInt(readLine(in), 16)) {
                body.write(readBytes(in, size));
                readLine(in);
            }
            readLine(in);
        } else if (fields.containsKey("content-length")) {
            body.write(readBytes(in, Integer.parseInt(fields.get("content-length"))));
        }
        return new Message(first, fields, body.toByteArray());
    }

    private static byte[] readBytes(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("end within a body");
        }
        return bytes;
    }

    static byte[] answer(int status, String fields, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    // ---- hosts

    /** How a host answers a request of a client. */
    interface Service {
        /** Runs on the connection's thread; returns false to end the connection. */
        boolean serve(Host host, Message request, Socket socket) throws IOException;
    }

    /** A host: counts each request at its last byte, answers probes, carries one request at a time on a connection. */
    static final class Host implements Closeable {
        final String uid;
        final ServerSocket listener;
        final AtomicInteger requests = new AtomicInteger();
        final List<Socket> open = new ArrayList<>();
        volatile Service service;

        Host(String uid, Service service) throws IOException {
            this.uid = uid;
            this.service = service;
            listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            daemon("host-" + uid, this::accept);
        }

        String endpoint() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (open) {
                        open.add(socket);
                    }
                    daemon("host-" + uid, () -> carry(socket));
                }
            } catch (IOException e) {
                return;  // closed
            }
        }

        private void carry(Socket socket) {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16);
                while (true) {
                    Message request = readMessage(in);
                    if (request.target().equals("/health")) {
                        socket.getOutputStream().write(answer(200, "", new byte[0]));
                    } else if (request.field("x-trace-id").isEmpty()) {
                        socket.getOutputStream().write(answer(404, "", new byte[0]));
                    } else {
                        requests.incrementAndGet();
                        if (!service.serve(this, request, socket)) {
                            return;
                        }
                    }
                }
            } catch (IOException e) {
                return;  // the gateway closed it
            } finally {
                synchronized (open) {
                    open.remove(socket);
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    // ---- discovery

    /** Discovery that is up all the time: whole lists and watches. */
    static final class Discovery implements Closeable {
        final ServerSocket listener;
        private final List<Host> hosts;
        private final String zone;

        Discovery(List<Host> hosts, String zone) throws IOException {
            this.hosts = hosts;
            this.zone = zone;
            listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            daemon("discovery", this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        String list() {
            StringBuilder text = new StringBuilder("{\"rev\":41,\"all\":true,\"targets\":[");
            for (int i = 0; i < hosts.size(); i++) {
                text.append(i == 0 ? "" : ",").append("{\"uid\":\"").append(hosts.get(i).uid).append("\",\"endpoint\":\"")
                        .append(hosts.get(i).endpoint()).append("\",\"az\":\"").append(zone)
                        .append("\",\"model\":\"mid-3c\",\"pod_group\":1,\"state\":\"in_service\",\"capacity_hint\":1.0,\"boot_ms\":0}");
            }
            return text.append("]}").toString();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    daemon("discovery", () -> tell(socket));
                }
            } catch (IOException e) {
                return;
            }
        }

        private void tell(Socket socket) {
            try (socket) {
                Message request = readMessage(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                if (!request.target().contains("watch=1")) {
                    out.write(answer(200, "Content-Type: application/json\r\n", list().getBytes(StandardCharsets.UTF_8)));
                    return;
                }
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                chunk(out, list() + "\n");
                while (true) {
                    sleep(1_900);
                    chunk(out, "\n");
                }
            } catch (IOException e) {
                return;
            }
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    // ---- processes

    /** A program of the project, started by /bin/sh -c from the root of the repository. */
    static final class Program {
        final Process process;
        final Path output;

        private Program(Process process, Path output) {
            this.process = process;
            this.output = output;
        }

        static Program start(String command, Map<String, String> environment, Path output) throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
            builder.environment().putAll(environment);
            builder.redirectErrorStream(true).redirectOutput(output.toFile());
            Program program = new Program(builder.start(), output);
            Runtime.getRuntime().addShutdownHook(new Thread(program.process::destroyForcibly));
            return program;
        }

        void signal(String name) throws IOException, InterruptedException {
            if (process.isAlive()) {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            }
        }

        /** Ends it for good. */
        void end() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }

        String text() throws IOException {
            return Files.readString(output, StandardCharsets.ISO_8859_1);
        }
    }

    /** The value of a key in deploy/balancer.toml. */
    static String deployCommand(String key) throws IOException {
        Matcher line = Pattern.compile("(?m)^" + key + " = \"((?:[^\"\\\\]|\\\\.)*)\"").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("no " + key + " in deploy/balancer.toml");
        }
        return line.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    /** A gateway as the platform runs it. */
    static Program startGateway(Path folder, String name, int port, String discovery, String known, int sockets, int memoryMb, String settings) throws IOException {
        Path tmp = Files.createDirectories(folder.resolve(name + "-tmp"));
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets
                + "},\"known\":" + known + ",\"settings\":" + settings + "}");
        return Program.start(deployCommand("run"), Map.of("NODE_NAME", name, "NODE_LISTEN", "127.0.0.1:" + port,
                "NODE_DISCOVERY", discovery, "NODE_CONFIG", config.toString(), "TMPDIR", tmp.toString()), folder.resolve(name + ".log"));
    }

    /** Waits until GET /ready answers 200; false after 30 s. */
    static boolean awaitReady(Program program, int port) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < until && program.process.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                if (readMessage(socket.getInputStream()).status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                sleep(50);
            }
        }
        return false;
    }

    /** The settings of norte-recarga's platform, for a small deployment of one gateway in one zone. */
    static String settings(String registryMode, long sessionStartDedupMicros) {
        return "{\"allowed\":{\"cancel\":true,\"conn_idle\":5000000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":15000,\"dial_timeout\":150000,"
                + "\"max_attempts\":4,\"max_open\":20000,\"max_retry_after\":2000000,\"may_tell\":false,\"parallel_tries\":true,\"probes\":true,"
                + "\"retry_after\":false,\"streams_per_conn\":1},\"balancers\":1,\"classes\":["
                + "{\"name\":\"charger-status\",\"target\":300000,\"deadline\":1500000,\"credit\":1.0,\"late_share\":0.5,\"repeat\":\"read_like\",\"group\":\"all\",\"dedup_window\":5000000,\"stream\":false},"
                + "{\"name\":\"session-read\",\"target\":600000,\"deadline\":2500000,\"credit\":1.0,\"late_share\":0.5,\"repeat\":\"read_like\",\"group\":\"all\",\"dedup_window\":5000000,\"stream\":false},"
                + "{\"name\":\"session-start\",\"target\":600000,\"deadline\":1500000,\"credit\":1.0,\"late_share\":0.5,\"repeat\":\"idempotency_key\",\"group\":\"zone\",\"dedup_window\":" + sessionStartDedupMicros + ",\"stream\":false}],"
                + "\"client_habits\":{\"marks_retry\":false},\"dcs\":[\"bilbao\",\"oviedo\"],\"family_info\":{\"warm_keys\":true},"
                + "\"goal\":{\"whole\":0.4,\"worst_class\":0.1,\"worst_tenant\":0.4,\"worst_window\":0.1},"
                + "\"guarantees\":{\"answer_slack\":20000,\"cold_from\":0.13,\"drain_grace\":250000,\"fall\":2000000,\"must_ask_in\":10000000,\"tip_multiple\":3.0,\"warm_within\":24000000},"
                + "\"layer\":0,\"locality\":\"bilbao\",\"me\":0,\"over_share_worth\":0.05,\"registry_mode\":\"" + registryMode + "\",\"resolution\":5000,\"service_type\":\"proxy\","
                + "\"skus\":[\"fast-2c\",\"mid-3c\",\"slow-2c\"],\"stages\":[\"sesiones\"],\"stats\":{\"how\":\"off\",\"names\":[]},"
                + "\"tenants\":[{\"name\":\"cantabrica-carga\",\"fraction\":1.0,\"quota_per_s\":1000.0}],\"weights\":\"nominal\",\"worth_by\":\"request\"}";
    }

    // ---- clients

    private static final AtomicInteger TRACE = new AtomicInteger();
    private static final String RUN = Long.toHexString(System.nanoTime() & 0xFFFFFF);

    static String newTraceId() {
        return String.format("%s%08x", RUN, TRACE.incrementAndGet());
    }

    static byte[] request(String className, String traceId, long expiresMillis, String idempotencyKey, byte[] body) {
        boolean get = idempotencyKey == null;
        String head = (get ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + traceId + "\r\nX-Qos: " + className
                + "\r\nX-Customer: cantabrica-carga\r\nX-Expires-In-Ms: " + expiresMillis + "\r\n"
                + (get ? "\r\n" : "Idempotency-Key: " + idempotencyKey + "\r\nContent-Length: " + body.length + "\r\n\r\n");
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        if (get) {
            return bytes;
        }
        byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        return all;
    }
}
