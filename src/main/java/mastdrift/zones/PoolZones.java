package mastdrift.zones;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mastdrift.Balancer.Crossing;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Why;

/** One pool's traffic across zones: where its hosts are, which of its requests may cross, what did and why. */
public final class PoolZones {

    private final Zoning zoning;
    private final String name;
    private final Relief relief;
    private final Map<String, String> zones = new HashMap<>();
    private final Map<String, String> gone = new HashMap<>();
    private final Set<String> homeUp = new HashSet<>();
    private final Set<String> homeLeaving = new HashSet<>();

    PoolZones(Zoning zoning, String name, Relief relief) {
        this.zoning = zoning;
        this.name = name;
        this.relief = relief;
    }

    Relief relief() {
        return relief;
    }

    /** Hosts, all of them or those that changed. */
    public void hosts(long now, boolean all, List<Host> hosts) {
        if (all) {
            gone.clear();
            gone.putAll(zones);
            zones.clear();
            homeUp.clear();
            homeLeaving.clear();
        }
        for (Host host : hosts) {
            if (host.health() == Health.GONE) {
                gone.put(host.address(), host.zone());
                zones.remove(host.address());
            } else {
                zones.put(host.address(), host.zone());
            }
            boolean home = host.zone().equals(zoning.zone());
            put(homeUp, host, home && host.health() == Health.UP);
            put(homeLeaving, host, home && host.health() == Health.LEAVING);
        }
        if (!zones.isEmpty()) {  // or a pool that hasn't heard its list yet would begin with its zone out
            relief.hosts(now, homeUp);
        }
    }

    private static void put(Set<String> set, Host host, boolean in) {
        if (in) {
            set.add(host.address());
        } else {
            set.remove(host.address());
        }
    }

    /** What is on its way may end after its host left the list. */
    private String zone(String uid) {
        String zone = zones.get(uid);
        return zone != null ? zone : gone.getOrDefault(uid, "");
    }

    /** A request comes; {@code client} is its client's zone, empty where it isn't told, and {@code effect} stands for what repeats of it share, or is null. */
    public Pass pass(long now, RequestClass type, String tenant, String client, Long effect) {
        relief.offered(now);
        boolean kept = effect != null && type.repeat() == Repeat.KEYED && type.group() != Group.ALL;
        return new Pass(type, tenant == null ? "" : tenant, client, kept ? effect * 31 + type.name().hashCode() : null);
    }

    /** What one request may cross for, for as long as it lives. */
    public final class Pass implements Crossing {

        private final RequestClass type;
        private final String tenant;
        private final String client;
        private final Long key;
        private String heldBack;
        private boolean soft;  // a budget that could give way held it back
        private boolean denied;
        private long judgedAt = Long.MIN_VALUE;
        private String judgedZone;
        private double judged;

        Pass(RequestClass type, String tenant, String client, Long key) {
            this.type = type;
            this.tenant = tenant;
            this.client = client;
            this.key = key;
        }

        /** Itself where any budget says what may cross; null where all is counted and nothing bounded. */
        public Crossing bounds() {
            return zoning.bounds() ? this : null;
        }

        @Override
        public double part(long now, String to) {
            if (now != judgedAt || !to.equals(judgedZone)) {  // draws ask the same many times over
                judged = judge(now, to);
                judgedAt = now;
                judgedZone = to;
            }
            return judged;
        }

        private double judge(long now, String to) {
            String belongs = key == null ? null : zoning.keys().zone(now, key);
            if (belongs != null && !belongs.equals(to)) {
                return 0;
            }
            if (to.equals(zoning.zone())) {
                return 1;
            }
            if (belongs == null && key != null && !zoning.keys().room(now)) {
                return 0;
            }
            boolean first = belongs != null || relief.gives(type.name());  // service, before budgets that aren't hard
            double ease = zoning.ease(now, to, type.name(), tenant, name, first);
            if (ease == 0) {
                heldBack = to;
                soft |= !first && zoning.ease(now, to, type.name(), tenant, name, true) > 0;
            }
            return first && ease > 0 ? 1 : ease;
        }

