package mastdrift;

import java.util.List;

/**
 * The interface of the decision module: what a gateway tells it (events, the methods below) and what it
 * asks of the gateway ({@link Actions}).
 *
 * <p>Units: every time and span is in microseconds on the gateway's own clock, which must not run back.
 * The caller owns the clock and passes {@code now} with each event. Threading: one instance a gateway,
 * driven by one thread; actions are called from within the event they answer. The caller delivers
 * {@link #start} first, a server list in the same moment, then every event as it happens, exactly one
 * {@link #resolved} for each send, and each timer once at or after the time it was asked for.
 * Outcomes and departures of requests that have ended are legal and passed over. Nothing is shared
 * between instances.
 */
public interface Balancer {

    /** How often a request of a class may take effect. */
    enum Repeat {
        /** May be run again at any time. */
        SAFE,
        /** Repeats are dropped by a group of hosts for a while. */
        KEYED,
        /** Must not run twice. */
        UNSAFE
    }

    /** The hosts that drop repeats of one another's keyed requests. */
    enum Group { ALL, ZONE, CELL }

    /** A host's standing in the list. */
    enum Health { UP, LEAVING, GONE }

    /** What a message from the registry holds. */
    enum ListForm { DELTA, FULL, CACHED, FAILED }

    /** How an attempt ended. */
    enum Outcome {
        DELIVERED(false), ERROR(false), SHED(true), EXPIRED(false), DIAL_FAILED(true), DROPPED(false),
        REVOKED(false), UNUSED(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the attempt had no effect. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** What a refusal comes of: the hosts, the tenant's share, the gateway itself, which can't keep up, a bound on what may cross
        zones, or a list of hosts that may not be relied on. */
    enum Why { HOSTS, SHARE, GATEWAY, ZONES, LIST }

    /** What it weighs for one request to go to a zone; asked at each choice, so that the answer is of the moment. */
    interface Crossing {
        /** The part of its share that a host of a zone has for this request, from 0 (not at all) to 1 (as if nothing crossed). */
        double part(long now, String zone);

        /** Whether it has kept the request from a zone so far. */
        boolean heldBack();
    }

    /** Work that other gateways have out, as far as they tell of it; asked at each choice. What it says may be late or wrong. */
    interface Elsewhere {
        /** Requests that others have out at a host, 0 or more. */
        double out(String address);

        /** Requests that others have out at all hosts, 0 or more. */
        double total();
    }

    /** What the weights of the list mean: nothing, registered size, rough size, size over present load. */
    enum Weights { OFF, NOMINAL, ROUGH, LIVE }

    /** Where load reports come: with outcomes and probes, with probes alone, nowhere. */
    enum Reports { INLINE, ON_PROBE, OFF }

    /** A class of requests; {@code lateWorth} is the part of the worth earned after the aim. The aim grows
        by {@code aimStretch} times the request's own work. The dedup window counts for KEYED alone. */
    record RequestClass(String name, long aim, double aimStretch, long deadline, double worth, double lateWorth,
            Repeat repeat, Group group, long dedupWindow, boolean stream) { }

    /** A tenant, its part of the service, and the requests a second within its share, over all gateways. */
    record Tenant(String name, double fraction, double quotaPerSecond) { }

    /** What the gateway and its site allow; a retry-after of 0 where clients get none. */
    record Limits(boolean cancel, boolean probes, boolean parallelTries, boolean peers, int maxAttempts,
            int maxOpen, boolean retryAfter, long maxRetryAfter) { }

    /** Connections to hosts: time to open one, idle time after which it is closed, attempts on one at once. */
    record Links(long dialTimeout, long idle, int streams) { }

    /** CPU this instance may use; the mean cost of a request is 0 where it isn't limited. */
    record Cpu(long perSecond, double perRequest) { }

    /** The figures of the four rules; {@code mustAskIn} is 0 where the registry pushes. */
    record Rules(long answerSlack, long drainGrace, long mustAskIn, double coldFrom, long warmWithin,
            double fallMultiple, long fallSpan) { }

    /** Weights of the parts of the result. */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) { }

    /** What is taken off the result, each for a full unit; 0 for what costs nothing. */
    record Prices(double crossZone, double waste, double connection, double handshake, double origin,
            double probe, double peer, double lateFail, double moves, double registry, double fleet) { }

    /** How the users value what is served. */
    record Value(Goal goal, Prices prices, double overShareWorth, boolean byWork) { }

    /** Where this instance stands: its number, how many there are, its zone and all zones, the machine
        kinds, and the tiers with the one it sends to. */
    record Site(int me, int gateways, String zone, List<String> zones, List<String> kinds, int layer,
            List<String> stages) { }

