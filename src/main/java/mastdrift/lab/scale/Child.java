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

/** A process of a run: one of hollow gateways, which is told what to do in lines of JSON, one answer a line, or this program itself. {@link Signals} sees to it that it ends with this one. */
final class Child {

    private static final int START_SECONDS = 120;

    private final String name;
    private final String role;
    private final Process process;
    private final Signals signals;
    private final PrintStream words;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

    private Child(String name, String role, Process process, Signals signals) {
        this.name = name;
        this.role = role;
        this.process = process;
        this.signals = signals;
        words = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        Thread reader = new Thread(this::read, "scale-" + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts a process of hollow gateways with so many MiB of heap; what it says beside answers goes into a file of a folder. */
    static Child hollow(String name, int heap, Path folder, Signals signals) throws IOException {
        return start(name, Scale.HOLLOW, heap, folder, signals, false, Node.class.getName());
    }

    /** Starts this program with such words; all that it says goes into a file of a folder. */
    static Child program(String name, String role, int heap, Path folder, Signals signals, String... words) throws IOException {
        return start(name, role, heap, folder, signals, true, Stream.concat(Stream.of("mastdrift.cli.Main"), Stream.of(words)).toArray(String[]::new));
    }

    private static Child start(String name, String role, int heap, Path folder, Signals signals, boolean silent, String... words) throws IOException {
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx" + heap + "m",
                "-XX:MaxDirectMemorySize=" + Math.max(64, heap / 4) + "m", "-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(words));
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(log.toFile());
        Process process = (silent ? builder.redirectErrorStream(true).redirectOutput(log.toFile()) : builder).start();
        signals.add(process);
        return new Child(name, role, process, signals);
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
                answers.add(line);
            }
        } catch (IOException e) {
            answers.add("{\"error\":\"no more answers\"}");
        }
        answers.add("{\"error\":\"it ended\"}");
    }

    /** Tells it something that has an answer, which {@link #answer} waits for. */
    void tell(Map<String, Object> what) throws IOException {
        words.println(JSON.std.asString(what));
    }

    /** What it answers to the oldest that it was told; throws IOException where it ended, found a fault, or said nothing for two minutes. */
    Map<String, Object> answer() throws IOException, InterruptedException {
        String line = answers.poll(START_SECONDS, TimeUnit.SECONDS);
        Map<String, Object> answer = line == null ? Map.of("error", "no answer within " + START_SECONDS + " s") : JSON.std.mapFrom(line);
        if (answer.containsKey("error")) {
            throw new IOException(name + ": expected an answer, found: " + answer.get("error"));
        }
        return answer;
    }

    /** Tells all the same, then takes each one's answer. */
    static List<Map<String, Object>> ask(List<Child> children, Map<String, Object> what) throws IOException, InterruptedException {
        for (Child each : children) {
            each.tell(what);
        }
        List<Map<String, Object>> answers = new ArrayList<>();
        for (Child each : children) {
            answers.add(each.answer());
        }
        return answers;
    }

    /** Kills it, and waits until it has ended. */
    void end() throws InterruptedException {
        signals.send("KILL", process);
        process.destroyForcibly().waitFor();
        signals.letGo(process);
    }
}
