package mastdrift.peers;

/** The state of a member (SWIM, section 4.2); a later one wins over an earlier one, where both speak of the same generation and incarnation. */
public enum MemberState {
    /** It answers. */
    ALIVE,
    /** It gave somebody no ack, and may yet refute that. */
    SUSPECT,
    /** It did not refute that in time. */
    FAULTY,
    /** It said so itself, at its end. */
    LEFT
}
