package mastdrift.radius;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Allocates packet identifiers for requests to one server: 256 for each source port, none reused while a response to it
 * may still arrive (RFC 2865, 3; RFC 5080, 2.1.1). An identifier whose response has arrived is free at once. An
 * abandoned one is quarantined, since a late response could otherwise be taken for that of the next request; the
 * quarantine and the authenticators both guard against this, so that neither is relied on alone.
 *
 * <p>Free identifiers are queued in the order of their release, so that each is reused as late as possible. Ports are
 * added on demand. Every operation takes constant amortized time.
 */
public final class IdentifierPool {

    /** An identifier on a source port; ports are numbered from 0. */
    public record Slot(int port, int identifier) { }

    private record QuarantinedSlot(Slot slot, long freeAtMicros) { }

    private static final int IDENTIFIERS_PER_PORT = 256;

    private final int maxPorts;
    private final long quarantineMicros;
    private final Queue<Slot> free = new ArrayDeque<>();
    private final Queue<QuarantinedSlot> quarantined = new ArrayDeque<>();
    private final List<boolean[]> inUseByPort = new ArrayList<>();
    private int inUseCount;

    /**
     * Uses up to {@code maxPorts} ports (1 to 1024); abandoned identifiers are quarantined for {@code quarantineMicros}
     * microseconds.
     */
    public IdentifierPool(int maxPorts, long quarantineMicros) {
        if (maxPorts < 1 || maxPorts > 1024) {
            throw new IllegalArgumentException("expected 1 to 1024 ports, found " + maxPorts);
        }
        this.maxPorts = maxPorts;
        this.quarantineMicros = quarantineMicros;
    }

    /**
     * Acquires an identifier to which no response can arrive any more. Returns null if there is none: no request may be
     * sent then.
     */
    public Slot acquire(long nowMicros) {
        for (QuarantinedSlot oldest = quarantined.peek(); oldest != null && oldest.freeAtMicros <= nowMicros;
                oldest = quarantined.peek()) {
            free.add(quarantined.poll().slot);
        }
        if (free.isEmpty() && inUseByPort.size() < maxPorts) {
            int port = inUseByPort.size();
            inUseByPort.add(new boolean[IDENTIFIERS_PER_PORT]);
            for (int identifier = 0; identifier < IDENTIFIERS_PER_PORT; identifier++) {
                free.add(new Slot(port, identifier));
            }
        }
        Slot slot = free.poll();
        if (slot != null) {
            inUseByPort.get(slot.port)[slot.identifier] = true;
            inUseCount++;
        }
        return slot;
    }

    /** Releases an identifier whose response has arrived; it may be reused at once. */
    public void releaseAnswered(Slot slot) {
        markReleased(slot);
        free.add(slot);
    }

    /** Releases an identifier whose request was abandoned; it is quarantined first. */
    public void releaseAbandoned(long nowMicros, Slot slot) {
        markReleased(slot);
        quarantined.add(new QuarantinedSlot(slot, nowMicros + quarantineMicros));
    }

    private void markReleased(Slot slot) {
        if (slot.port >= inUseByPort.size() || !inUseByPort.get(slot.port)[slot.identifier]) {
            throw new IllegalStateException("expected a slot that is in use, found " + slot);
        }
        inUseByPort.get(slot.port)[slot.identifier] = false;
        inUseCount--;
    }

    /** Number of source ports in use. */
    public int portCount() {
        return inUseByPort.size();
    }

    /** Number of identifiers in use. */
    public int inUseCount() {
        return inUseCount;
    }
}
