package mastdrift.limits;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the bytes that all owners of a kind hold together, such as the messages of all connections.
 *
 * <p>Each owner has an {@link Account}. A small part of what an owner holds is free, so that ordinary messages never depend on
 * what others hold; the rest counts against the budget. Where the budget is used up, owners that hold something which they
 * could drop, and have held it for a while, are told to drop it, the longest first: what is on its way for long is more
 * likely to stay there than what has just begun. If that yields too little the reservation fails, and its caller does
 * without.
 *
 * <p>Reads no clock; times are in microseconds of one clock that doesn't go backwards. Not thread-safe.
 */
public final class ByteBudget {

    /** Holds bytes, some of which it may be able to drop. */
    public interface Owner {

        /** Drops what it can, and releases that at its account before this returns. */
        void reclaim();
    }

    /** What one owner holds. */
    public final class Account {

        private final Owner owner;
        private long heldBytes;
        private long countedBytes;  // the part of them that counts against the budget
        private boolean reclaimable;
        private long reclaimableSince;

        private Account(Owner owner) {
            this.owner = owner;
        }

        /** Reserves bytes; returns false, and reserves none, if the budget has no room for them. */
        public boolean reserve(long now, long bytes) {
            long missing = usedBytes + counted(heldBytes + bytes) - countedBytes - capacityBytes;
            if (missing > 0 && counted(heldBytes + bytes) > countedBytes && !reclaimFromOthers(now, missing, this)) {
                rejections++;
                return false;
            }
            setHeldBytes(now, heldBytes + bytes);
            return true;
        }

        /** Gives back bytes that were reserved. */
        public void release(long now, long bytes) {
            setHeldBytes(now, Math.max(0, heldBytes - bytes));
        }

        /** Says whether the owner could drop some of what it holds. */
        public void setReclaimable(long now, boolean canDrop) {
            reclaimable = canDrop;
            updateOrder(now);
        }

        /** The bytes that the owner holds. */
        public long heldBytes() {
            return heldBytes;
        }

        private void setHeldBytes(long now, long bytes) {
            heldBytes = bytes;
            usedBytes += counted(bytes) - countedBytes;
            countedBytes = counted(bytes);
            updateOrder(now);
        }

        private void updateOrder(long now) {
            boolean listed = reclaimable && countedBytes > 0;
            if (listed && reclaimableInOrder.add(this)) {
                reclaimableSince = now;
            } else if (!listed) {
                reclaimableInOrder.remove(this);
            }
        }
    }

    private final long capacityBytes;
    private final long freeBytesPerOwner;
    private final long minReclaimAgeMicros;
    private final Set<Account> reclaimableInOrder = new LinkedHashSet<>();
    private long usedBytes;
    private long rejections;

    /**
     * A budget of {@code capacityBytes}, beside {@code freeBytesPerOwner} for each owner. Owners are told to drop only what
     * they have held for {@code minReclaimAgeMicros}.
     */
    public ByteBudget(long capacityBytes, long freeBytesPerOwner, long minReclaimAgeMicros) {
        this.capacityBytes = capacityBytes;
        this.freeBytesPerOwner = freeBytesPerOwner;
        this.minReclaimAgeMicros = minReclaimAgeMicros;
    }

    /** Opens an account; it takes no room while nothing is held. */
    public Account open(Owner owner) {
        return new Account(owner);
    }

    /** The bytes that count against the budget. */
    public long usedBytes() {
        return usedBytes;
    }

    /** The part of what each owner holds that doesn't count. */
    public long freeBytesPerOwner() {
        return freeBytesPerOwner;
    }

    /** The bytes that may count against the budget. */
    public long capacityBytes() {
        return capacityBytes;
    }

    /** Number of reservations that failed. */
    public long rejections() {
        return rejections;
    }

    private long counted(long heldBytes) {
        return Math.max(0, heldBytes - freeBytesPerOwner);
    }

    /** Makes others than {@code exempt} drop what they hold, until so many bytes are free; returns whether they are. */
    private boolean reclaimFromOthers(long now, long bytes, Account exempt) {
        long target = usedBytes - bytes;
        while (usedBytes > target) {
            Account oldest = oldestOtherThan(exempt);
            if (oldest == null || now - oldest.reclaimableSince < minReclaimAgeMicros) {
                return false;
            }
            oldest.owner.reclaim();
            reclaimableInOrder.remove(oldest);  // even if it could drop nothing, or this would never end
        }
        return true;
    }

    private Account oldestOtherThan(Account exempt) {
        Iterator<Account> inOrder = reclaimableInOrder.iterator();
        Account first = inOrder.hasNext() ? inOrder.next() : null;
        return first != exempt ? first : inOrder.hasNext() ? inOrder.next() : null;
    }
}
