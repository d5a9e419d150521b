package mastdrift.lab.model;

import java.util.HashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** How long messages are under way, and which are lost without a word. */
final class ModelNetwork {

    private static final long RESEND = 200_000;

    private final Scenario.Site site;
    private final Set<String> cut = new HashSet<>();

    ModelNetwork(Scenario.Site site) {
        this.site = site;
    }

    /** Cuts a zone off from the others, or joins it to them again. */
    void cut(String zone, boolean off) {
        if (off) {
            cut.add(zone);
        } else {
            cut.remove(zone);
        }
    }

    /** Whether what goes from one zone to another gets there. */
    boolean joined(String one, String other) {
        return cut.isEmpty() || one.equals(other) || !cut.contains(one) && !cut.contains(other);
    }

    /** One way of one gateway's messages, by draws of its own. */
    final class Way {

        private final UniformRandomProvider random;
        private final ContinuousSampler drawn;

        Way(UniformRandomProvider random) {
            this.random = random;
            drawn = ZigguratSampler.Exponential.of(random);
        }

        /** Microseconds from one zone to another. */
        long delay(String one, String other) {
            double mean = one.equals(other) ? site.within() : site.across();
            double delay = mean * (1 - site.jitter()) + (site.jitter() == 0 ? 0 : mean * site.jitter() * drawn.sample());
            return (long) delay + (site.loss() > 0 && random.nextDouble() < site.loss() ? RESEND : 0);
        }

        /** Whether the connection of an attempt breaks under way. */
        boolean breaks() {
            return site.resets() > 0 && random.nextDouble() < site.resets();
        }
    }
}
