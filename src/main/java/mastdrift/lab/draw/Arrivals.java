package mastdrift.lab.draw;

import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** The times at which requests are due along a curve, made before anything is sent: an answer that is late delays none of
    them (an open loop; Schroeder et al., "Open versus closed: a cautionary tale", 2006). */
public final class Arrivals {

    /** How arrivals lie along the curve. */
    public enum Kind {
        /** As evenly as the curve allows. */
        EVEN,
        /** Independent of one another (a Poisson process). */
        POISSON;

        /** By its name in small letters; throws IllegalArgumentException with what was expected. */
        public static Kind parse(String text) {
            for (Kind kind : values()) {
                if (kind.name().toLowerCase(Locale.ROOT).equals(text)) {
                    return kind;
                }
            }
            throw new IllegalArgumentException("expected even or poisson, found \"" + text + "\"");
        }
    }

    private final Curve curve;
    private final Kind kind;
    private final ContinuousSampler gap;
    private double events;

    /** From the beginning of the curve. */
    public Arrivals(Curve curve, Kind kind, UniformRandomProvider random) {
        this.curve = curve;
        this.kind = kind;
        gap = ZigguratSampler.Exponential.of(random);
        events = kind == Kind.EVEN ? -0.5 : 0;
    }

    /** Seconds from the beginning to the next arrival, infinite after the last. */
    public double next() {
        events += kind == Kind.EVEN ? 1 : gap.sample();
        return curve.when(events);
    }
}
