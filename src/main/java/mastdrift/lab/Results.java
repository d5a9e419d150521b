package mastdrift.lab;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The results of an experiment, as they are kept: {@code results.json} in a folder.
 *
 * @param experiment its name
 * @param byModel whether it was played by the model
 * @param planned how many runs there should be
 * @param faults faults of the timeline: what, beginning and end in seconds
 * @param runs those that were finished, by arm in the order of the file and by seed
 * @param broken limits that were broken
 */
public record Results(String experiment, boolean byModel, int planned, List<FaultMark> faults, List<RunResult> runs,
        List<String> broken) {

    /** A fault, for reports. */
    public record FaultMark(String what, double from, double to) { }

    private static final String FILE = "results.json";

    /** Whether it was interrupted. */
    public boolean partial() {
        return runs.size() < planned;
    }

    /** Names of the arms that have a run, in their order. */
    public List<String> arms() {
        return runs.stream().map(RunResult::arm).distinct().toList();
    }

    /** The runs of an arm. */
    public List<RunResult> of(String arm) {
        return runs.stream().filter(run -> run.arm().equals(arm)).toList();
    }

    /** The text of the file: the same results give the same bytes. */
    public String text() throws IOException {
        Map<String, Object> plain = new LinkedHashMap<>();
        plain.put("version", 1);
        plain.put("experiment", experiment);
        plain.put("by", byModel ? "model" : "loopback");
        plain.put("planned", planned);
        plain.put("partial", partial());
        plain.put("faults", faults.stream().map(fault -> {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("what", fault.what());
            one.put("from_s", fault.from());
            one.put("to_s", fault.to());
            return one;
        }).toList());
        plain.put("broken", broken);
        plain.put("runs", runs.stream().map(RunResult::plain).toList());
        return JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(plain) + "\n";
    }

    /** Writes a file of the folder whole or not at all; a full disk leaves nothing behind and what was there as it was. */
    public static void save(Path folder, String name, String text) throws IOException {
        Files.createDirectories(folder);
        Path aside = folder.resolve("." + name + ".new");
        try {
            Files.write(aside, text.getBytes(StandardCharsets.UTF_8));
            Files.move(aside, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            Files.deleteIfExists(aside);
            throw new IOException(folder.resolve(name) + ": expected to be written whole, found " + e, e);
        }
    }

    /** Writes it to its folder. */
    public void save(Path folder) throws IOException {
        save(folder, FILE, text());
    }

    /** Reads it from its folder; throws IOException with what was expected and found. */
    public static Results read(Path folder) throws IOException {
        Path file = Files.isDirectory(folder) ? folder.resolve(FILE) : folder;
        if (!Files.isRegularFile(file)) {
            throw new IOException(file + ": expected results of lab run, found no file");
        }
        try {
            Map<String, Object> plain = JSON.std.mapFrom(Files.readAllBytes(file));
            if (!Integer.valueOf(1).equals(plain.get("version"))) {
                throw new IOException(file + ": expected version 1, found " + plain.get("version"));
            }
            List<FaultMark> faults = new ArrayList<>();
            for (Object each : (List<?>) plain.get("faults")) {
                Map<?, ?> fault = (Map<?, ?>) each;
                faults.add(new FaultMark((String) fault.get("what"), ((Number) fault.get("from_s")).doubleValue(),
                        ((Number) fault.get("to_s")).doubleValue()));
            }
            List<RunResult> runs = ((List<?>) plain.get("runs")).stream().map(each -> RunResult.from((Map<?, ?>) each)).toList();
            return new Results((String) plain.get("experiment"), "model".equals(plain.get("by")),
                    ((Number) plain.get("planned")).intValue(), faults, runs,
                    ((List<?>) plain.get("broken")).stream().map(String.class::cast).toList());
        } catch (JsonProcessingException e) {
            throw new IOException(file + ": expected JSON, found " + e.getOriginalMessage(), e);
        } catch (ClassCastException | NullPointerException | IllegalArgumentException e) {
            throw new IOException(file + ": expected results of lab run, found something else: " + e.getMessage(), e);
        }
    }
}
