package mastdrift.lab.draw;

import java.util.Locale;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.InverseTransformParetoSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * How long work takes on a core of speed 1.
 *
 * @param mean microseconds
 * @param shape of its distribution
 * @param cv its standard deviation by its mean, for LOGNORMAL and PARETO
 */
public record Work(double mean, Shape shape, double cv) {

    /** Distributions. */
    public enum Shape {
        /** Always the mean. */
        FIXED,
        /** Exponential: cv 1. */
        EXPONENTIAL,
        /** Log-normal. */
        LOGNORMAL,
        /** Pareto: a tail that falls by a power; its cv has to be such that the power is above 2. */
        PARETO;

        /** By its name in small letters; throws IllegalArgumentException with what was expected. */
        public static Shape parse(String text) {
            for (Shape shape : values()) {
                if (shape.name().toLowerCase(Locale.ROOT).equals(text)) {
                    return shape;
                }
            }
            throw new IllegalArgumentException("expected fixed, exponential, lognormal or pareto, found \"" + text + "\"");
        }
    }

    /** Throws IllegalArgumentException for a mean of 0 or less, and a cv that the shape can't have. */
    public Work {
        if (!(mean > 0) || !(cv >= 0) || cv == 0 && (shape == Shape.LOGNORMAL || shape == Shape.PARETO)) {
            throw new IllegalArgumentException("expected a mean above 0 and a cv above 0, found " + mean + " us and " + cv
                    + " for " + shape.name().toLowerCase(Locale.ROOT));
        }
    }

    /** Draws of it, in microseconds. */
    public DoubleSupplier from(UniformRandomProvider random) {
        switch (shape) {
            case EXPONENTIAL -> {
                ZigguratSampler.Exponential sampler = ZigguratSampler.Exponential.of(random, mean);
                return sampler::sample;
            }
            case LOGNORMAL -> {
                double variance = Math.log(1 + cv * cv);
                var sampler = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random),
                        Math.log(mean) - variance / 2, Math.sqrt(variance));
                return sampler::sample;
            }
            case PARETO -> {
                // cv^2 = 1 / (a (a - 2)) and mean = a m / (a - 1), for the power a and the least m.
                double power = 1 + Math.sqrt(1 + 1 / (cv * cv));
                var sampler = InverseTransformParetoSampler.of(random, mean * (power - 1) / power, power);
                return sampler::sample;
            }
            default -> {
                return () -> mean;
            }
        }
    }
}
