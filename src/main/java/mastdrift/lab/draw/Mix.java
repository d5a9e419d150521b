package mastdrift.lab.draw;

import java.util.List;
import mastdrift.Balancer.Repeat;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.DiscreteProbabilityCollectionSampler;
import org.apache.commons.rng.sampling.ObjectSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;

/** What requests are: parts of the traffic by weight, and keys by popularity. */
public final class Mix {

    /**
     * One part of the traffic.
     *
     * @param className its class
     * @param tenant its tenant, or null
     * @param repeat what a repeat may do
     * @param weight its part, above 0, in proportion to all weights
     * @param deadline microseconds for which its clients wait
     * @param body bytes that go with each request
     */
    public record Part(String className, String tenant, Repeat repeat, double weight, long deadline, int body) {

        /** Throws IllegalArgumentException for a weight or a deadline of 0 or less, and for a body below 0 or over 64 KiB. */
        public Part {
            if (!(weight > 0) || deadline <= 0 || body < 0 || body > 1 << 16) {
                throw new IllegalArgumentException("class " + className + ": expected a weight and a deadline above 0 and a "
                        + "body of 0 to 65536 bytes, found " + weight + ", " + deadline + " us and " + body);
            }
        }

        /** For tables: the class, and the tenant where there is one. */
        public String label() {
            return tenant == null ? className : className + "/" + tenant;
        }
    }

    /**
     * Distinct keys.
     *
     * @param count how many
     * @param exponent how uneven they are: the i-th has a part in proportion to i to the power of -exponent
     * @param hot the part of all requests that is about one key more than that, 0 to 1
     * @param moves microseconds after which that is another key, 0 for never
     */
    public record Keys(int count, double exponent, double hot, long moves) {

        /** None hotter than the exponent makes it. */
        public Keys(int count, double exponent) {
            this(count, exponent, 0, 0);
        }

        /** Throws IllegalArgumentException for fewer than 1 key, for an exponent below 0 and for a part outside 0 to 1. */
        public Keys {
            if (count < 1 || !(exponent >= 0) || !(hot >= 0 && hot <= 1) || moves < 0) {
                throw new IllegalArgumentException("expected 1 key or more and an exponent of 0 or more, found " + count
                        + " and " + exponent);
            }
        }
    }

    private final List<Part> parts;
    private final ObjectSampler<Integer> part;
    private final DiscreteSampler key;
    private final Keys keys;
    private final UniformRandomProvider popular;

    /** Draws from streams of its own, so that keys are the same under another mix of classes. */
    public Mix(List<Part> parts, Keys keys, Streams streams) {
        this.parts = List.copyOf(parts);
        this.keys = keys;
        popular = streams.stream("hot");
        double[] weights = parts.stream().mapToDouble(Part::weight).toArray();
        List<Integer> numbers = java.util.stream.IntStream.range(0, parts.size()).boxed().toList();
        part = new DiscreteProbabilityCollectionSampler<>(streams.stream("class"), numbers, weights);
        UniformRandomProvider uneven = streams.stream("key");
        key = RejectionInversionZipfSampler.of(uneven, keys.count, keys.exponent);
    }

    /** The parts, by number. */
    public List<Part> parts() {
        return parts;
    }

    /** The number of a part. */
    public int part() {
        return part.sample();
    }

    /** The number of a key at a time, from 1, the most popular first; the one that is hot beside that has 0 or less. */
    public int key(long now) {
        if (keys.hot > 0 && popular.nextDouble() < keys.hot) {
            return keys.moves == 0 ? 0 : -(int) (now / keys.moves % Integer.MAX_VALUE);
        }
        return key.sample();
    }
}
