package mastdrift.lab;

import java.util.ArrayList;
import java.util.List;
import mastdrift.lab.Experiment.Arm;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.model.Scenario;
import mastdrift.lab.model.Scenario.Fault;
import mastdrift.lab.model.Scenario.Population;

/**
 * An experiment played at every point of a grid: gateways, nodes, keys and days.
 *
 * @param base what all points share
 * @param gateways how many there are
 * @param nodes how many there are, in the proportions of the base's groups
 * @param nodeRate first tries a second for each node, in the proportions of the base's populations
 * @param keys what requests are about
 * @param days what goes wrong
 * @param pairsMost points with more gateways times nodes are left out
 */
public record Grid(Experiment base, List<Integer> gateways, List<Integer> nodes, double nodeRate, List<Keys> keys, List<Day> days,
        long pairsMost) {

    /** Keys under a name. */
    public record Keys(String name, Mix.Keys keys) { }

    /** What goes wrong on a day. */
    public record Day(String name, List<Fault> faults) { }

    /** A point of it. */
    public record Point(String day, String keys, int gateways, int nodes) {

        /** For lines and names of rows. */
        public String label() {
            return day + ", " + keys + ", " + gateways + " x " + nodes;
        }
    }

    /** The same without points of more gateways times nodes. */
    public Grid upTo(long pairs) {
        return new Grid(base, gateways, nodes, nodeRate, keys, days, pairs);
    }

    /** All points, those that need the most memory first, so that none of them is left for the end. */
    public List<Point> points() {
        List<Point> points = new ArrayList<>();
        for (Day day : days) {
            for (Keys each : keys) {
                for (int many : gateways) {
                    nodes.stream().filter(count -> (long) many * count <= pairsMost)
                            .forEach(count -> points.add(new Point(day.name, each.name, many, count)));
                }
            }
        }
        points.sort((one, other) -> Long.compare((long) other.gateways * other.nodes, (long) one.gateways * one.nodes));
        return points;
    }

    /** What an arm plays at a point. */
    public Scenario at(Point point, Arm arm) {
        Scenario from = arm.scenario();
        int all = from.groups().stream().mapToInt(Scenario.Group::count).sum();
        List<Scenario.Group> groups = new ArrayList<>();
        int left = point.nodes;
        for (int i = 0; i < from.groups().size(); i++) {
            Scenario.Group group = from.groups().get(i);
            int count = i == from.groups().size() - 1 ? left : (int) Math.round((double) point.nodes * group.count() / all);
            count = Math.max(0, Math.min(left, count));
            left -= count;
            groups.add(new Scenario.Group(group.pool(), group.kind(), count, group.cell()));
        }
        Mix.Keys about = keys.stream().filter(each -> each.name.equals(point.keys)).findFirst().orElseThrow().keys;
        double asked = from.populations().stream().mapToDouble(population -> population.curve().total()).sum() / (from.length() / 1e6);
        double times = point.nodes * nodeRate / asked;
        List<Population> populations = from.populations().stream().map(population -> new Population(population.name(), population.zone(),
                population.curve().times(times), population.arrivals(), population.parts(), about, population.tries())).toList();
        List<Fault> faults = days.stream().filter(day -> day.name.equals(point.day)).findFirst().orElseThrow().faults;
        return new Scenario(from.site().withGateways(point.gateways), from.kinds(), groups, from.classes(), from.works(), from.tenants(),
                from.routes(), populations, faults, from.length(), from.warm(), from.zones(), from.peers());
    }
}
