package mastdrift.peers;

/**
 * The state of a member (SWIM, section 4.2). A state that is declared later overrides one that is declared earlier, for
 * the same generation and incarnation.
 */
public enum MemberState {
    /** It answers probes. */
    ALIVE,
    /** It did not acknowledge a probe, and may still refute the suspicion. */
    SUSPECT,
    /** It did not refute the suspicion in time. */
    FAULTY,
    /** It announced its own shutdown. */
    LEFT
}
