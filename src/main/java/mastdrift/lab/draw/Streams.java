package mastdrift.lab.draw;

import com.dynatrace.hash4j.hashing.Hashing;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Named streams of random numbers from one seed. A stream depends on the seed and its name alone, so that one client or node
 * more changes nobody else's draws, and arms of an experiment that share a seed share what is drawn under the same names.
 *
 * <p>The name is hashed with the seed (XXH3), and the hash seeds a generator with 256 bits of state (Blackman, Vigna,
 * "Scrambled linear pseudorandom number generators", 2021).
 */
public final class Streams {

    private final long seed;
    private final String path;

    private Streams(long seed, String path) {
        this.seed = seed;
        this.path = path;
    }

    /** All streams of a seed. */
    public static Streams of(long seed) {
        return new Streams(seed, "");
    }

    /** The streams below a name. */
    public Streams below(String name) {
        return new Streams(seed, path + name + "/");
    }

    /** The generator of a name: a new one from its beginning with each call. */
    public UniformRandomProvider stream(String name) {
        return RandomSource.XO_SHI_RO_256_PP.create(number(name));
    }

    /** A number of a name, any of the 64-bit ones; for those who seed generators of their own. */
    public long number(String name) {
        return Hashing.xxh3_64(seed).hashCharsToLong(path + name);
    }
}
