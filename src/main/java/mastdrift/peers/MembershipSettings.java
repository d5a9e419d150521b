package mastdrift.peers;

/**
 * How a {@link MembershipList} asks and for how long it waits; times in microseconds.
 *
 * @param interval from one probe to the next, while the gateway itself is well (SWIM's protocol period)
 * @param timeout for a direct ack, less than the interval; the rest of the interval is for acks by way of others
 * @param indirectProbes gateways that are asked to ping the one that gave no ack, at most (SWIM's k)
 * @param alpha the least time of a suspicion is so many intervals, times the decimal logarithm of the number of gateways where that is over 1
 * @param beta the longest time of a suspicion, in least times
 * @param confirmations so many others who suspect as well bring a suspicion down to its least time
 * @param sync from one exchange of all that is believed (anti-entropy) to the next
 * @param reconnect from one attempt to reach a gateway that is faulty, or was never heard, to the next
 * @param forget what is faulty or has left is remembered for so long
 */
public record MembershipSettings(long interval, long timeout, int indirectProbes, double alpha, double beta, int confirmations, long sync, long reconnect, long forget) {

    /** For gateways of one installation over a few data centres: a death is known within about 5 s among a hundred. */
    public static final MembershipSettings USUAL = new MembershipSettings(300_000, 120_000, 3, 4, 4, 3, 10_000_000, 2_000_000, 600_000_000);

    /** The least time of a suspicion among so many gateways, itself among them. */
    public long suspicionLeast(int gateways) {
        return (long) (alpha * Math.max(1, Math.log10(Math.max(1, gateways))) * interval);
    }

    /** The time of a suspicion that so many others share: from the longest down to the least, by the logarithm (Lifeguard, section IV.B). */
    public long suspicion(int gateways, int confirmed) {
        long least = suspicionLeast(gateways);
        int possible = Math.min(confirmations, gateways - 2);  // neither itself nor the suspect
        if (possible <= 0) {
            return least;
        }
        double part = Math.log(Math.min(confirmed, possible) + 1) / Math.log(possible + 1);
        return Math.max(least, (long) (least * (beta - (beta - 1) * part)));
    }
}
