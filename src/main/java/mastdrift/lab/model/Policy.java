package mastdrift.lab.model;

import java.util.function.Supplier;
import mastdrift.Balance;
import mastdrift.Balancer;

/**
 * Who decides in the gateways of a world.
 *
 * @param name for reports
 * @param modules makes a module for a pool of a gateway
 * @param breaks the rule that is broken on purpose, to see that the laboratory finds it
 */
public record Policy(String name, Supplier<Balancer> modules, Breaks breaks) {

    /** What is broken on purpose. */
    public enum Breaks {
        /** Nothing. */
        NOTHING,
        /** A repeat that may run twice goes to any group. */
        GROUP,
        /** Nodes that leave go on being sent to. */
        DRAIN,
        /** Some answers are given twice. */
        TWICE
    }

    /** The decision module of this build. */
    public static Policy module() {
        return new Policy("module", Balance::new, Breaks.NOTHING);
    }

    /** Any node that is up, drawn evenly. */
    public static Policy random() {
        return new Policy("random", () -> new Baseline(1, Breaks.NOTHING), Breaks.NOTHING);
    }

    /** Of two that are up, drawn evenly, the one of which less is out from this gateway (Mitzenmacher, "The power of two choices
        in randomized load balancing", 2001). */
    public static Policy twoChoices() {
        return new Policy("two", () -> new Baseline(2, Breaks.NOTHING), Breaks.NOTHING);
    }

    /** The same, and breaking a rule. */
    public Policy breaking(Breaks rule) {
        return switch (rule) {
            case NOTHING -> this;
            case GROUP, DRAIN -> new Policy(name, () -> new Baseline(1, rule), rule);
            case TWICE -> new Policy(name, modules, rule);
        };
    }
}
