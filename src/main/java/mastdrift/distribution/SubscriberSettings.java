package mastdrift.distribution;

/**
 * How a {@link Subscriber} asks and for how long it waits; times in microseconds. Throws IllegalArgumentException for what isn't positive.
 *
 * @param silent a machine that has said nothing for so long is left for the next one, and so is one that stays behind what is here for so long
 * @param again who is told nothing for so long subscribes again at the same machine
 * @param ack what is in force is told within so long, several together
 * @param alive it is told again each so often, in case that it got lost, and so that the machine knows that somebody is there
 * @param spread a machine whose connection ended is followed by the next within so long, at random; twice and four times where the next ones end too
 * @param stalled a snapshot of which nothing came for so long is asked for again
 * @param credit chunks of a snapshot that may be under way
 * @param home who is at another machine than its first one tries that one again after so long, and up to twice that, at random
 */
public record SubscriberSettings(long silent, long again, long ack, long alive, long spread, long stalled, int credit, long home) {

    /** For the target: in force everywhere within 12 s, also where a machine is silent first. */
    public static final SubscriberSettings USUAL = new SubscriberSettings(6_000_000, 3_000_000, 500_000, 8_000_000, 500_000, 3_000_000, 8, 300_000_000);

    /** Checks them. */
    public SubscriberSettings {
        if (silent <= 0 || again <= 0 || ack <= 0 || alive <= 0 || spread <= 0 || stalled <= 0 || credit <= 0 || home <= 0) {
            throw new IllegalArgumentException("expected settings above 0, found " + silent + " " + again + " " + ack + " " + alive + " " + spread + " " + stalled + " " + credit + " " + home);
        }
    }
}
