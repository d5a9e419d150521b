package mastdrift.lab.model;

import java.util.ArrayList;
import java.util.List;
import mastdrift.lab.draw.Streams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Something that goes wrong among gateways for a while, by numbers of gateways from 0 up; times in microseconds from the run's begin.
 *
 * @param kind what
 * @param from since when
 * @param until when it is over
 * @param one the gateway that it happens to; for a cut, those below this number are on one side
 * @param other the other end of {@link Kind#ONE_WAY}, or -1 for all
 * @param amount a share for loss and starvation, microseconds for delay and clocks; otherwise unused
 */
public record PeerFault(Kind kind, long from, long until, int one, int other, double amount) {

    /** What may go wrong. */
    public enum Kind {
        /** Nothing passes between two sides. */
        CUT,
        /** None of one's messages arrives at the other, or at all. */
        ONE_WAY,
        /** A share of all messages is lost. */
        LOSS,
        /** All messages take longer, each by its own draw: they overtake each other. */
        DELAY,
        /** The process stands still, and goes on. */
        PAUSE,
        /** It gets a share of its core's time, in slices. */
        STARVE,
        /** It is killed, and starts again knowing nothing. */
        KILL,
        /** It is killed, and starts again with its folder. */
        KILL_KEEP,
        /** It says that it ends, and starts again later. */
        LEAVE,
        /** Its wall clock is set off, for what starts meanwhile. */
        CLOCK
    }

    /** Faults of a seed: up to {@code most}, several at once, all over by {@code quiet}. */
    static List<PeerFault> drawn(long seed, int gateways, long quiet, int most) {
        UniformRandomProvider draw = Streams.of(seed).stream("peer-faults");
        List<PeerFault> faults = new ArrayList<>();
        int count = draw.nextInt(most + 1);
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[draw.nextInt(Kind.values().length)];
            long length = (long) (100_000 * Math.pow(300, draw.nextDouble()));  // 0.1 to 30 s, log-uniform
            long from = (long) (draw.nextDouble() * Math.max(1, quiet - length));
            double amount = switch (kind) {
                case LOSS -> 0.3 * draw.nextDouble();
                case STARVE -> 0.05 + 0.3 * draw.nextDouble();
                case DELAY -> 400_000 * draw.nextDouble();
                case CLOCK -> 7.2e9 * (draw.nextDouble() - 0.5);
                default -> 0;
            };
            int one = kind == Kind.CUT ? 1 + draw.nextInt(Math.max(1, gateways - 1)) : draw.nextInt(gateways);
            int other = kind == Kind.ONE_WAY && draw.nextInt(3) > 0 ? draw.nextInt(gateways) : -1;
            faults.add(new PeerFault(kind, from, Math.min(quiet, from + length), one, other, amount));
        }
        return faults;
    }

    boolean at(long now) {
        return now >= from && now < until;
    }
}
