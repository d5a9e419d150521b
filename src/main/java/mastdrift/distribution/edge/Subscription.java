package mastdrift.distribution.edge;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import mastdrift.distribution.Delta;
import mastdrift.distribution.ControlMachine;
import mastdrift.distribution.Message;
import mastdrift.distribution.Revision;
import mastdrift.distribution.Subscriber;
import mastdrift.distribution.SubscriberSettings;
import mastdrift.distribution.Table;
import mastdrift.events.Events;

/**
 * Runs a {@link Subscriber} on an event loop: its messages over the links to control machines, its time by the loop's timer. Decides nothing. All methods are called on the
 * loop's thread but the constructor, and so is whoever takes the tables, which must not wait.
 *
 * <p>A message that can't be read changes nothing and is said; a machine of which no other comes is left by the decider as a silent one.
 */
public final class Subscription implements AutoCloseable {

    private final EventLoop loop;
    private final Transport transport;
    private final RateLimitedEvents events;
    private final BiConsumer<Table, List<Delta>> tables;
    private final Subscriber subscriber;
    private final DeadlineTimer timer;
    private boolean turning;
    private boolean closed;

    /** Of a process by its name and zone, from the table that it has; {@code tables} takes each next one, with what led there from the one before (nothing for a jump). */
    public Subscription(EventLoop loop, Transport transport, String name, String zone, Table have, SubscriberSettings settings, long seed, Events events,
            BiConsumer<Table, List<Delta>> tables) {
        this.loop = loop;
        this.transport = transport;
        this.tables = tables;
        this.events = new RateLimitedEvents(events);
        subscriber = new Subscriber(name, zone, have, settings, seed, new SubscriberActions());
        timer = new DeadlineTimer(loop, () -> turn(subscriber::tick));
    }

    /** What runs; for reading only. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Control machines that there are; replaces those before. The first call begins it. */
    public void machines(List<ControlMachine> machines) {
        turn(now -> subscriber.setMachines(now, machines));
    }

    /** A reply of a control machine, on the connection that was opened to it. */
    public void received(String from, byte[] bytes) {
        Message message;
        try {
            message = MessageCodec.message(bytes);
        } catch (MessageCodec.UnsupportedVersionException e) {
            events.fault(DeadlineTimer.now(), "config_later", from, e.getMessage());
            return;
        } catch (IllegalArgumentException e) {
            events.fault(DeadlineTimer.now(), "config_malformed", from, e.getMessage());
            return;
        }
        turn(now -> subscriber.received(now, from, message));
    }

    /** The connection that was opened to a control machine has ended, or couldn't be made. */
    public void outboundClosed(String to) {
        turn(now -> subscriber.outboundClosed(now, to));
    }

    /** A table is in force here, or passed on. */
    public void inForce(Revision revision) {
        turn(now -> subscriber.acknowledge(now, revision));
    }

    /** A table can't be put in force; the one before stays. */
    public void refused(Revision revision, String reason) {
        turn(now -> subscriber.reject(now, revision, reason));
    }

    /** Tells the control machine how those below do, by who passes on. */
    public void summary(List<Message.ZoneSummary> zones) {
        turn(now -> subscriber.sendSummary(zones));
    }

    /** One event at a time: what comes in the middle of one (a table that is in force at once, a connection that made room for another) comes behind it. */
    private void turn(LongConsumer event) {
        if (turning) {
            loop.execute(() -> turn(event));
        } else if (!closed) {
            turning = true;
            try {
                event.accept(DeadlineTimer.now());
            } finally {
                turning = false;
            }
            timer.schedule(subscriber.dueAt());
        }
    }

    /** Ends it; the connection goes with it. */
    @Override
    public void close() {
        closed = true;
        timer.cancel();
        if (subscriber.currentMachine() != null) {
            transport.leave(subscriber.currentMachine());
        }
    }

    private final class SubscriberActions implements Subscriber.Actions {

        @Override
        public void send(String to, Message message) {
            boolean sent = false;
            try {
                sent = !closed && transport.send(to, MessageCodec.bytes(message));
            } catch (IllegalArgumentException e) {
                events.fault(DeadlineTimer.now(), "config_unwritable", to, e.getMessage());
            }
            if (!sent && !closed) {
                loop.execute(() -> {  // not in the middle of its turn
                    transport.leave(to);
                    outboundClosed(to);
                });
            }
        }

        @Override
        public void disconnect(String machine) {
            transport.leave(machine);
        }

        @Override
        public void table(Table next, List<Delta> deltas) {
            tables.accept(next, deltas);
        }

        @Override
        public void event(String name, String text) {
            events.event(name, text);
        }
    }
}
