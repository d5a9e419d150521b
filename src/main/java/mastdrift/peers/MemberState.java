package mastdrift.peers;

/** How a gateway stands with another; a later one wins over an earlier one, where both speak of the same life and incarnation. */
public enum MemberState {
    /** It answers. */
    ALIVE,
    /** It did not answer somebody, and may yet contradict. */
    SUSPECTED,
    /** It did not contradict in time. */
    GONE,
    /** It said so itself, at its end. */
    LEFT
}
