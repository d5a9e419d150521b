package mastdrift.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * What one run does, drawn by its seed alone.
 *
 * @param seed of the draw
 * @param gateways processes
 * @param servers endpoints at the beginning
 * @param seconds for which there is trouble
 * @param registry how lists are told
 * @param shortDeadlines whether clients wait for 0.3 to 0.8 s, or for 1 to 3 s
 * @param steps what happens when, by time
 */
public record SoakPlan(long seed, int gateways, int servers, int seconds, RegistryMode registry, boolean shortDeadlines, List<Step> steps) {

    /** How a registry tells its lists. */
    public enum RegistryMode {
        /** Calls wait for their turn: one for all gateways, each takes a while. */
        TURNS,
        /** Calls are answered at once, and a watch goes on. */
        WATCHED,
        /** A watch ends behind each change that it tells. */
        POLLED,
        /** By an agent of the gateway's machine, which answers at once and is silent while the registry is away. */
        PUSHED
    }

    /** What may happen. */
    public enum Kind {
        DRAIN, REMOVE, JOIN, HANG, RESET_SERVER, CLOSE_IDLE,
        SILENCE, RESET_WATCHES, END_INSTEAD_OF_TELLING, SLOW, PIECES, DOWN, CROWDED_REGISTRY, MOVE, SPOIL, CUT, NEVER_WHOLE,
        TERMINATE, KILL, HANG_UP, HANG_UP_AND_TERMINATE, TERMINATE_TWICE, HANG_UP_AT_START, HOLD, IDLE_CROWD
    }

    /** One of them: at so many milliseconds of the run; {@code which} and {@code millis} mean what the kind makes of them. */
    public record Step(int at, Kind kind, int which, int millis) { }

    private static final int LARGE_OF = 3;
    private static final Kind[] SERVER_KINDS = {Kind.DRAIN, Kind.DRAIN, Kind.REMOVE, Kind.JOIN, Kind.JOIN, Kind.HANG, Kind.RESET_SERVER, Kind.CLOSE_IDLE};
    private static final Kind[] REGISTRY_KINDS = {Kind.SILENCE, Kind.RESET_WATCHES, Kind.END_INSTEAD_OF_TELLING, Kind.END_INSTEAD_OF_TELLING, Kind.SLOW, Kind.PIECES, Kind.DOWN,
        Kind.CROWDED_REGISTRY, Kind.MOVE, Kind.SPOIL, Kind.CUT, Kind.NEVER_WHOLE};
    private static final Kind[] PROCESS_KINDS = {Kind.TERMINATE, Kind.KILL, Kind.HANG_UP, Kind.HANG_UP_AND_TERMINATE, Kind.TERMINATE_TWICE, Kind.HANG_UP_AT_START, Kind.IDLE_CROWD};
    private static final int HOLD_MOST_MILLIS = 150;

    /** The plan of a seed. */
    public static SoakPlan draw(long seed) {
        Random random = new Random(seed);
        boolean large = random.nextInt(LARGE_OF) == 0;
        int gateways = large ? 20 + random.nextInt(11) : 3 + random.nextInt(6);
        return draw(seed, gateways, random);
    }

    /** Likewise, of so many gateways. */
    public static SoakPlan draw(long seed, int gateways) {
        return draw(seed, gateways, new Random(seed));
    }

    private static SoakPlan draw(long seed, int gateways, Random random) {
        int seconds = 10 + random.nextInt(6);
        RegistryMode mode = RegistryMode.values()[random.nextInt(RegistryMode.values().length)];
        List<Step> steps = new ArrayList<>();
        drawSteps(steps, SERVER_KINDS, 300, 1_100, seconds, random);
        drawSteps(steps, REGISTRY_KINDS, 700, 2_500, seconds, random);
        drawSteps(steps, PROCESS_KINDS, 1_500, 4_500, seconds, random);
        drawSteps(steps, new Kind[] {Kind.HOLD}, 100, 500, seconds, random);
        steps.sort(Comparator.comparingInt(Step::at));
        return new SoakPlan(seed, gateways, 6 + random.nextInt(4), seconds, mode, random.nextBoolean(), List.copyOf(steps));
    }

    private static void drawSteps(List<Step> steps, Kind[] of, int pauseLeast, int pauseMost, int seconds, Random random) {
        int at = pauseLeast;
        while (at < seconds * 1_000) {
            Kind kind = of[random.nextInt(of.length)];
            int most = kind == Kind.HOLD ? HOLD_MOST_MILLIS : 3_000;
            steps.add(new Step(at, kind, random.nextInt(1 << 16), 1 + random.nextInt(most)));
            at += pauseLeast + random.nextInt(pauseMost - pauseLeast);
        }
    }

    /** How often each kind is drawn, in words. */
    public String drawn() {
        Map<Kind, Integer> counts = new TreeMap<>();
        steps.forEach(step -> counts.merge(step.kind, 1, Integer::sum));
        return gateways + " gateways, " + servers + " servers, " + seconds + " s, " + registry + ", " + (shortDeadlines ? "short" : "usual") + " deadlines, " + counts;
    }
}
