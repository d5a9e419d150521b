package mastdrift.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Publishers and subscribers with a network between them that takes 5 ms and does what a test says; on a clock of its own, in steps of 5 ms. */
final class SimulatedNetwork {

    static final long SECOND = 1_000_000;
    static final long STEP = 5_000;

    /** What becomes of a message: false for lost. */
    interface DeliveryRule {
        boolean arrives(String from, String to, Message message);
    }

    /** A message as it was sent. */
    record Sent(long at, String from, String to, Message message) { }

    private record Event(long at, long number, Runnable what) { }

    final Map<String, Publisher> machines = new LinkedHashMap<>();
    final Map<String, Subscriber> subscribers = new LinkedHashMap<>();
    final List<Sent> sent = new ArrayList<>();
    final List<String> events = new ArrayList<>();
    final List<String> frozen = new ArrayList<>();
    private final PriorityQueue<Event> queue = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final PublisherSettings settings;
    DeliveryRule fate = (from, to, message) -> true;
    int times = 1;  // that each message arrives
    long now = SECOND;
    private long numbers;

    SimulatedNetwork(PublisherSettings settings) {
        this.settings = settings;
    }

    SimulatedNetwork() {
        this(PublisherSettings.USUAL);
    }

    Publisher machine(String name, Table table) {
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
                later(STEP, () -> {
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

    /** A gateway that puts in force whatever comes, at once. */
    Subscriber gateway(String name, Table have, String... of) {
        Subscriber gateway = new Subscriber(name, "z-1", have, SubscriberSettings.USUAL, name.hashCode(), new Subscriber.Actions() {
            @Override
            public void send(String to, Message message) {
                sent.add(new Sent(now, name, to, message));
                deliver(name, to, message, () -> {
                    if (machines.containsKey(to)) {
                        machines.get(to).received(now, name, message);
                    } else {
                        later(STEP, () -> subscribers.get(name).outboundClosed(now, to));
                    }
                });
            }

            @Override
            public void leave(String machine) {
                later(STEP, () -> {
                    if (machines.containsKey(machine) && !machine.equals(subscribers.get(name).machine())) {
                        machines.get(machine).inboundClosed(now, name);
                    }
                });
            }

            @Override
            public void table(Table next, List<Delta> deltas) {
                events.add(name + " takes " + next.revision().number() + (deltas.isEmpty() ? " by a snapshot" : ""));
                later(0, () -> subscribers.get(name).inForce(now, next.revision()));
            }

            @Override
            public void event(String event, String text) {
                events.add(name + " " + event + " " + text);
            }
        });
        subscribers.put(name, gateway);
        gateway.machines(now, List.of(of).stream().map(machine -> new ControlMachine(machine, "z-1")).toList());
        return gateway;
    }

    private void deliver(String from, String to, Message message, Runnable what) {
        for (int i = 0; i < times; i++) {
            if (fate.arrives(from, to, message)) {
                arrives(to, what);
            }
        }
    }

    private void arrives(String to, Runnable what) {
        later(STEP, () -> {
            if (frozen.contains(to)) {
                arrives(to, what);
            } else {
                what.run();
            }
        });
    }

    void later(long in, Runnable what) {
        queue.add(new Event(now + in, numbers++, what));
    }

    /** A machine that ends: those who are there are told. */
    void kill(String machine) {
        machines.remove(machine);
        subscribers.values().forEach(each -> each.outboundClosed(now, machine));
    }

    /** Lets time pass. */
    void run(long micros) {
        for (long until = now + micros; now < until; ) {
            now += STEP;
            for (Event next = queue.peek(); next != null && next.at <= now; next = queue.peek()) {
                queue.poll().what.run();
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

    /** A change at a machine: a route of that name and value; the delta. */
    Delta change(Publisher machine, String name, String value) {
        Outcome.Applied applied = TestChanges.applied(machine.table().apply(machine.table().revision().number() + 1, TestChanges.of("c", TestChanges.put(name, value))));
        machine.table(now, applied.table(), List.of(applied.delta()));
        return applied.delta();
    }

    /** How many messages of a kind were sent to somebody. */
    <T extends Message> List<T> to(String to, Class<T> kind) {
        return sent.stream().filter(each -> each.to.equals(to) && kind.isInstance(each.message)).map(each -> kind.cast(each.message)).toList();
    }
}
