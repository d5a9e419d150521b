package mastdrift.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import mastdrift.engine.Timers;
import mastdrift.lab.draw.Streams;
import mastdrift.lab.model.PeerFault.Kind;
import mastdrift.peers.Member;
import mastdrift.peers.MemberState;
import mastdrift.peers.MembershipList;
import mastdrift.peers.MembershipSettings;
import mastdrift.peers.PeerMessage;
import mastdrift.peers.Update;
import org.apache.commons.rng.UniformRandomProvider;

/** Gateways that know of each other, each the program's own {@link MembershipList}, with a network and processes that fail between them. On a virtual clock: a
    minute of five gateways takes some milliseconds. One seed is one run, whatever the machine. */
public final class PeerWorld {

    private static final long HANDLING = 50;  // of a message, in a process that has its core
    private static final long SLICE = 100_000;  // a starved process runs in pieces of such a period
    private static final int INBOX_MOST = 20_000;
    private static final int EVENTS_MOST = 20_000;
    // Who was starved, stopped or cut off a moment ago may still be behind.
    private static final long AFTER = 5_000_000;

    /**
     * What is played.
     *
     * @param gateways how many, from 1
     * @param micros how long
     * @param delay of a message, mean in microseconds
     * @param faults what goes wrong
     * @param settings of all membership lists
     * @param startSpread starts are spread over so many microseconds
     * @param talk whether events are wanted, for a person
     */
    public record Plan(int gateways, long micros, long delay, List<PeerFault> faults, MembershipSettings settings, long startSpread, boolean talk) {

        /** So many gateways, with up to eight faults of the seed, over by {@code quiet}. */
        public static Plan drawn(long seed, int gateways, long micros, long quiet) {
            return new Plan(gateways, micros, 1_000, PeerFault.drawn(seed, gateways, quiet, 8), MembershipSettings.DEFAULT, 2_000_000, false);
        }
    }

    private record Envelope(int from, long generation, PeerMessage message) { }

    /** A gateway, a process in each of its generations. */
    private final class Gateway {
        private final int number;
        private final Queue<Envelope> inbox = new ArrayDeque<>();
        private MembershipList membership;  // null while it is down
        private long generation;
        private long kept;  // the generation that its folder holds
        private long downSince = Long.MIN_VALUE;
        private long free;  // when the process is done with what it has begun
        private Timers.Timer armed;
        private long armedFor = -1;

        Gateway(int number) {
            this.number = number;
        }

        void start(boolean folder) {
            long wall = VirtualTime.BEGIN + now() + (long) plan.faults.stream().filter(f -> f.kind() == Kind.CLOCK && f.one() == number && f.at(now()))
                    .mapToDouble(PeerFault::amount).sum();
            generation = folder ? Math.max(wall, kept + 1) : wall;
            kept = generation;
            inbox.clear();
            membership = new MembershipList(new Member(name(number), generation, "zone-" + number % 2, "1", "s"), plan.settings,
                    streams.number(name(number) + "-" + starts++), now(), new MembershipList.Actions() {
                        @Override
                        public void send(String to, PeerMessage message) {
                            PeerWorld.this.send(number, generation, number(to), message);
                        }

                        @Override
                        public void event(MembershipList.Event event, Update of) {
                            happened(Gateway.this, event, of);
                        }
                    });
            membership.setConfiguredNames(IntStream.range(0, plan.gateways).mapToObj(PeerWorld::name).toList());
            generation = membership.self().generation();
            downSince = Long.MIN_VALUE;
            free = now();
            wake();
        }

        void stop(boolean says) {
            if (membership != null) {
                if (says) {
                    membership.leave();
                }
                membership = null;
                downSince = now();
                inbox.clear();
            }
        }