        @Override
        public boolean heldBack() {
            return heldBack != null;
        }

        /** Tells the budgets once that they held it back. */
        private void settled() {
            if (heldBack != null && !denied) {
                denied = true;
                zoning.deny(heldBack, type.name(), tenant, name);
            }
        }

        /** It was refused. */
        public void refused(long now, Why why) {
            settled();
            if (why == Why.HOSTS || why == Why.ZONES) {
                relief.refused(now, soft);
            }
        }

        /** An attempt goes out, numbered from 0. */
        public Leg sent(long now, String uid, int number) {
            settled();
            return new Leg(this, now, uid, number);
        }
    }

    private Cause cause(Pass pass, boolean belonged, int number) {
        return belonged ? Cause.KEY : number > 0 ? Cause.REPEAT : relief.out() ? Cause.ZONE_OUT
                : relief.gives(pass.type.name()) ? Cause.NO_CAPACITY : !homeLeaving.isEmpty() ? Cause.DRAIN : Cause.WEIGHTS;
    }

    /** One attempt, until it ends. */
    public final class Leg {

        private final Pass pass;
        private final String uid;
        private final String to;
        private final int number;
        private final boolean crosses;
        private final Cause cause;
        private final Zoning.Reserve reserve;

        Leg(Pass pass, long now, String uid, int number) {
            this.pass = pass;
            this.uid = uid;
            this.number = number;
            to = zone(uid);
            crosses = !to.equals(zoning.zone());
            boolean belonged = pass.key != null && to.equals(zoning.keys().zone(now, pass.key));
            cause = cause(pass, belonged, number);
            reserve = crosses ? zoning.new Reserve(now, to, pass.type.name(), pass.tenant, name) : null;
            if (pass.key != null) {
                zoning.keys().sent(now, pass.key, to, now + pass.type.dedupWindow());
            }
        }

        /** It ended, with so many bytes sent and received. */
        public void ended(long now, Outcome outcome, long sent, long received) {
            Counts counts = zoning.counts(new Flow(zoning.zone(), to, pass.client, pass.type.name(), name, pass.tenant));
            if (sent > 0) {
                counts.attempt(number == 0);
                if (outcome != Outcome.DELIVERED) {
                    counts.fail();
                }
            }
            counts.bytes(sent, received);
            if (crosses) {
                counts.because(cause, sent > 0 ? 1 : 0, sent + received);
                reserve.settle(now, sent, received);
            }
            if (pass.key != null && outcome.neverRan()) {
                zoning.keys().neverRan(pass.key, to);
            }
            seen(now, uid, outcome);
        }
    }

    private void seen(long now, String uid, Outcome outcome) {
        if (outcome != Outcome.REVOKED && outcome != Outcome.UNUSED) {
            relief.outcome(now, uid, outcome == Outcome.DELIVERED || outcome == Outcome.ERROR || outcome == Outcome.SHED);
        }
    }

    /** A probe ended, with so many bytes sent and received. */
    public void probed(long now, String uid, Outcome outcome, long sent, long received) {
        count(now, uid, sent, received, sent > 0);
        seen(now, uid, outcome);
    }

    /** Bytes that belong to no attempt. */
    public void stray(long now, String uid, long sent, long received) {
        count(now, uid, sent, received, false);
    }

    private void count(long now, String uid, long sent, long received, boolean probe) {
        String to = zone(uid);
        Counts counts = zoning.counts(new Flow(zoning.zone(), to, "", Flow.NONE, name, ""));
        counts.bytes(sent, received);
        if (probe) {
            counts.probe();
        }
        if (!to.equals(zoning.zone())) {
            counts.because(Cause.PROBE, probe ? 1 : 0, sent + received);
            zoning.charge(now, to, name, sent, received, probe ? 1 : 0);
        }
    }
}
