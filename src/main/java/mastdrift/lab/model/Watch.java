package mastdrift.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Rules;

/** Sees whether the four rules are kept, from what nodes, lists and clients see, whatever the gateways believe. */
final class Watch {

    // As on real sockets: each time limit is so much longer.
    private static final long SLACK = 50_000;
    private static final int KEPT = 1_000;

    private record Ran(String group, long at) { }

    private record Expiry(long effect, long at) { }

    private final VirtualTime time;
    private final Rules rules;
    private final long longest;
    private final Map<Long, Ran> keyed = new HashMap<>();
    private final Queue<Expiry> expiries = new ArrayDeque<>();
    private final Map<Long, Long> told = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final long[] broken = new long[5];
    private final Map<Long, Long> bornTold = new HashMap<>();
    private long dropped;
    private long fallenUnheard;

    Watch(VirtualTime time, Rules rules, List<RequestClass> classes) {
        this.time = time;
        this.rules = rules;
        longest = 10 * classes.stream().mapToLong(type -> Math.max(type.deadline(), type.dedupWindow())).max().orElse(0);
    }

    private void breach(int rule, long request, String who, String why) {
        broken[rule]++;
        if (breaches.size() < KEPT) {
            breaches.add(new Breach(rule, time.now() - VirtualTime.BEGIN, request, who, why));
        }
    }

    // ---- rule 1

    /** A gateway gave a try its {@code count}-th final answer, {@code late} microseconds after its client's time. */
    void answered(long request, String gateway, int count, long late) {
        if (count > 1) {
            breach(1, request, gateway, "expected one final answer, found answer number " + count);
        }
        if (late > SLACK) {
            breach(1, request, gateway, "expected an answer in time, found one " + late / 1000 + " ms late");
        }
    }

    /** A try's client has waited its time, and a gateway that was there all along said nothing. */
    void unanswered(long request, String gateway) {
        breach(1, request, gateway, "expected one final answer, found none");
    }

    // ---- rule 2

    /** A node begins to run a try; returns whether its group drops it as a repeat. */
    boolean ran(ModelNode node, RequestClass type, long effect, long request) {
        if (type.repeat() == Repeat.SAFE) {
            return false;
        }
        long now = time.now();
        for (Expiry next = expiries.peek(); next != null && next.at <= now; next = expiries.peek()) {
            keyed.remove(expiries.poll().effect);
        }
        String group = node.pool() + (type.group() == Group.ALL ? "" : type.group() == Group.ZONE ? "/" + node.zone()
                : "/" + node.zone() + "/" + node.cell());
        Ran before = keyed.putIfAbsent(effect, new Ran(group, now));
        if (before == null) {
            expiries.add(new Expiry(effect, now + longest));
            return false;
        }
        if (type.repeat() == Repeat.KEYED && before.group.equals(group) && now - before.at < type.dedupWindow()) {
            dropped++;
            return true;
        }
        breach(2, request, node.uid(), type.repeat() == Repeat.UNSAFE ? "expected one run of what is unsafe to repeat, found two"
                : "expected a repeat within group " + before.group + " and " + type.dedupWindow() / 1000 + " ms, found group " + group
                + " after " + (now - before.at) / 1000 + " ms");
        return false;
    }

    /** Cold nodes that fell by what gateways sent that had not been told of their start. */
    long fallenUnheard() {
        return fallenUnheard;
    }

    /** Repeats that a group dropped. */
    long dropped() {
        return dropped;
    }

    // ---- rule 3

    /** A gateway was told of a node. */
    void told(int gateway, int node, boolean takesNew, long born) {
        if (born > 0) {
            bornTold.put((long) gateway << 32 | node, born);
        }
        if (takesNew) {
            told.remove((long) gateway << 32 | node);
        } else {
            told.putIfAbsent((long) gateway << 32 | node, time.now());
        }
    }

    /** A gateway writes a new request to a node. */
    void sent(int gateway, int node, long request, String uid) {
        Long at = told.get((long) gateway << 32 | node);
        if (at != null && time.now() - at > rules.drainGrace() + SLACK) {
            breach(3, request, uid, "expected nothing new " + rules.drainGrace() / 1000 + " ms after gateway " + gateway
                    + " was told, found a send " + (time.now() - at) / 1000 + " ms after");
        }
    }

    /** A gateway that starts anew has been told nothing yet. */
    void forget(int gateway) {
        told.keySet().removeIf(key -> key >> 32 == gateway);
        bornTold.keySet().removeIf(key -> key >> 32 == gateway);
    }

    // ---- rule 4

    /** Whether a gateway has been told of the present start of a node: what it sends before is nobody's fault. */
    boolean knows(int gateway, ModelNode node) {
        return bornTold.getOrDefault((long) gateway << 32 | node.index(), 0L) == node.born();
    }

    /** A cold node was sent more than it can bear, and fell over; {@code known} tells whether what gateways sent that had been
        told of its start was too much by itself. */
    void fell(ModelNode node, long request, boolean known) {
        if (!known) {
            fallenUnheard++;
            return;
        }
        breach(4, request, node.uid(), "expected a cold node to stay up, found it pushed over");
    }

    /** Breaches of a rule. */
    long broken(int rule) {
        return broken[rule];
    }

    /** The first of them. */
    List<Breach> breaches() {
        return breaches;
    }
}
