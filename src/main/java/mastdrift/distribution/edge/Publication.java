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
 * Runs a {@link Publisher} on an event loop: sends its messages as replies on the connections that subscribers opened,
 * and drives its time by the loop's timer. It makes no protocol decisions. All methods except the constructor are
 * called on the event loop's thread.
 * <p>A message that goes to many subscribers is encoded once: up to {@value #MAX_CACHED_MESSAGES} such messages are
 * cached with their encoded bytes; the cache is cleared when it is full or exceeds {@value #MAX_CACHED_BYTES} bytes. A
 * subscriber whose connection's send buffer is full is dropped, and so is one whose message can't be decoded.
 */
public final class Publication implements AutoCloseable {

    /** Maximum number of messages in the cache. */
    public static final int MAX_CACHED_MESSAGES = 64;
    /** Limit for the size of the cached encodings; only the last message added may exceed it. */
    public static final int MAX_CACHED_BYTES = 8 << 20;

    private final EventLoop loop;
    private final ControlTransport transport;
    private final RateLimitedEvents events;
    private final Publisher publisher;
    private final DeadlineTimer timer;
    private final Map<Message, byte[]> encodedCache = new IdentityHashMap<>();
    private final Set<String> pendingDrops = new HashSet<>();
    private int cachedBytes;
    private long encodedCount;
    private boolean closed;

    /** Starts by publishing {@code table}; {@link #publishTable} replaces it. */
    public Publication(EventLoop loop, ControlTransport transport, Table table, PublisherSettings settings, Events events) {
        this.loop = loop;
        this.transport = transport;
        this.events = new RateLimitedEvents(events);
        publisher = new Publisher(table, settings, new PublisherActions());
        timer = new DeadlineTimer(loop, this::tick);
        loop.execute(this::scheduleTick);
    }

    /** The publisher that this runs; read only. */
    public Publisher publisher() {
        return publisher;
    }

    /** Number of messages encoded since the start. */
    public long encodedCount() {
        return encodedCount;
    }

    /**
     * Publishes the next table. {@code deltas} lead to it from the previous one; an empty list means that they aren't
     * known.
     */
    public void publishTable(Table next, List<Delta> deltas) {
        encodedCache.clear();
        cachedBytes = 0;
        publisher.table(DeadlineTimer.nowMicros(), next, deltas);
        scheduleTick();
    }

    /** Sets whether the source of its table is unreachable. */
    public void setSourceUnreachable(boolean unreachable) {
        publisher.setSourceUnreachable(DeadlineTimer.nowMicros(), unreachable);
        scheduleTick();
    }

    /** Handles a message of a subscriber, on the connection that the subscriber opened. */
    public void received(String subscriber, byte[] bytes) {
        Message message;
        try {
            message = MessageCodec.decodeMessage(bytes);
        } catch (IllegalArgumentException e) {
            events.fault(DeadlineTimer.nowMicros(), e instanceof MessageCodec.UnsupportedVersionException ? "config_later" : "config_malformed", subscriber, e.getMessage());
            transport.closeInbound(subscriber);
            inboundClosed(subscriber);
            return;
        }
        publisher.received(DeadlineTimer.nowMicros(), subscriber, message);
        scheduleTick();
    }

    /** Handles the end of a connection that a subscriber opened. */
    public void inboundClosed(String subscriber) {
        publisher.inboundClosed(DeadlineTimer.nowMicros(), subscriber);
        scheduleTick();
    }

    private void tick() {
        publisher.tick(DeadlineTimer.nowMicros());
        scheduleTick();
    }

    private void scheduleTick() {
        if (!closed) {
            timer.schedule(publisher.dueAt());
        }
    }

    /** Stops sending; the connections are left to their owner to close. */
    @Override
    public void close() {
        closed = true;
        timer.cancel();
    }

    private byte[] encode(Message message) {
        byte[] bytes = encodedCache.get(message);
        if (bytes != null) {
            return bytes;
        }
        bytes = MessageCodec.encode(message);
        encodedCount++;
        // other messages go to a single subscriber
        if (message instanceof Message.Deltas || message instanceof Message.Heartbeat) {
            if (encodedCache.size() >= MAX_CACHED_MESSAGES || cachedBytes > MAX_CACHED_BYTES) {
                encodedCache.clear();
                cachedBytes = 0;
            }
            encodedCache.put(message, bytes);
            cachedBytes += bytes.length;
        }
        return bytes;
    }

    private final class PublisherActions implements Publisher.Actions {

        @Override
        public void send(String to, Message message) {
            if (closed || pendingDrops.contains(to)) {
                return;
            }
            try {
                if (transport.reply(to, encode(message))) {
                    return;
                }
                events.fault(DeadlineTimer.nowMicros(), "config_subscriber_full", to, "send buffer of its connection is full: subscriber is dropped");
            } catch (IllegalArgumentException e) {
                events.fault(DeadlineTimer.nowMicros(), "config_unwritable", to, e.getMessage());
            }
            pendingDrops.add(to);
            loop.execute(() -> {  // deferred: the publisher is still processing an event
                pendingDrops.remove(to);
                transport.closeInbound(to);
                inboundClosed(to);
            });
        }

        @Override
        public void drop(String subscriber, String reason) {
            transport.closeInbound(subscriber);
        }

        @Override
        public void event(String name, String text) {
            events.event(name, text);
        }
    }
}
