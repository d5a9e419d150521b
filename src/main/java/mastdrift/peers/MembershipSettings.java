package mastdrift.peers;

/**
 * Timing and limits of the failure detector in {@link MembershipList}; times in microseconds.
 *
 * @param probeIntervalMicros from one probe to the next, while the gateway's own health score is 0 (SWIM's protocol
 * period)
 * @param ackTimeoutMicros how long to wait for a direct ack, less than the interval; the rest of the interval is for
 * acks of indirect probes
 * @param indirectProbes maximum number of gateways that are asked to ping a member that gave no direct ack (SWIM's k)
 * @param alpha the minimum suspicion timeout is this many intervals, times the decimal logarithm of the number of
 * gateways where that is over 1
 * @param beta the maximum suspicion timeout, as a multiple of the minimum
 * @param confirmations number of other members that have to suspect the same member to bring its suspicion timeout down
 * to the minimum
 * @param syncIntervalMicros from one exchange of the whole list (anti-entropy) to the next
 * @param reconnectIntervalMicros from one attempt to reach a gateway that is faulty, or was never heard, to the next
 * @param retentionMicros how long members that are faulty or have left are remembered
 */
public record MembershipSettings(long probeIntervalMicros, long ackTimeoutMicros, int indirectProbes, double alpha,
        double beta, int confirmations, long syncIntervalMicros, long reconnectIntervalMicros, long retentionMicros) {

    /** For gateways of one installation over a few data centres: a crash is known within about 5 s among a hundred. */
    public static final MembershipSettings DEFAULT = new MembershipSettings(300_000, 120_000, 3, 4, 4, 3, 10_000_000,
            2_000_000, 600_000_000);

    /** The minimum suspicion timeout for a group of this many gateways, this one included. */
    public long minSuspicionMicros(int gateways) {
        return (long) (alpha * Math.max(1, Math.log10(Math.max(1, gateways))) * probeIntervalMicros);
    }

    /**
     * The timeout of a suspicion that this many others confirmed: falls from the maximum to the minimum with the
     * logarithm of their number (Lifeguard, section IV.B).
     */
    public long suspicionMicros(int gateways, int confirmationCount) {
        long minMicros = minSuspicionMicros(gateways);
        // neither this gateway nor the suspect can confirm
        int maxConfirmations = Math.min(confirmations, gateways - 2);
        if (maxConfirmations <= 0) {
            return minMicros;
        }
        double fraction = Math.log(Math.min(confirmationCount, maxConfirmations) + 1) / Math.log(maxConfirmations + 1);
        return Math.max(minMicros, (long) (minMicros * (beta - (beta - 1) * fraction)));
    }
}
