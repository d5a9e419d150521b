package mastdrift.lab.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.engine.RequestAttributes;
import mastdrift.lab.draw.Arrivals;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.draw.Streams;
import mastdrift.lab.model.Measured.Of;
import org.apache.commons.rng.UniformRandomProvider;

/** A population of clients: its requests at their times, each try at a gateway that the front layer deals out, and further tries
    where clients make them. However many clients it stands for, it holds what is open alone. */
final class ModelClients {

    // Within a data centre, from client to gateway and back.
    private static final long DELAY = 250;
    private static final int RISKS = 128;

    /** A request with all its tries. */
    final class Chain {
        private final long number;
        private final int part;
        private final RequestClass type;
        private final int typeNumber;
        private final int key;
        private final double work;
        private final long askedAt;
        private int tries;
        private int risks;

        Chain(long number, int part, int key, double work, long askedAt) {
            this.number = number;
            this.part = part;
            this.key = key;
            this.work = work;
            this.askedAt = askedAt;
            typeNumber = typeNumbers[part];
            type = scenario.classes().get(typeNumber);
        }

        long number() {
            return number;
        }

        long effect() {
            return number * RISKS + risks;
        }

        RequestClass type() {
            return type;
        }

        int key() {
            return key;
        }

        double work() {
            return work;
        }

        void ran(String from, ModelNode node) {
            world.ran(askedAt, from, node);
        }

        private void count(Of of) {
            world.count(askedAt, typeNumber, of);
        }

        private void ask() {
            tries++;
            count(Of.TRIES);
            Mix.Part asked = population.parts().get(part);
            ModelGateway gateway = front();
            if (gateway == null || !gateway.up()) {
                time.after(DELAY, () -> ended(null, Try.Ended.UNANSWERED, 0));  // refused, by nobody
                return;
            }
            long endsAt = time.now() + asked.deadline();
            RequestAttributes ask = new RequestAttributes(null, asked.className(), asked.tenant(), hash(key), asked.deadline() - DELAY,
                    tries > 1 && scenario.site().marksRetry(), false, 0, "", type.repeat() == Repeat.KEYED ? effect() : null);
            Try one = new Try(this, gateway, ask, endsAt, watch, time, DELAY, trace, world.twice(), this::ended);
            if (trace != Trace.NONE) {
                trace.step(time.now() - VirtualTime.BEGIN, number, population.name(), "try " + tries + " of "
                        + asked.label() + " about key " + key + " to gateway-" + gateway.number());
            }
            time.after(DELAY, () -> {
                if (gateway.up()) {
                    open.computeIfAbsent(gateway, g -> new HashSet<>()).add(one);
                    gateway.take(one);
                } else {
                    one.lost();
                }
            });
            time.after(asked.deadline(), one::late);
        }

        private void ended(Try one, Try.Ended how, long advice) {
            if (one != null) {
                Set<Try> held = open.get(one.gateway());
                if (held != null) {
                    held.remove(one);
                }
            }
            if (how == Try.Ended.SERVED) {
                long latency = time.now() - askedAt;
                count(latency <= type.aim() ? Of.GOOD : Of.LATE);
                world.served(askedAt, typeNumber, latency);
                return;
            }
            risks += how == Try.Ended.REFUSED ? 0 : 1;
            if (population.tries().again(tries, type.repeat(), how == Try.Ended.REFUSED)) {
                time.after(population.tries().pause(tries, advice, trying.nextDouble(), trying.nextDouble()), this::ask);
                return;
            }
            count(how == Try.Ended.REFUSED ? Of.REFUSED : how == Try.Ended.FAILED ? Of.FAILED : Of.UNANSWERED);
        }
    }

    private final World world;
    private final VirtualTime time;
    private final Watch watch;
    private final Trace trace;
    private final Scenario scenario;
    private final Scenario.Population population;
    private final int[] typeNumbers;
    private final Arrivals arrivals;
    private final Mix mix;
    private final List<DoubleSupplier> works = new ArrayList<>();
    private final UniformRandomProvider dealing;
    private final UniformRandomProvider trying;
    private final List<ModelGateway> gateways;
    private final Map<ModelGateway, Set<Try>> open = new HashMap<>();
    private final int number;
    private long next;

    ModelClients(World world, VirtualTime time, Watch watch, Trace trace, Scenario scenario, int number, List<ModelGateway> gateways,
            Streams streams) {
        this.world = world;
        this.time = time;
        this.watch = watch;
        this.trace = trace;
        this.scenario = scenario;
        this.number = number;
        population = scenario.populations().get(number);
        this.gateways = new ArrayList<>(gateways.stream()
                .filter(gateway -> population.zone() == null || population.zone().equals(gateway.zone())).toList());
        typeNumbers = population.parts().stream().mapToInt(part -> names(scenario).indexOf(part.className())).toArray();
        arrivals = new Arrivals(population.curve(), population.arrivals(), streams.stream("arrivals"));
        mix = new Mix(population.parts(), population.keys(), streams);
        population.parts().forEach(part -> works.add(scenario.works().get(part.className())
                .from(streams.stream("work/" + part.className()))));
        dealing = streams.stream("front");
        trying = streams.stream("tries");
    }

    static List<String> names(Scenario scenario) {
        return scenario.classes().stream().map(RequestClass::name).toList();
    }

    /** The first request is on its way. */
    void start() {
        later();
    }

    private void later() {
        double at = arrivals.next();
        if (Double.isFinite(at)) {
            time.after(VirtualTime.BEGIN + (long) (at * 1e6) - time.now(), () -> {
                int part = mix.part();
                Chain chain = new Chain(next++ * scenario.populations().size() + number, part, mix.key(time.now()),
                        works.get(part).getAsDouble(), time.now());
                chain.count(Of.ASKED);
                chain.ask();
                later();
            });
        }
    }

    private ModelGateway front() {
        return gateways.isEmpty() ? null : gateways.get(dealing.nextInt(gateways.size()));
    }

    /** The front layer deals out nothing to a gateway any more, or does again. */
    void front(ModelGateway gateway, boolean takes) {
        if (!takes) {
            gateways.remove(gateway);
        } else if (!gateways.contains(gateway) && (population.zone() == null || population.zone().equals(gateway.zone()))) {
            gateways.add(gateway);
        }
    }

    /** A gateway has died: who waits for it hears at once. */
    void died(ModelGateway gateway) {
        Set<Try> held = open.remove(gateway);
        if (held != null) {
            held.stream().sorted((one, other) -> Long.compare(one.request(), other.request())).forEach(Try::lost);
        }
    }

    /** Keys as the module gets them: spread over all 64 bits. */
    private static long hash(int key) {
        return (key + 1L) * 0x9E3779B97F4A7C15L;
    }
}
