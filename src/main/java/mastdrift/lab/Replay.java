package mastdrift.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mastdrift.lab.Experiment.Arm;
import mastdrift.lab.model.Breach;
import mastdrift.lab.model.Measured;
import mastdrift.lab.model.Trace;
import mastdrift.lab.model.World;

/** One run again, to see the whole life of one request in it. */
public final class Replay {

    private static final int LINES_MOST = 10_000;

    private Replay() { }

    /** What a replay found: breaches of rules, and the steps of the request, with faults between them. */
    public record Found(List<Breach> breaches, long request, List<String> steps) { }

    /** Plays a run of the model once to find its first breach, and again to watch the request of that; where a request is
        given (not -1), that one is watched. */
    public static Found play(Arm arm, long seed, long request) {
        Measured first = new World(arm.scenario(), arm.policy(), seed, Trace.NONE).run(() -> false);
        List<Breach> breaches = first.breaches();
        long watched = request >= 0 ? request : breaches.stream().mapToLong(Breach::request).filter(r -> r >= 0).findFirst().orElse(-1);
        List<String> steps = new ArrayList<>();
        Trace trace = (at, about, who, what) -> {
            if ((about == watched || about < 0) && steps.size() < LINES_MOST) {
                steps.add(String.format(Locale.ROOT, "%12.3f ms  %-14s %s", at / 1e3, who, what));
            }
        };
        new World(arm.scenario(), arm.policy(), seed, trace).run(() -> false);
        return new Found(breaches, watched, steps);
    }
}
