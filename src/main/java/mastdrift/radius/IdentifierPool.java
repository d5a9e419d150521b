package mastdrift.radius;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Identifiers towards one server: 256 for each source port, and none used again while an answer to it may still come (RFC 2865,
 * 3; RFC 5080, 2.1.1). One whose answer has come is free at once; one that was given up rests, since a late answer would be
 * taken for that of the next request, were it not for the authenticators: both guard, neither alone.
 *
 * <p>Free identifiers wait in the order in which they were given back, so that one is used again as late as can be. Ports are
 * taken into use as needed. Every step takes constant time.
 */
public final class IdentifierPool {

    /** A port by its number from 0, and an identifier on it. */
    public record Slot(int port, int identifier) { }

    private record QuarantinedSlot(Slot slot, long until) { }

    private static final int EACH = 256;

    private final int portsMost;
    private final long rest;
    private final Queue<Slot> free = new ArrayDeque<>();
    private final Queue<QuarantinedSlot> resting = new ArrayDeque<>();
    private final List<boolean[]> out = new ArrayList<>();
    private int taken;

    /** On so many ports at most, 1 to 1024; given up ones rest for so many microseconds. */
    public IdentifierPool(int portsMost, long rest) {
        if (portsMost < 1 || portsMost > 1024) {
            throw new IllegalArgumentException("expected 1 to 1024 ports, found " + portsMost);
        }
        this.portsMost = portsMost;
        this.rest = rest;
    }

    /** One that no answer may come to any more, or null where there is none: nothing may be sent then. */
    public Slot take(long now) {
        for (QuarantinedSlot eldest = resting.peek(); eldest != null && eldest.until <= now; eldest = resting.peek()) {
            free.add(resting.poll().slot);
        }
        if (free.isEmpty() && out.size() < portsMost) {
            int port = out.size();
            out.add(new boolean[EACH]);
            for (int identifier = 0; identifier < EACH; identifier++) {
                free.add(new Slot(port, identifier));
            }
        }
        Slot slot = free.poll();
        if (slot != null) {
            out.get(slot.port)[slot.identifier] = true;
            taken++;
        }
        return slot;
    }

    /** Its answer has come: it may be used again. */
    public void answered(Slot slot) {
        giveBack(slot);
        free.add(slot);
    }

    /** It was given up: it rests. */
    public void givenUp(long now, Slot slot) {
        giveBack(slot);
        resting.add(new QuarantinedSlot(slot, now + rest));
    }

    private void giveBack(Slot slot) {
        if (slot.port >= out.size() || !out.get(slot.port)[slot.identifier]) {
            throw new IllegalStateException("expected a slot that is out, found " + slot);
        }
        out.get(slot.port)[slot.identifier] = false;
        taken--;
    }

    /** Ports that are in use. */
    public int ports() {
        return out.size();
    }

    /** Identifiers that are out. */
    public int taken() {
        return taken;
    }
}
