package mastdrift.lab.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import mastdrift.Balancer.Repeat;
import mastdrift.lab.draw.Arrivals;
import mastdrift.lab.draw.Curve;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.draw.Tries;

/**
 * What a load run does.
 *
 * @param to the gateway
 * @param curve requests a second over time, for an open loop; null for a closed loop
 * @param arrivals how they lie along the curve
 * @param closed clients that each ask again once answered, for a closed loop; 0 for an open loop
 * @param length how long a closed loop goes on; an open one ends with its curve
 * @param parts classes, tenants and deadlines
 * @param keys what requests are about
 * @param tries how clients try again
 * @param connections connections at most (HTTP) or ports (RADIUS, 256 requests out on each), over all threads
 * @param opened whether all connections are opened before the first request is due, and used in turn
 * @param threads event loops
 * @param seed of all draws
 * @param secret what RADIUS is signed with; null for HTTP
 * @param lateMost microseconds within which 99% of the requests must have left for the run to count
 */
public record LoadPlan(InetSocketAddress to, Curve curve, Arrivals.Kind arrivals, int closed, Duration length,
        List<Mix.Part> parts, Mix.Keys keys, Tries tries, int connections, boolean opened, int threads, long seed,
        byte[] secret, long lateMost) {

    private static final int CONNECTIONS_MOST = 1 << 17;
    private static final long LATE_MOST = 5_000;

    /** Throws IllegalArgumentException for what can't be run. */
    public LoadPlan {
        if ((curve == null) == (closed == 0) || parts.isEmpty() || connections < 1 || connections > CONNECTIONS_MOST
                || threads < 1 || threads > 64 || closed < 0 || closed > CONNECTIONS_MOST) {
            throw new IllegalArgumentException("expected a curve or 1 to 131072 closed clients, at least one class, 1 to 131072 "
                    + "connections and 1 to 64 threads, found " + (curve == null ? "no curve" : "a curve") + ", " + closed
                    + " closed clients, " + parts.size() + " classes, " + connections + " connections, " + threads + " threads");
        }
        parts = List.copyOf(parts);
    }

    /** Two reads to one keyed start, as the association's traffic has them; each waits so many milliseconds. */
    public static List<Mix.Part> readsAndStarts(int millis) {
        return List.of(new Mix.Part("session-read", null, Repeat.SAFE, 2, millis * 1000L, 0),
                new Mix.Part("session-start", null, Repeat.KEYED, 1, millis * 1000L, 0));
    }

    /** An open loop at an even rate, of {@link #readsAndStarts}, without tries, 500 keys, one thread. */
    public static LoadPlan open(InetSocketAddress to, double perSecond, double seconds, int connections, int millis) {
        return new LoadPlan(to, Curve.constant(perSecond, seconds), Arrivals.Kind.EVEN, 0, Duration.ZERO,
                readsAndStarts(millis), new Mix.Keys(500, 0), Tries.ONE, connections, false, 1, 1, null, LATE_MOST);
    }

    /** A closed loop: so many clients that each ask as soon as they are answered. */
    public static LoadPlan closed(InetSocketAddress to, int clients, double seconds, int millis) {
        return new LoadPlan(to, null, Arrivals.Kind.EVEN, clients, Duration.ofNanos((long) (seconds * 1e9)),
                readsAndStarts(millis), new Mix.Keys(500, 0), Tries.ONE, clients, false, 1, 1, null, LATE_MOST);
    }

    /** The same with other classes. */
    public LoadPlan with(List<Mix.Part> other) {
        return new LoadPlan(to, curve, arrivals, closed, length, other, keys, tries, connections, opened, threads, seed, secret,
                lateMost);
    }

    /** The same over RADIUS: safe classes ask for cards, keyed ones tell accounting starts. */
    public LoadPlan radius(byte[] signedWith) {
        return new LoadPlan(to, curve, arrivals, closed, length, parts, keys, tries, connections, opened, threads, seed,
                signedWith, lateMost);
    }

    /** The same with other draws. */
    public LoadPlan seeded(long other) {
        return new LoadPlan(to, curve, arrivals, closed, length, parts, keys, tries, connections, opened, threads, other, secret,
                lateMost);
    }

    /** The same by clients that try again so. */
    public LoadPlan trying(Tries other) {
        return new LoadPlan(to, curve, arrivals, closed, length, parts, keys, other, connections, opened, threads, seed, secret,
                lateMost);
    }

    /** Seconds until nothing more is due. */
    double seconds() {
        return curve == null ? length.toNanos() / 1e9 : curve.seconds();
    }
}
