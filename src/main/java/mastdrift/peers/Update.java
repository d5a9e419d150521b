package mastdrift.peers;

/**
 * A statement about a member, by itself or by others (SWIM's membership update).
 *
 * <p>The updates of one member have a total order, independent of the order in which they arrive: by generation, then
 * whether it has left, then by incarnation, then by state. Gateways that each keep the greatest converge, even if
 * updates arrive late, twice or out of order (a join semilattice; Shapiro, Preguica, Baquero, Zawirski, "Conflict-free
 * replicated data types", 2011).
 *
 * @param member the member concerned
 * @param incarnation grows each time the member refutes a statement about itself, and only the member raises it (SWIM's
 * incarnation number, section 4.2); from 0 in each generation
 * @param state the state that the member is said to be in
 * @param reporter name of the gateway that suspects the member or declared it faulty; the member's own name where it
 * speaks for itself
 */
public record Update(Member member, long incarnation, MemberState state, String reporter) {

    /** Whether this update replaces the one that is known. */
    public boolean overrides(Update known) {
        if (member.generation() != known.member.generation()) {
            return member.generation() > known.member.generation();
        }
        boolean left = state == MemberState.LEFT;
        if (left != (known.state == MemberState.LEFT)) {
            return left;
        }
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return state.compareTo(known.state) > 0;
    }
}
