package mastdrift.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import mastdrift.config.Section;
import mastdrift.config.Tables;
import mastdrift.lab.Grid.Day;
import mastdrift.lab.Grid.Keys;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.model.Scenario.Fault;

/** Reads the table {@code [grid]} of an experiment's file. */
final class GridReader {

    private static final int AXIS_MOST = 16;

    private GridReader() { }

    /** What a table says of the grid, before the experiment that it is laid over is whole. */
    record Axes(List<Integer> gateways, List<Integer> nodes, double nodeRate, List<Keys> keys, List<Day> days) { }

    /** Reads it; the faults of a day are read as those of an experiment. */
    static Axes read(Section section, Function<Section, List<Fault>> faults) {
        List<Integer> gateways = axis(section, "gateways", ExperimentReader.GATEWAYS_MOST);
        List<Integer> nodes = axis(section, "nodes", ExperimentReader.NODES_MOST);
        double rate = section.requiredNumber("node_rate", 0.001, 100_000);
        List<Keys> keys = new ArrayList<>();
        Set<String> met = Section.newSeenSet();
        for (Section each : section.sections("keys", AXIS_MOST)) {
            String name = Tables.checkName(each, "name", each.requiredText("name"));
            each.requireUnique("name", name, met);
            keys.add(new Keys(name, keys(each)));
            each.rejectUnknownKeys();
        }
        if (keys.isEmpty()) {
            section.addProblem("keys", "expected at least one table of keys, [[grid.keys]], found none");
        }
        List<Day> days = new ArrayList<>();
        met = Section.newSeenSet();
        for (Section each : section.sections("day", AXIS_MOST)) {
            String name = Tables.checkName(each, "name", each.requiredText("name"));
            each.requireUnique("name", name, met);
            days.add(new Day(name, faults.apply(each)));
            each.rejectUnknownKeys();
        }
        if (days.isEmpty()) {
            days.add(new Day("calm", List.of()));
        }
        section.rejectUnknownKeys();
        return new Axes(gateways, nodes, rate, keys, days);
    }

    /** How many keys there are, how uneven they are, and the part of all requests that is about one of them beside that. */
    static Mix.Keys keys(Section section) {
        return new Mix.Keys((int) section.integer("keys", 1000, 1, 1 << 30), section.number("zipf", 0.9, 0, 5),
                section.number("hot_part", 0, 0, 1), section.durationMicros("hot_moves", 0, 0, 60_000_000));
    }

    private static List<Integer> axis(Section section, String key, int most) {
        List<Integer> values = new ArrayList<>();
        for (String text : section.texts(key, AXIS_MOST)) {
            if (!text.matches("\\d{1,6}") || Integer.parseInt(text) < 1 || Integer.parseInt(text) > most) {
                section.addProblem(key, "expected whole numbers from 1 to " + most + ", found \"" + text + "\"");
            } else {
                values.add(Integer.parseInt(text));
            }
        }
        if (values.isEmpty()) {
            section.addProblem(key, "expected whole numbers as texts, [\"10\", \"100\"], found none");
            values.add(1);
        }
        return List.copyOf(values);
    }
}
