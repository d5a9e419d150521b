package mastdrift.lab;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** A small experiment as text, which tests change by replacing parts of it. */
final class Sample {

    static final String TEXT = """
            [experiment]
            name = "small"
            length = "8s"
            warm = "1s"
            seeds = 2

            [site]
            zones = ["bilbao", "oviedo"]
            gateways = 2
            list_delay = "200ms"
            list_spread = "200ms"

            [[kind]]
            name = "one"
            cores = 2
            queue = 32

            [[nodes]]
            kind = "one"
            count = 8

            [[class]]
            name = "read"
            effect = "safe"
            aim = "300ms"
            deadline = "1s"

            [[class]]
            name = "start"
            effect = "keyed"
            group = "zone"
            dedup_window = "1500ms"
            aim = "300ms"
            deadline = "1s"

            [[work]]
            class = "read"
            mean = "20ms"

            [[work]]
            class = "start"
            mean = "30ms"
            shape = "lognormal"
            cv = 0.5

            [[population]]
            name = "drivers"
            rate = "300"
            tries = 2
            classes = { read = 2, start = 1 }
            """;

    private Sample() { }

    static String with(String more) {
        return TEXT + "\n" + more;
    }

    static String fault(String what, String more) {
        return with("[[fault]]\nwhat = \"" + what + "\"\nat = \"2s\"\nfor = \"3s\"\n" + more + "\n");
    }

    static Experiment read(String text) {
        ExperimentReader.Result result = ExperimentReader.read("x.toml", text, Path.of("."), null, null);
        if (result.experiment() == null) {
            throw new IllegalArgumentException(String.join("\n", result.problems()));
        }
        return result.experiment();
    }

    static Results run(String text) throws Exception {
        return new Runner(read(text), 4, result -> { }).run();
    }

    /** Counts of the first run by name. */
    static Map<String, Long> counts(String text) throws Exception {
        return new TreeMap<>(run(text).runs().get(0).counts());
    }
}
