import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What all cases share: the record, the temporary folder, the processes that were started, and the exit status: 1 if
 * the rule was broken, 0 if it held, 2 if the case could not run.
 */
final class CaseRun {

    /** The case could not run; says why. */
    static final class NotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        NotRun(String reason) {
            super(reason);
        }
    }

    private static final long MAX_CASE_MILLIS = 119_500;

    /** Whether the case plays its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    /** Root of the repository. */
    final Path root = Path.of("").toAbsolutePath();
    /** Temporary folder, deleted at the end. */
    final Path folder;
    private final long startedNanos = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();

    private CaseRun(Path caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt"), StandardCharsets.UTF_8));
        folder = Files.createTempDirectory("case-");
        Thread watchdog = new Thread(() -> {
            sleepUninterrupted(MAX_CASE_MILLIS);
            log("case: not finished in time");
            end();
            Runtime.getRuntime().halt(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Body of a case: returns whether the rule held. */
    interface Body {
        boolean play(CaseRun run) throws Exception;
    }

    /** Plays a case, whose folder is the first argument, and exits. */
    static void play(String[] arguments, Body body) {
        int status = 2;
        try {
            CaseRun run = new CaseRun(Path.of(arguments[0]).toAbsolutePath());
            run.log("case: trouble " + (run.trouble ? "on" : "off"));
            try {
                boolean held = body.play(run);
                status = held ? 0 : 1;
                run.log("case: the rule " + (held ? "held" : "was broken"));
            } catch (NotRun e) {
                run.log("case: could not run: " + e.getMessage());
            } catch (Exception | Error e) {
                run.log("case: could not run: " + e);
                for (StackTraceElement each : e.getStackTrace()) {
                    run.log("    " + each);
                }
            }
        } catch (IOException e) {
            System.err.println(e);
        }
        System.exit(status);
    }

    /** Milliseconds since the case began. */
    double millis() {
        return (System.nanoTime() - startedNanos) / 1e6;
    }

    /** Milliseconds since the case began, of a value of System.nanoTime. */
    double millis(long nanos) {
        return (nanos - startedNanos) / 1e6;
    }

    /** Writes a line to the record. */
    void log(String line) {
        logAt(System.nanoTime(), line);
    }

    /** Writes a line to the record about something that happened at the given value of System.nanoTime. */
    void logAt(long nanos, String line) {
        synchronized (record) {
            record.printf(java.util.Locale.ROOT, "%10.1f ms  %s%n", millis(nanos), line);
            record.flush();
        }
    }

    /** Starts a process; its output goes to the record, under its name. */
    Process start(String name, Map<String, String> environment, String... command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        process.getOutputStream().close();
        log("case: started " + name + " as process " + process.pid());
        Thread reader = new Thread(() -> {
            try (var lines = process.inputReader(StandardCharsets.UTF_8)) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    log(name + ": " + line);
                }
            } catch (IOException e) {
                log(name + ": output ended");
            }
        });
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    /** Starts a gateway by the value of run in the deploy file, and returns at once. */
    Process startGateway(String name, int port, int discoveryPort, Path config) throws IOException {
        String command = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                StringBuilder value = new StringBuilder();
                for (int i = "run = \"".length(); line.charAt(i) != '"'; i++) {
                    if (line.charAt(i) == '\\') {
                        i++;
                    }
                    value.append(line.charAt(i));
                }
                command = value.toString();
            }
        }
        if (command == null) {
            throw new NotRun("deploy/balancer.toml has no run");
        }
        return start(name, Map.of("NODE_NAME", name, "NODE_LISTEN", "127.0.0.1:" + port, "NODE_DISCOVERY", "127.0.0.1:" + discoveryPort, "NODE_CONFIG", config.toString(),
                "TMPDIR", Files.createTempDirectory(folder, "tmp").toString()), "/bin/sh", "-c", command);
    }

    /** Starts a command of the project's program, as its pages say. */
    Process startProgram(String name, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/mastdrift.jar"));
        command.addAll(List.of(arguments));
        return start(name, Map.of(), command.toArray(String[]::new));
    }

    /** Runs a command of the project's program to its end; returns its status. */
    int runProgram(String name, String... arguments) throws IOException, InterruptedException {
        Process process = startProgram(name, arguments);
        if (!process.waitFor(60, TimeUnit.SECONDS)) {
            throw new NotRun(name + " didn't end");
        }
        log("case: " + name + " ended with status " + process.exitValue());
        return process.exitValue();
    }

    /** Waits until the condition holds; the case can't run if that takes too long. */
    void await(String what, long maxMillis, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + maxMillis * 1_000_000;
        while (!condition.call()) {
            if (System.nanoTime() > deadline) {
                throw new NotRun("expected within " + maxMillis + " ms: " + what);
            }
            Thread.sleep(20);
        }
    }

    /** Waits until a gateway answers GET /ready with 200. */
    void awaitReady(int port) throws Exception {
        await("ready on port " + port, 40_000, () -> {
            try (HttpClientConnection client = new HttpClientConnection(port)) {
                return client.exchange("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n", 1_000).status() == 200;
            } catch (IOException e) {
                return false;
            }
        });
        log("case: ready on port " + port);
    }

    /** Sends a signal to a process that this case started. */
    void signal(Process process, String signal) throws IOException, InterruptedException {
        log("case: " + signal + " to process " + process.pid());
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** A free port of 127.0.0.1. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Writes a file in the temporary folder. */
    Path write(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.createDirectories(file.getParent());
        return Files.writeString(file, text);
    }

    static void sleepUninterrupted(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void end() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            processes.forEach(each -> {
                try {
                    each.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            processes.clear();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            log("case: the temporary folder stays: " + e);
        }
    }
}