        /** When the process runs next, from now on. */
        private long runs(long at) {
            long when = at;
            for (int tries = 0; tries < 64; tries++) {
                long before = when;
                for (PeerFault fault : plan.faults) {
                    if (fault.one() == number && fault.at(when)) {
                        if (fault.kind() == Kind.PAUSE) {
                            when = fault.until();
                        } else if (fault.kind() == Kind.STARVE && (when - fault.from()) % SLICE >= fault.amount() * SLICE) {
                            when = Math.min(fault.until(), when - (when - fault.from()) % SLICE + SLICE);
                        }
                    }
                }
                if (when == before) {
                    return when;
                }
            }
            return when;
        }

        /** Has it look at its messages and its time as soon as it may. */
        void wake() {
            if (membership == null) {
                return;
            }
            long next = runs(Math.max(inbox.isEmpty() ? Math.max(now(), membership.nextTickMicros()) : now(), free));
            if (next != armedFor) {
                if (armed != null) {
                    armed.cancel();
                }
                armedFor = next;
                armed = time.after(next - now(), () -> {
                    armedFor = -1;
                    if (membership != null) {
                        run();
                        wake();
                    }
                });
            }
        }

        private void run() {
            Envelope envelope = now() >= membership.nextTickMicros() ? null : inbox.poll();
            free = now() + HANDLING;
            if (envelope != null) {
                membership.received(now(), name(envelope.from), envelope.generation, envelope.message);
            } else {
                membership.tick(now());
            }
            generation = membership.self().generation();
            kept = Math.max(kept, generation);
        }

        void arrives(Envelope envelope) {
            if (membership != null && inbox.size() < INBOX_MOST) {
                inbox.add(envelope);
                wake();
            }
        }
    }

    private final VirtualTime time = new VirtualTime();
    private final Plan plan;
    private final Streams streams;
    private final UniformRandomProvider network;
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Long> deaths = new ArrayList<>();
    private final Map<Integer, Set<Integer>> unknown = new TreeMap<>();  // dead ones, and who doesn't know yet
    private final List<String> events = new ArrayList<>();
    private int starts;
    private int falseDeaths;
    private int wronged;
    private long messages;
    private long updates;

    private PeerWorld(Plan plan, long seed) {
        this.plan = plan;
        streams = Streams.of(seed);
        network = streams.stream("network");
    }

    /** Plays it. */
    public static PeerRun play(Plan plan, long seed) {
        return new PeerWorld(plan, seed).run();
    }

