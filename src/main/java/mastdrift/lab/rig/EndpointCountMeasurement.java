package mastdrift.lab.rig;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import mastdrift.standin.Effects;
import mastdrift.standin.StandInClient;
import mastdrift.standin.StandInHost;

/**
 * What sixteen times the endpoints cost one of the platform's gateways under the same traffic: processor time, peak memory, descriptors, connections made, bytes of lists and the share that
 * is served, by turns in one run. Changes of the list come in proportion to the endpoints. Arguments: rounds, seconds of a round.
 */
public final class EndpointCountMeasurement {

    private static final int USUAL = 200;
    private static final int MANY = 3_200;
    private static final int CLIENTS = 4;
    private static final int PAUSE_MILLIS = 60;
    private static final int EXPIRES_MILLIS = 1_000;
    private static final int READY_SECONDS = 60;
    private static final double TICKS_PER_SECOND = 100;
    private static final long CHANGE_MILLIS_OF_USUAL = 2_000;

    private record Cost(double cpuSeconds, double peakMegabytes, int descriptors, long connections, long listBytes, double served) { }

    private EndpointCountMeasurement() { }

    /** Measures and prints a line a round, then the ratios. */
    public static void main(String[] arguments) throws Exception {
        int rounds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 3;
        int seconds = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 20;
        try (Signals signals = new Signals()) {
            for (int round = 0; round < rounds; round++) {
                Cost usual = measure(USUAL, seconds, signals);
                Cost many = measure(MANY, seconds, signals);
                print(USUAL, usual);
                print(MANY, many);
                System.out.println(String.format(Locale.ROOT, "ratio: cpu %.2f, memory %.2f, descriptors %.2f, connections %.2f, bytes of lists %.2f, served %.3f",
                        many.cpuSeconds / usual.cpuSeconds, many.peakMegabytes / usual.peakMegabytes, (double) many.descriptors / usual.descriptors,
                        (double) many.connections / Math.max(1, usual.connections), (double) many.listBytes / usual.listBytes, many.served / usual.served));
            }
        }
        System.exit(0);
    }

    private static void print(int endpoints, Cost cost) {
        System.out.println(String.format(Locale.ROOT, "%d endpoints: cpu %.2f s, peak %.1f MB, %d descriptors, %d connections made, %d KB of lists, served %.3f", endpoints,
                cost.cpuSeconds, cost.peakMegabytes, cost.descriptors, cost.connections, cost.listBytes / 1_000, cost.served));
    }

    private static Cost measure(int count, int seconds, Signals signals) throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        long began = System.nanoTime();
        DrainChecker checker = new DrainChecker(0);
        List<StandInHost> hosts = new ArrayList<>();
        Process process = null;
        try (ScriptedRegistry registry = new ScriptedRegistry(List.of("g0"), checker, () -> (System.nanoTime() - began) / 1_000, timer, new Random(1))) {
            Effects effects = new Effects(count);
            for (int i = 0; i < count; i++) {
                StandInHost host = new StandInHost("s" + i, "all", effects, loop, 2_000, 64);
                hosts.add(host);
                registry.change("s" + i, host.endpoint(), "in_service", 0);
            }
            Path folder = Files.createTempDirectory("endpoints");
            int port = freePort();
            process = start(folder, port, registry, signals);
            return load(process, port, registry, hosts, seconds);
        } finally {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
            timer.shutdownNow();
            hosts.forEach(StandInHost::close);
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    private static Process start(Path folder, int port, ScriptedRegistry registry, Signals signals) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, "{\"name\":\"g0\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024},\"discovery\":\"" + registry.address("g0") + "\",\"known\":" + registry.whole()
                + ",\"settings\":" + DrainPlay.settings(1, 0) + "}");
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData",
                "-Xms72m", "-Xmx72m", "-XX:MaxDirectMemorySize=16m", "-XX:ReservedCodeCacheSize=24m", "-Xss512k", "-cp", System.getProperty("java.class.path"), "mastdrift.net.Main")
                .redirectErrorStream(true);
        builder.environment().putAll(Map.of("NODE_NAME", "g0", "NODE_CONFIG", file.toString(), "NODE_LISTEN", "127.0.0.1:" + port));
        Process process = builder.start();
        signals.add(process);
        CountDownLatch ready = new CountDownLatch(1);
        Thread log = new Thread(() -> {
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    if (line.startsWith("listening")) {
                        ready.countDown();
                    }
                }
            } catch (IOException e) {
                return;  // the process has ended
            }
        });
        log.setDaemon(true);
        log.start();
        if (!ready.await(READY_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("expected the gateway to listen within " + READY_SECONDS + " s");
        }
        return process;
    }

    private static Cost load(Process process, int port, ScriptedRegistry registry, List<StandInHost> hosts, int seconds) throws Exception {
        double cpuBefore = cpuSeconds(process);
        long bytesBefore = registry.written();
        long openedBefore = hosts.stream().mapToLong(StandInHost::opened).sum();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Random keys = new Random(i);
            Thread client = new Thread(() -> ask(port, until, keys, asked, served));
            client.start();
            clients.add(client);
        }
        int descriptors = 0;
        Random changes = new Random(7);
        long pause = Math.max(1, CHANGE_MILLIS_OF_USUAL * USUAL / hosts.size());
        while (System.nanoTime() < until) {
            int number = changes.nextInt(hosts.size());
            registry.change("s" + number, hosts.get(number).endpoint(), "terminating", 0);
            Thread.sleep(pause);
            registry.change("s" + number, hosts.get(number).endpoint(), "in_service", 0);
            descriptors = Math.max(descriptors, descriptors(process));
        }
        for (Thread client : clients) {
            client.join();
        }
        return new Cost(cpuSeconds(process) - cpuBefore, peakMegabytes(process), descriptors, hosts.stream().mapToLong(StandInHost::opened).sum() - openedBefore,
                registry.written() - bytesBefore, (double) served.get() / asked.get());
    }

    private static void ask(int port, long until, Random keys, AtomicInteger asked, AtomicInteger served) {
        try (StandInClient client = new StandInClient(new InetSocketAddress("127.0.0.1", port), 2 * EXPIRES_MILLIS)) {
            while (System.nanoTime() < until) {
                String id = "g0-" + asked.getAndIncrement();
                boolean is = client.ask(StandInClient.head("read", null, id, "object-" + keys.nextInt(500), null, EXPIRES_MILLIS, 0), "").status() == 200;
                served.addAndGet(is ? 1 : 0);
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** User and system time, fields 14 and 15 of proc(5), behind the name in brackets. */
    private static double cpuSeconds(Process process) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
    }

    private static double peakMegabytes(Process process) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1_000.0;
            }
        }
        throw new IOException("expected a line VmHWM in the status of the process");
    }

    private static int descriptors(Process process) throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return (int) open.count();
        }
    }
}
