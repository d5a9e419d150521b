package mastdrift.lab.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import mastdrift.lab.rig.Signals;

/** A process of a run: one of hollow gateways, which takes requests as lines of JSON and answers each with one, or this program itself. {@link Signals} sees to it that it ends with this one. */
final class ChildProcess {

    private static final int START_SECONDS = 120;

    private final String name;
    private final String role;
    private final Process process;
    private final Signals signals;
    private final PrintStream input;
    private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();

    private ChildProcess(String name, String role, Process process, Signals signals) {
        this.name = name;
        this.role = role;
        this.process = process;
        this.signals = signals;
        input = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        Thread reader = new Thread(this::read, "scale-" + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts a process of hollow gateways with so many MiB of heap; what it says beside answers goes into a file of a folder. */
    static ChildProcess hollow(String name, int heap, Path folder, Signals signals) throws IOException {
        return start(name, Scale.HOLLOW, heap, folder, signals, false, HollowWorker.class.getName());
    }

    /** Starts this program with such words; all that it says goes into a file of a folder. */
    static ChildProcess program(String name, String role, int heap, Path folder, Signals signals, String... arguments) throws IOException {
        return start(name, role, heap, folder, signals, true, Stream.concat(Stream.of("mastdrift.cli.Main"), Stream.of(arguments)).toArray(String[]::new));
    }

    private static ChildProcess start(String name, String role, int heap, Path folder, Signals signals, boolean silent, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx" + heap + "m",
                "-XX:MaxDirectMemorySize=" + Math.max(64, heap / 4) + "m", "-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(arguments));
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(log.toFile());
        Process process = (silent ? builder.redirectErrorStream(true).redirectOutput(log.toFile()) : builder).start();
        signals.add(process);
        return new ChildProcess(name, role, process, signals);
    }

    String name() {
        return name;
    }

    String role() {
        return role;
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process.isAlive();
    }

    private void read() {
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                responses.add(line);
            }
        } catch (IOException e) {
            responses.add("{\"error\":\"no more answers\"}");
        }
        responses.add("{\"error\":\"it ended\"}");
    }

    /** Sends it a request; {@link #response} waits for what it answers. */
    void send(Map<String, Object> request) throws IOException {
        input.println(JSON.std.asString(request));
    }

    /** What it answers to the oldest request; throws IOException where it ended, found a fault, or said nothing for two minutes. */
    Map<String, Object> response() throws IOException, InterruptedException {
        String line = responses.poll(START_SECONDS, TimeUnit.SECONDS);
        Map<String, Object> response = line == null ? Map.of("error", "no answer within " + START_SECONDS + " s") : JSON.std.mapFrom(line);
        if (response.containsKey("error")) {
            throw new IOException(name + ": expected an answer, found: " + response.get("error"));
        }
        return response;
    }

    /** Sends all the same request, then takes each one's answer. */
    static List<Map<String, Object>> request(List<ChildProcess> children, Map<String, Object> request) throws IOException, InterruptedException {
        for (ChildProcess each : children) {
            each.send(request);
        }
        List<Map<String, Object>> responses = new ArrayList<>();
        for (ChildProcess each : children) {
            responses.add(each.response());
        }
        return responses;
    }

    /** Kills it, and waits until it has ended. */
    void end() throws InterruptedException {
        signals.send("KILL", process);
        process.destroyForcibly().waitFor();
        signals.letGo(process);
    }
}
