package mastdrift.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Publishers and subscribers with a simulated network of 5 ms latency, whose losses a test controls; it has its own
 * clock that advances in steps of 5 ms.
 */
final class SimulatedNetwork {

    static final long SECOND_MICROS = 1_000_000;
    static final long STEP_MICROS = 5_000;

    /** Decides whether a message is delivered; false if it is lost. */
    interface DeliveryRule {
        boolean isDelivered(String from, String to, Message message);
    }

    /** A message that was sent. */
    record Sent(long sentAt, String from, String to, Message message) { }

    private record Event(long time, long sequence, Runnable action) { }

    final Map<String, Publisher> machines = new LinkedHashMap<>();
    final Map<String, Subscriber> subscribers = new LinkedHashMap<>();
    final List<Sent> sent = new ArrayList<>();
    final List<String> events = new ArrayList<>();
    final List<String> frozen = new ArrayList<>();
    private final PriorityQueue<Event> queue = new PriorityQueue<>((a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.sequence, b.sequence));
    private final PublisherSettings settings;
    DeliveryRule deliveryRule = (from, to, message) -> true;
    int copies = 1;  // how often each message is delivered
    long now = SECOND_MICROS;
    private long nextSequence;

    SimulatedNetwork(PublisherSettings settings) {
        this.settings = settings;
    }

    SimulatedNetwork() {
        this(PublisherSettings.DEFAULTS);
    }

    Publisher addMachine(String name, Table table) {
        Publisher machine = new Publisher(table, settings, new Publisher.Actions() {
            @Override
            public void send(String to, Message message) {
                sent.add(new Sent(now, name, to, message));
                deliver(name, to, message, () -> {
                    if (subscribers.containsKey(to)) {
                        subscribers.get(to).received(now, name, message);
                    }
                });
            }

            @Override
            public void drop(String subscriber, String why) {
                events.add("dropped " + subscriber + ": " + why);
                schedule(STEP_MICROS, () -> {
                    if (subscribers.containsKey(subscriber)) {
                        subscribers.get(subscriber).outboundClosed(now, name);
                    }
                });
            }

            @Override
            public void event(String event, String text) {
                events.add(name + " " + event + " " + text);
            }
        });
        machines.put(name, machine);
        return machine;
    }

    /** A gateway that activates every table at once. */
    Subscriber addGateway(String name, Table initial, String... machineNames) {
        Subscriber gateway = new Subscriber(name, "z-1", initial, SubscriberSettings.DEFAULTS, name.hashCode(), new Subscriber.Actions() {
            @Override
            public void send(String to, Message message) {
                sent.add(new Sent(now, name, to, message));
                deliver(name, to, message, () -> {
                    if (machines.containsKey(to)) {
                        machines.get(to).received(now, name, message);
                    } else {
                        schedule(STEP_MICROS, () -> subscribers.get(name).outboundClosed(now, to));
                    }
                });
            }

            @Override
            public void disconnect(String machine) {
                schedule(STEP_MICROS, () -> {
                    if (machines.containsKey(machine) && !machine.equals(subscribers.get(name).currentMachine())) {
                        machines.get(machine).inboundClosed(now, name);
                    }
                });
            }

            @Override
            public void table(Table next, List<Delta> deltas) {
                events.add(name + " takes " + next.revision().number() + (deltas.isEmpty() ? " by a snapshot" : ""));
                schedule(0, () -> subscribers.get(name).acknowledge(now, next.revision()));
            }

            @Override
            public void event(String event, String text) {
                events.add(name + " " + event + " " + text);
            }
        });
        subscribers.put(name, gateway);
        gateway.setMachines(now, List.of(machineNames).stream().map(machine -> new ControlMachine(machine, "z-1")).toList());
        return gateway;
    }

    private void deliver(String from, String to, Message message, Runnable action) {
        for (int i = 0; i < copies; i++) {
            if (deliveryRule.isDelivered(from, to, message)) {
                deliverNextStep(to, action);
            }
        }
    }

    private void deliverNextStep(String to, Runnable action) {
        schedule(STEP_MICROS, () -> {
            if (frozen.contains(to)) {
                deliverNextStep(to, action);
            } else {
                action.run();
            }
        });
    }

    void schedule(long delayMicros, Runnable action) {
        queue.add(new Event(now + delayMicros, nextSequence++, action));
    }

    /** Stops a machine; its subscribers are notified. */
    void stopMachine(String machine) {
        machines.remove(machine);
        subscribers.values().forEach(each -> each.outboundClosed(now, machine));
    }

    /** Advances the clock. */
    void advance(long micros) {
        for (long until = now + micros; now < until; ) {
            now += STEP_MICROS;
            for (Event next = queue.peek(); next != null && next.time <= now; next = queue.peek()) {
                queue.poll().action.run();
            }
            machines.forEach((name, each) -> {
                if (now >= each.dueAt() && !frozen.contains(name)) {
                    each.tick(now);
                }
            });
            subscribers.forEach((name, each) -> {
                if (now >= each.dueAt() && !frozen.contains(name)) {
                    each.tick(now);
                }
            });
        }
    }

    /** Publishes a change of one route on a machine; returns the delta. */
    Delta publishChange(Publisher machine, String name, String value) {
        Outcome.Applied applied = TestChanges.requireApplied(machine.table().apply(machine.table().revision().number() + 1, TestChanges.of("c", TestChanges.put(name, value))));
        machine.table(now, applied.table(), List.of(applied.delta()));
        return applied.delta();
    }

    /** Messages of a type that were sent to a recipient. */
    <T extends Message> List<T> messagesTo(String to, Class<T> kind) {
        return sent.stream().filter(each -> each.to.equals(to) && kind.isInstance(each.message)).map(each -> kind.cast(each.message)).toList();
    }
}
