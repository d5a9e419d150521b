package mastdrift.distribution.edge;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Message;
import mastdrift.distribution.Publisher;
import mastdrift.distribution.PublisherSettings;
import mastdrift.distribution.Table;
import mastdrift.events.Events;

/**
 * Runs a {@link Publisher} on an event loop: its messages as replies on the connections that subscribers opened, its time by the loop's timer. Decides nothing. All methods are
 * called on the loop's thread but the constructor.
 *
 * <p>What goes to many is made bytes of once: the last {@value #KEPT_MOST} such messages are kept with their bytes, {@value #KEPT_BYTES_MOST} of them at most. A subscriber on
 * whose connection more waits than a link holds is dropped, and so is one whose message can't be read.
 */
public final class Publication implements AutoCloseable {

    /** Messages that are kept as bytes, at most. */
    public static final int KEPT_MOST = 64;
    /** Bytes of those, at most, but for the one that goes over it. */
    public static final int KEPT_BYTES_MOST = 8 << 20;

    private final EventLoop loop;
    private final Transport transport;
    private final RateLimitedEvents events;
    private final Publisher publisher;
    private final DeadlineTimer timer;
    private final Map<Message, byte[]> kept = new IdentityHashMap<>();
    private final Set<String> dropping = new HashSet<>();
    private int keptBytes;
    private long encoded;
    private boolean closed;

    /** Of a table. */
    public Publication(EventLoop loop, Transport transport, Table table, PublisherSettings settings, Events events) {
        this.loop = loop;
        this.transport = transport;
        this.events = new RateLimitedEvents(events);
        publisher = new Publisher(table, settings, new PublisherActions());
        timer = new DeadlineTimer(loop, this::tick);
        loop.execute(this::arm);
    }

    /** What runs; for reading only. */
    public Publisher publisher() {
        return publisher;
    }

    /** Messages that were made bytes of, since the start. */
    public long encoded() {
        return encoded;
    }

    /** The next table, and what led there from the one before; with no deltas for a jump. */
    public void table(Table next, List<Delta> deltas) {
        kept.clear();
        keptBytes = 0;
        publisher.table(DeadlineTimer.now(), next, deltas);
        arm();
    }

    /** Whether where its table comes from can't be heard. */
    public void alone(boolean alone) {
        publisher.setSourceUnreachable(DeadlineTimer.now(), alone);
        arm();
    }

    /** A message of a subscriber, on the connection that it opened. */
    public void received(String from, byte[] bytes) {
        Message message;
        try {
            message = MessageCodec.message(bytes);
        } catch (IllegalArgumentException e) {
            events.fault(DeadlineTimer.now(), e instanceof MessageCodec.UnsupportedVersionException ? "config_later" : "config_malformed", from, e.getMessage());
            transport.drop(from);
            inboundClosed(from);
            return;
        }
        publisher.received(DeadlineTimer.now(), from, message);
        arm();
    }

    /** The connection that a subscriber opened has ended. */
    public void inboundClosed(String from) {
        publisher.inboundClosed(DeadlineTimer.now(), from);
        arm();
    }

    private void tick() {
        publisher.tick(DeadlineTimer.now());
        arm();
    }

    private void arm() {
        if (!closed) {
            timer.schedule(publisher.dueAt());
        }
    }

    /** Says no more; connections stay for whoever made them to end. */
    @Override
    public void close() {
        closed = true;
        timer.cancel();
    }

    private byte[] bytes(Message message) {
        byte[] bytes = kept.get(message);
        if (bytes != null) {
            return bytes;
        }
        bytes = MessageCodec.bytes(message);
        encoded++;
        if (message instanceof Message.Deltas || message instanceof Message.Heartbeat) {  // others are one subscriber's own
            if (kept.size() >= KEPT_MOST || keptBytes > KEPT_BYTES_MOST) {
                kept.clear();
                keptBytes = 0;
            }
            kept.put(message, bytes);
            keptBytes += bytes.length;
        }
        return bytes;
    }

    private final class PublisherActions implements Publisher.Actions {

        @Override
        public void send(String to, Message message) {
            if (closed || dropping.contains(to)) {
                return;
            }
            try {
                if (transport.reply(to, bytes(message))) {
                    return;
                }
                events.fault(DeadlineTimer.now(), "config_subscriber_full", to, "expected room on its connection, found none: it is dropped");
            } catch (IllegalArgumentException e) {
                events.fault(DeadlineTimer.now(), "config_unwritable", to, e.getMessage());
            }
            dropping.add(to);
            loop.execute(() -> {  // not in the middle of its turn
                dropping.remove(to);
                transport.drop(to);
                inboundClosed(to);
            });
        }

        @Override
        public void drop(String subscriber, String why) {
            transport.drop(subscriber);
        }

        @Override
        public void event(String name, String text) {
            events.event(name, text);
        }
    }
}
