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
 * Runs a {@link Subscriber} on an event loop: sends its messages over the links to control machines and drives its time
 * by the loop's timer. It makes no protocol decisions. All methods except the constructor are called on the event
 * loop's thread, and so is the consumer of the tables, which must not block.
 * <p>A message that can't be decoded changes nothing and is reported as an event; the subscriber treats a machine that
 * sends only such messages as a silent one.
 */
public final class Subscription implements AutoCloseable {

    private final EventLoop loop;
    private final ControlTransport transport;
    private final RateLimitedEvents events;
    private final BiConsumer<Table, List<Delta>> tableConsumer;
    private final Subscriber subscriber;
    private final DeadlineTimer timer;
    private boolean processingEvent;
    private boolean closed;

    /**
     * Subscribes the process {@code name} in {@code zone}, starting from {@code initialTable}; {@code tableConsumer}
     * receives each new table with the deltas that lead to it from the previous one (an empty list if they aren't
     * known).
     */
    public Subscription(EventLoop loop, ControlTransport transport, String name, String zone, Table initialTable, SubscriberSettings settings, long seed, Events events,
            BiConsumer<Table, List<Delta>> tableConsumer) {
        this.loop = loop;
        this.transport = transport;
        this.tableConsumer = tableConsumer;
        this.events = new RateLimitedEvents(events);
        subscriber = new Subscriber(name, zone, initialTable, settings, seed, new SubscriberActions());
        timer = new DeadlineTimer(loop, () -> processEvent(subscriber::tick));
    }

    /** The subscriber that this runs; read only. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Replaces the list of control machines. The first call starts the subscription. */
    public void setMachines(List<ControlMachine> machines) {
        processEvent(now -> subscriber.setMachines(now, machines));
    }

    /** Handles a reply of a control machine, on the connection that was opened to it. */
    public void received(String machine, byte[] bytes) {
        Message message;
        try {
            message = MessageCodec.decodeMessage(bytes);
        } catch (MessageCodec.UnsupportedVersionException e) {
            events.fault(DeadlineTimer.nowMicros(), "config_later", machine, e.getMessage());
            return;
        } catch (IllegalArgumentException e) {
            events.fault(DeadlineTimer.nowMicros(), "config_malformed", machine, e.getMessage());
            return;
        }
        processEvent(now -> subscriber.received(now, machine, message));
    }

    /** Handles the end of a connection to a control machine, or a failure to open it. */
    public void outboundClosed(String machine) {
        processEvent(now -> subscriber.outboundClosed(now, machine));
    }

    /** Reports that a table has been applied here, or passed on to the subscribers of this process. */
    public void tableApplied(Revision revision) {
        processEvent(now -> subscriber.acknowledge(now, revision));
    }

    /** Reports that a table can't be applied; the previous one stays in effect. */
    public void tableRefused(Revision revision, String reason) {
        processEvent(now -> subscriber.reject(now, revision, reason));
    }

    /**
     * Reports the zone summaries of this process's own subscribers to the control machine; for processes that relay
     * tables.
     */
    public void reportZones(List<Message.ZoneSummary> zones) {
        processEvent(now -> subscriber.sendSummary(zones));
    }

    /**
     * Processes one event at a time. An event that arrives while another is processed (such as a table that is applied
     * at once, or a connection closed to make room for another) is deferred to a later task of the event loop.
     */
    private void processEvent(LongConsumer event) {
        if (processingEvent) {
            loop.execute(() -> processEvent(event));
        } else if (!closed) {
            processingEvent = true;
            try {
                event.accept(DeadlineTimer.nowMicros());
            } finally {
                processingEvent = false;
            }
            timer.schedule(subscriber.dueAt());
        }
    }

    /** Ends the subscription and closes its connection. */
    @Override
    public void close() {
        closed = true;
        timer.cancel();
        if (subscriber.currentMachine() != null) {
            transport.closeOutbound(subscriber.currentMachine());
        }
    }

    private final class SubscriberActions implements Subscriber.Actions {

        @Override
        public void send(String to, Message message) {
            boolean sent = false;
            try {
                sent = !closed && transport.send(to, MessageCodec.encode(message));
            } catch (IllegalArgumentException e) {
                events.fault(DeadlineTimer.nowMicros(), "config_unwritable", to, e.getMessage());
            }
            if (!sent && !closed) {
                loop.execute(() -> {  // deferred: the subscriber is still processing an event
                    transport.closeOutbound(to);
                    outboundClosed(to);
                });
            }
        }

        @Override
        public void disconnect(String machine) {
            transport.closeOutbound(machine);
        }

        @Override
        public void table(Table next, List<Delta> deltas) {
            tableConsumer.accept(next, deltas);
        }

        @Override
        public void event(String name, String text) {
            events.event(name, text);
        }
    }
}