    /** What hosts and clients do: whether hosts serve a recent key with less work and pass deadlines on,
        which load reports come, whether clients mark their repeats. */
    record Habits(boolean warmKeys, boolean passesDeadline, Reports reports, List<String> reportNames,
            boolean marksRetry) { }

    /** All start settings of one instance; {@code resolution} is the least time between two moments. */
    record Settings(List<RequestClass> classes, List<Tenant> tenants, Limits limits, Links links, Cpu cpu,
            Rules rules, Value value, Site site, Habits habits, boolean registryOnRequest, Weights weights,
            String service, long resolution, long seed) { }

    /** One entry of the server list; {@code born} is the start of its process, 0 for long ago. */
    record Host(String address, String zone, int cell, String kind, double weight, Health health,
            long born) { }

    /** A client's request; {@code key} and {@code tenant} may be null; {@code left} ends this try; the
        expected work is 0 where there is no hint; {@code crossing} is null where nothing bounds what crosses zones. */
    record Request(long id, String className, String tenant, Long key, long left, long work, boolean repeated,
            boolean write, Crossing crossing) {
        /** Where nothing bounds what crosses zones. */
        public Request(long id, String className, String tenant, Long key, long left, long work, boolean repeated, boolean write) {
            this(id, className, tenant, key, left, work, repeated, write, null);
        }

        /** A first try without a hint. */
        public Request(long id, String className, String tenant, Long key, long left) {
            this(id, className, tenant, key, left, 0, false, false);
        }
    }

    /** A host's own report; a value it doesn't give is NaN. */
    record LoadReport(double active, double waiting, double cpu, double serviceMillis, double rps,
            double errorsPerSecond) {
        /** Of a host that gave none. */
        public static final LoadReport NONE =
                new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** What the module asks of its gateway. */
    interface Actions {
        /** Sends the request to a host; attempts are numbered from 0 in the order of these calls. What has not left after
            {@code leaveWithin}, since it waited for a connection, say, does not leave any more. */
        void send(long id, String address, long timeout, long leaveWithin);

        /** Stops waiting for one attempt. */
        void cancel(long id, int attempt);

        /** Final answer: refused, and a new try does no harm. */
        void refuse(long id, long retryAfter, Why why);

        /** Final answer: failed, with no claim about its effect. */
        void fail(long id);

        /** Asks for {@link Balancer#timer} at or after a time. */
        void timer(long at, String handle);

        /** Checks a host; answered by {@link Balancer#probed}. */
        void probe(String address);

        /** Subscribes to changes of the server list, or ends that; the answer comes by {@link Balancer#hosts}. */
        void watch(boolean active);

        /** Asks for the whole server list, once. */
        void fetch();

        /** Closes this gateway's idle connections to a host. */
        void closeIdle(String address);

        /** Sends up to 256 bytes to one peer, or to all for a number below 0. */
        void tell(int peer, byte[] message);

        /** A line for the operator. */
        void log(String line);
    }

    /** Starts the instance; throws IllegalArgumentException for settings it can't run with. */
    void start(long now, Settings settings, Actions actions);

    /** A server list or its changes; FAILED carries no hosts. */
    void hosts(long now, ListForm form, List<Host> hosts);

    /** How late the gateway itself is; told ahead of events that tell of hosts' time. Whatever comes to it has to wait
        {@code standing} at least, and what came in the last {@code behind} may not have been told yet. */
    default void own(long now, long standing, long behind) { }

    /** What others have out is known from now on; told ahead of {@link #start}. A module that has no use for it passes it over. */
    default void elsewhere(Elsewhere others) { }

    /** A client's request has come in; it is owed exactly one final answer. */
    void request(long now, Request request);

    /** The answer to an attempt has begun to stream; the attempt belongs to the client now. */
    void streaming(long now, long id, int attempt);

    /** An attempt ended; {@code elapsed} without what the gateway itself was late by, as far as that is known; {@code over} if the request has ended, by this outcome or earlier. */
    void resolved(long now, long id, int attempt, String address, Outcome outcome, long elapsed,
            boolean over, LoadReport report);

    /** The client left; nothing more is owed. */
    void departed(long now, long id);

    /** A probe ended. */
    void probed(long now, String address, Outcome outcome, long elapsed, LoadReport report);

    /** A message of a peer; a module that shares nothing passes it over. */
    default void told(long now, int peer, byte[] message) { }

    /** A timer that was asked for is due. */
    void timer(long now, String handle);
}
