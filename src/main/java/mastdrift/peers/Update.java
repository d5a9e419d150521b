package mastdrift.peers;

/**
 * What is said of a gateway, by itself or others.
 *
 * <p>Rumors of one gateway are in one order, whatever way they come: by life, then whether it has left, then by incarnation, then by standing. Who keeps the
 * greatest has the same in the end, heard late, twice or out of turn (a join semilattice; Shapiro, Preguica, Baquero, Zawirski, "Conflict-free
 * replicated data types", 2011).
 *
 * @param card of whom
 * @param incarnation grows each time the gateway contradicts what is said of it; its alone (SWIM, section 4.2)
 * @param standing what is said
 * @param by who says so: the name of the gateway that suspects or gave up; its own name for what it says itself
 */
public record Update(Member card, long incarnation, MemberState standing, String by) {

    /** Whether this one is to be believed where the other was. */
    public boolean overrides(Update known) {
        if (card.life() != known.card.life()) {
            return card.life() > known.card.life();
        }
        boolean left = standing == MemberState.LEFT;
        if (left != (known.standing == MemberState.LEFT)) {
            return left;
        }
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return standing.compareTo(known.standing) > 0;
    }
}
