package mastdrift.lab.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import mastdrift.lab.draw.Streams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Something that goes wrong in a run; times in microseconds from the moment at which all gateways serve.
 *
 * @param kind what
 * @param from since when
 * @param until when it is over
 * @param gateways to whom, by number from 0: one side of a cut, both ends of a link in their order, those that are stopped or killed
 * @param magnitude milliseconds, bytes a second or a share, as the kind has it
 */
public record Fault(Kind kind, long from, long until, List<Integer> gateways, double amount) {

    /** What may go wrong, and the least and most of its amount. */
    public enum Kind {
        /** Nothing passes between these gateways and the others, and nobody is told. */
        CUT(0, 0),
        /** Connections between these and the others are reset. */
        RESET(0, 0),
        /** What the first says to the second doesn't arrive; of one alone, to anybody. */
        ONE_WAY(0, 0),
        /** Each of these may speak to the first alone. */
        BRIDGE(0, 0),
        /** All pieces are late by up to so many milliseconds. */
        DELAY(1, 2_000),
        /** Links pass so many bytes a second. */
        SLOW(1_000, 1_000_000),
        /** A share of pieces comes again after 200 ms. */
        LOSS(0, 0.9),
        /** A share of pieces has a bit changed. */
        SPOIL(0, 0.9),
        /** Processes are stopped, and go on. */
        FREEZE(0, 0),
        /** Processes run for a share of the time, in slices of 200 ms. */
        STARVE(0.02, 0.9),
        /** Processes are killed and start again with their folder. */
        KILL(0, 0),
        /** Processes are killed, and their folder is lost. */
        KILL_LOSE(0, 0),
        /** Processes are killed, and start with their folder as it was when the run began. */
        KILL_OLD(0, 0),
        /** Processes are told to end (SIGTERM) and start again. */
        RESTART(0, 0);

        private final double least;
        private final double most;

        Kind(double least, double most) {
            this.least = least;
            this.most = most;
        }

        /** As files have it. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }

        double least() {
            return least;
        }

        double most() {
            return most;
        }

        /** Whether the process itself is hit, and not its links. */
        public boolean ofProcesses() {
            return compareTo(FREEZE) >= 0;
        }

        /** Whether the process is away meanwhile. */
        public boolean down() {
            return compareTo(KILL) >= 0;
        }
    }

    /** So many faults of a seed, between {@code from} and {@code quiet}, several at once. */
    public static List<Fault> drawn(long seed, int gateways, int count, long from, long quiet) {
        UniformRandomProvider draw = Streams.of(seed).stream("rig-faults");
        List<Fault> faults = new ArrayList<>();
        Set<Integer> down = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[draw.nextInt(Kind.values().length)];
            long length = (long) (100_000 * Math.pow(100, draw.nextDouble()));  // 0.1 to 10 s, log-uniform
            long begin = from + (long) (draw.nextDouble() * Math.max(1, quiet - from - length));
            Set<Integer> who = new TreeSet<>();
            int many = kind == Kind.ONE_WAY ? 2 : kind == Kind.CUT || kind == Kind.RESET ? 1 + draw.nextInt(Math.max(1, gateways / 2))
                    : kind == Kind.BRIDGE ? gateways : 1;
            while (who.size() < many) {
                who.add(draw.nextInt(gateways));
            }
            // A process is killed or told to end once a run: two that overlap would start it twice.
            if (kind.down() && !down.addAll(who)) {
                continue;
            }
            double amount = kind.least + (kind.most - kind.least) * Math.pow(draw.nextDouble(), 3);
            faults.add(new Fault(kind, begin, Math.min(quiet, begin + length), List.copyOf(who), amount));
        }
        return faults;
    }

    /** Whether anything is wrong because of it from one time to another, or was until so long before. */
    boolean touches(long first, long last, long after) {
        return from <= last && until + after >= first;
    }

    /** What it does to what one gateway says to another; fair where nothing. */
    Relay.Weather between(int one, int other) {
        boolean apart = gateways.contains(one) != gateways.contains(other);
        return switch (kind) {
            case CUT -> apart ? Relay.Weather.SILENT : Relay.Weather.FAIR;
            case RESET -> apart ? Relay.Weather.RESET : Relay.Weather.FAIR;
            case ONE_WAY -> one == gateways.get(0) && (gateways.size() == 1 || other == gateways.get(1))
                    ? new Relay.Weather(true, false, false, 0, 0, 0, 0, 0) : Relay.Weather.FAIR;
            case BRIDGE -> one != gateways.get(0) && other != gateways.get(0) ? Relay.Weather.SILENT : Relay.Weather.FAIR;
            case DELAY -> new Relay.Weather(false, false, false, amount / 2, amount / 2, 0, 0, 0);
            case SLOW -> new Relay.Weather(false, false, false, 0, 0, amount, 0, 0);
            case LOSS -> new Relay.Weather(false, false, false, 0, 0, 0, amount, 0);
            case SPOIL -> new Relay.Weather(false, false, false, 0, 0, 0, 0, amount);
            default -> Relay.Weather.FAIR;
        };
    }
}