    private static String name(int number) {
        return "g" + number;
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private long now() {
        return time.now() - VirtualTime.BEGIN;
    }

    private PeerRun run() {
        UniformRandomProvider spread = streams.stream("starts");
        for (int i = 0; i < plan.gateways; i++) {
            Gateway gateway = new Gateway(i);
            gateways.add(gateway);
            time.after((long) (spread.nextDouble() * plan.startSpread), () -> {
                if (gateway.membership == null && gateway.downSince == Long.MIN_VALUE) {
                    gateway.start(false);
                }
            });
        }
        for (PeerFault fault : plan.faults) {
            if (fault.kind() == Kind.KILL || fault.kind() == Kind.KILL_KEEP || fault.kind() == Kind.LEAVE) {
                time.after(fault.from(), () -> down(fault));
                time.after(fault.until(), () -> up(fault));
            }
        }
        time.run(VirtualTime.BEGIN + plan.micros);
        return new PeerRun(falseDeaths, wronged, deaths, apart(), messages, updates, events);
    }

    private void down(PeerFault fault) {
        Gateway gateway = gateways.get(fault.one());
        if (gateway.membership == null) {
            return;
        }
        gateway.stop(fault.kind() == Kind.LEAVE);
        if (fault.kind() != Kind.LEAVE) {
            Set<Integer> others = new HashSet<>();
            gateways.forEach(other -> {
                MembershipList.Entry seen = other.membership == null ? null : other.membership.entry(name(fault.one()));
                if (seen != null && seen.update().state() == MemberState.ALIVE) {
                    others.add(other.number);
                }
            });
            unknown.put(fault.one(), others);
        }
    }

    private void up(PeerFault fault) {
        Gateway gateway = gateways.get(fault.one());
        if (gateway.membership == null) {
            Set<Integer> missed = unknown.remove(fault.one());
            if (missed != null) {
                missed.forEach(other -> {
                    if (well(other, gateway.downSince, now()) && gateways.get(other).membership != null) {
                        deaths.add(-1L);
                    }
                });
            }
            gateway.start(fault.kind() == Kind.KILL_KEEP);
        }
    }

    private void send(int from, long generation, int to, PeerMessage message) {
        messages++;
        updates += message.updates().size();
        long delay = (long) (-plan.delay * Math.log(1 - network.nextDouble()));
        double loss = 0;
        long now = now();
        for (PeerFault fault : plan.faults) {
            if (!fault.at(now)) {
                continue;
            }
            switch (fault.kind()) {
                case CUT -> loss = from < fault.one() != to < fault.one() ? 1 : loss;
                case ONE_WAY -> loss = from == fault.one() && (to == fault.other() || fault.other() < 0) ? 1 : loss;
                case LOSS -> loss = Math.max(loss, fault.amount());
                case DELAY -> delay += (long) (fault.amount() * network.nextDouble());
                default -> { }
            }
        }
        if (network.nextDouble() >= loss) {
            time.after(delay, () -> gateways.get(to).arrives(new Envelope(from, generation, message)));
        }
    }

    private void happened(Gateway at, MembershipList.Event event, Update of) {
        if (plan.talk && events.size() < EVENTS_MOST) {
            events.add(now() / 1000 + " ms " + name(at.number) + ": " + event + " " + of.member().name() + " generation " + of.member().generation() % 1_000_000_000L
                    + " incarnation " + of.incarnation() + " by " + of.reporter());
        }
        if (event != MembershipList.Event.GONE) {
            return;
        }
        int subject = number(of.member().name());
        Gateway gone = gateways.get(subject);
        Set<Integer> waiting = unknown.get(subject);
        if (gone.membership == null) {
            if (waiting != null && waiting.remove(at.number) && well(at.number, gone.downSince, now())) {
                deaths.add(now() - gone.downSince);
            }
        } else if (gone.generation == of.member().generation() && of.reporter().equals(name(at.number))) {
            falseDeaths++;
            if (well(subject, now() - AFTER, now()) && well(at.number, now() - AFTER, now())) {
                wronged++;
            }
        }
    }

    /** Whether nothing was wrong with a gateway, nor with the network, in a span of time. */
    private boolean well(int number, long from, long until) {
        for (PeerFault fault : plan.faults) {
            boolean its = switch (fault.kind()) {
                case CUT, LOSS, DELAY -> true;
                case ONE_WAY -> fault.one() == number || fault.other() == number || fault.other() < 0;
                case CLOCK -> false;
                default -> fault.one() == number;
            };
            if (its && fault.from() - AFTER < until && fault.until() + AFTER > from) {
                return false;
            }
        }
        return true;
    }

    /** Where views differ from what is there. */
    private List<String> apart() {
        List<String> apart = new ArrayList<>();
        for (Gateway at : gateways) {
            if (at.membership == null) {
                continue;
            }
            if (at.membership.nameTaken()) {
                apart.add(name(at.number) + " takes its name for taken");
            }
            for (Gateway of : gateways) {
                MembershipList.Entry seen = of == at ? null : at.membership.entry(name(of.number));
                boolean alive = seen != null && seen.update().state() == MemberState.ALIVE;
                if (of == at || of.membership == null ? alive : !alive || seen.update().member().generation() != of.generation) {
                    apart.add(name(at.number) + " sees " + (seen == null ? "nothing" : seen.update()) + " of " + name(of.number) + ", which is "
                            + (of.membership == null ? "down" : "up in generation " + of.generation));
                }
            }
        }
        return apart;
    }
}
