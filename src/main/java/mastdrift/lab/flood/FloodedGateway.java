package mastdrift.lab.flood;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import mastdrift.lab.rig.Signals;

/** The platform's gateway as a process of its own, whose log is kept and whose memory can be asked for. */
public final class FloodedGateway implements AutoCloseable {

    private static final int START_SECONDS = 60;
    private static final int END_SECONDS = 10;
    private static final String LISTENING = "listening on ";

    private final Signals signals = new Signals();
    private final Process process;
    private final List<String> log = new ArrayList<>();
    private final CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();

    private FloodedGateway(Process process) throws IOException {
        this.process = process;
        signals.add(process);
        Thread reader = new Thread(this::readLog, "flooded-gateway-log");
        reader.setDaemon(true);
        reader.start();
    }

    static FloodedGateway start(Path folder, FloodPlay.Limits limits, StaticDiscovery discovery, List<String> options)
            throws IOException, InterruptedException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, configuration(limits, discovery));
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "mastdrift.net.Main"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(Map.of("NODE_NAME", "n0", "NODE_CONFIG", file.toString(), "NODE_LISTEN", "127.0.0.1:0",
                "NODE_DISCOVERY", discovery.address()));
        FloodedGateway gateway = new FloodedGateway(builder.start());
        try {
            gateway.address.get(START_SECONDS, TimeUnit.SECONDS);
            return gateway;
        } catch (ExecutionException | TimeoutException e) {
            gateway.close();
            throw new IOException("expected a gateway that listens within " + START_SECONDS + " s, found " + gateway.log(), e);
        }
    }

    private static String configuration(FloodPlay.Limits limits, StaticDiscovery discovery) {
        return "{\"name\":\"n0\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + limits.memoryMegabytes()
                + ",\"sockets\":" + limits.descriptors() + "},\"known\":" + discovery.list() + ",\"settings\":{\"allowed\":{\"cancel\":true,"
                + "\"conn_idle\":5000000,\"dial_timeout\":150000,\"max_attempts\":4,\"max_open\":20000,\"max_retry_after\":2000000,"
                + "\"parallel_tries\":true,\"probes\":true,\"retry_after\":false},\"balancers\":1,\"classes\":[" + requestClass("safe", "read_like")
                + "," + requestClass("keyed", "idempotency_key") + "," + requestClass("unsafe", "non_idempotent") + "],\"dcs\":[\"a\"],"
                + "\"guarantees\":{\"cold_from\":0.13,\"drain_grace\":250000,\"fall\":2000000,\"must_ask_in\":10000000,\"tip_multiple\":3.0,"
                + "\"warm_within\":24000000},\"locality\":\"a\",\"me\":0,\"registry_mode\":\"on_request\",\"tenants\":[{\"name\":\"tenant\","
                + "\"fraction\":1.0,\"quota_per_s\":1000.0}],\"weights\":\"nominal\"}}";
    }

    private static String requestClass(String name, String repeat) {
        return "{\"name\":\"" + name + "\",\"target\":300000,\"deadline\":1500000,\"credit\":1.0,\"late_share\":0.5,\"repeat\":\"" + repeat
                + "\",\"group\":\"all\",\"dedup_window\":1500000}";
    }

    private void readLog() {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                synchronized (log) {
                    log.add(line);
                }
                if (line.startsWith(LISTENING)) {
                    address.complete(new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1))));
                }
            }
        } catch (IOException e) {
            address.completeExceptionally(e);
        }
        address.completeExceptionally(new IOException("the process ended"));
    }

    /** Where clients connect. */
    public InetSocketAddress address() {
        return address.join();
    }

    /** The lines that it has logged. */
    public List<String> log() {
        synchronized (log) {
            return List.copyOf(log);
        }
    }

    /** Whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Most memory that it has held so far, resident, in KiB (proc(5), VmHWM). */
    public long peakMemoryKib() throws IOException {
        return statusKib("VmHWM:");
    }

    /** Memory that it holds now, resident, in KiB (proc(5), VmRSS). */
    public long memoryKib() throws IOException {
        return statusKib("VmRSS:");
    }

    private long statusKib(String field) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            if (line.startsWith(field)) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        throw new IOException("expected " + field + " of a process that runs, found none");
    }

    /** Number of its open file descriptors. */
    public int descriptors() throws IOException {
        try (var descriptors = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return (int) descriptors.count();
        }
    }

    /** The process. */
    public Process process() {
        return process;
    }

    /** Kills it. */
    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        signals.letGo(process);
        signals.close();
    }
}
