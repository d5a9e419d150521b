package mastdrift.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A gateway as a process of its own, so that neither its processor time nor its pauses are mixed up with those of who measures.
    It ends with {@link #close}. */
public final class GatewayProcess implements AutoCloseable {

    private static final int START_SECONDS = 60;
    private static final String HTTP = "listening on ";
    private static final String RADIUS = "listening for RADIUS on ";

    private final Process process;
    private final List<InetSocketAddress> http = new ArrayList<>();
    private final List<InetSocketAddress> radius = new ArrayList<>();
    private final CompletableFuture<Void> listens = new CompletableFuture<>();

    private GatewayProcess(Process process, int listeners) {
        this.process = process;
        Thread log = new Thread(() -> read(listeners), "gateway-log");
        log.setDaemon(true);
        log.start();
    }

    /** Runs {@code java} with these words, on these processors ({@code "0"}, {@code "0,1"}, null for any; by taskset), and
        returns once it listens on so many addresses; throws IOException where it ends before. */
    public static GatewayProcess start(String cpus, List<String> words, Map<String, String> environment, int listeners)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(cpus == null ? List.of() : List.of("taskset", "-c", cpus));
        command.add(System.getProperty("java.home") + "/bin/java");
        command.addAll(words);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        builder.environment().putAll(environment);
        GatewayProcess gateway = new GatewayProcess(builder.start(), listeners);
        try {
            gateway.listens.get(START_SECONDS, TimeUnit.SECONDS);
            return gateway;
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            gateway.close();
            throw new IOException("expected a gateway that listens, found " + (e.getCause() == null ? "none in " + START_SECONDS
                    + " s" : e.getCause().getMessage()), e);
        }
    }

    /** One from files, with the class path of this program; {@code more} are further words of {@code serve}. */
    public static GatewayProcess serve(String cpus, java.nio.file.Path file, int listeners, String... more)
            throws IOException, InterruptedException {
        List<String> words = new ArrayList<>(List.of("-cp", System.getProperty("java.class.path"), "mastdrift.cli.Main", "serve",
                "--config", file.toString()));
        words.addAll(List.of(more));
        return start(cpus, words, Map.of(), listeners);
    }

    private void read(int listeners) {
        String last = "no line";
        try (BufferedReader log = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                last = line;
                int port = line.lastIndexOf(':');
                if (line.contains(HTTP)) {
                    http.add(new InetSocketAddress("127.0.0.1", port(line, port)));
                } else if (line.contains(RADIUS)) {
                    radius.add(new InetSocketAddress("127.0.0.1", port(line, port)));
                }
                if (http.size() + radius.size() >= listeners) {
                    listens.complete(null);
                }
            }
            listens.completeExceptionally(new IOException("a process that ended with: " + last));
        } catch (IOException e) {
            listens.completeExceptionally(e);
        }
    }

    private static int port(String line, int colon) {
        int end = colon + 1;
        while (end < line.length() && Character.isDigit(line.charAt(end))) {
            end++;
        }
        return Integer.parseInt(line.substring(colon + 1, end));
    }

    /** Where it takes HTTP. */
    public InetSocketAddress http() {
        return http.get(0);
    }

    /** Where it takes RADIUS. */
    public InetSocketAddress radius() {
        return radius.get(0);
    }

    /** Processor time that it has used, in microseconds; 0 where the system doesn't tell. */
    public long cpu() {
        return process.info().totalCpuDuration().map(d -> d.toNanos() / 1000).orElse(0L);
    }

    /** The process itself, to stop or signal it. */
    public Process process() {
        return process;
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
