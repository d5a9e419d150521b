package mastdrift.peers;

/**
 * What is said of a member, by itself or others (SWIM's membership update).
 *
 * <p>Updates of one member are in one order, whatever way they come: by generation, then whether it has left, then by incarnation, then by state. Who keeps the
 * greatest has the same in the end, heard late, twice or out of turn (a join semilattice; Shapiro, Preguica, Baquero, Zawirski, "Conflict-free
 * replicated data types", 2011).
 *
 * @param member of whom
 * @param incarnation grows each time the gateway refutes what is said of it; its alone (SWIM's incarnation number, section 4.2); from 0 in each generation
 * @param state what is said
 * @param by who says so: the name of the gateway that suspects or gave up; its own name for what it says itself
 */
public record Update(Member member, long incarnation, MemberState state, String by) {

    /** Whether this one is to be believed where the other was. */
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
