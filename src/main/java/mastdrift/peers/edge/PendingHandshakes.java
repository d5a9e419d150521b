package mastdrift.peers.edge;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The accepted connections that are not yet authenticated, oldest first, up to a limit. Beyond it the oldest makes room
 * for the new one: a genuine peer completes its handshake within a round trip, so that connections which send nothing
 * can't keep it out for the time that a handshake may take.
 */
final class PendingHandshakes {

    private final int limit;
    private final Set<Channel> oldestFirst = new LinkedHashSet<>();

    PendingHandshakes(int limit) {
        this.limit = limit;
    }

    int limit() {
        return limit;
    }

    /** Adds a connection; returns the one that is to be closed for it, which is removed, or null if there was room. */
    Channel add(Channel channel) {
        Channel oldest = null;
        if (oldestFirst.size() >= limit) {
            Iterator<Channel> iterator = oldestFirst.iterator();
            oldest = iterator.next();
            iterator.remove();
        }
        oldestFirst.add(channel);
        return oldest;
    }

    /** Removes a connection that was authenticated or closed, if it is there. */
    void remove(Channel channel) {
        oldestFirst.remove(channel);
    }
}
