package mastdrift;

import java.util.List;

/**
 * The interface of the decision module: the events that a gateway reports to it (the methods below) and what it asks of
 * the gateway ({@link Actions}).
 * <p>Units: all times and spans are in microseconds on the gateway's own clock, which must not run backwards. The
 * caller owns the clock and passes {@code now} with each event. Threading: one instance per gateway, driven by one
 * thread; actions are called from within the event that they answer. The caller delivers {@link #start} first, a server
 * list at the same time, then every event as it happens, exactly one {@link #resolved} for each send, and each timer
 * once at or after the time it was requested for. Outcomes and departures of requests that have ended are allowed and
 * ignored. Instances share nothing.
 */
public interface Balancer {

    /** Whether a request of a class may be executed more than once. */
    enum Repeat {
        /** May be executed any number of times. */
        SAFE,
        /** A group of hosts drops repeats for some time, the dedup window. */
        KEYED,
        /** Must not be executed twice. */
        UNSAFE
    }

    /** The hosts that drop repeats of one another's keyed requests. */
    enum Group { ALL, ZONE, CELL }

    /** A host's state in the list. */
    enum Health { UP, LEAVING, GONE }

    /** What a message from the registry contains. */
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

    /**
     * The reason of a refusal: the hosts, the tenant's share, an overload of the gateway itself, a limit on zone
     * crossings, or a host list that is not reliable.
     */
    enum Why { HOSTS, SHARE, GATEWAY, ZONES, LIST }

    /** The limit on zone crossings for one request; queried at each selection, so that the values are current. */
    interface Crossing {
        /**
         * The fraction of its share that a host of the zone has for this request, from 0 (not at all) to 1 (as if in
         * the own zone).
         */
        double part(long now, String zone);

        /** Whether it has kept the request from a zone so far. */
        boolean heldBack();
    }

    /**
     * Outstanding requests of other gateways, as far as they report them; queried at each selection. The values may be
     * late or wrong.
     */
    interface Elsewhere {
        /** Requests that other gateways have outstanding at a host, 0 or more. */
        double out(String address);

        /** Requests that other gateways have outstanding at all hosts, 0 or more. */
        double total();
    }

    /** What the weights of the list mean: nothing, registered size, rough size, or size over present load. */
    enum Weights { OFF, NOMINAL, ROUGH, LIVE }

    /** Where load reports are sent: with outcomes and probes, with probes only, or not at all. */
    enum Reports { INLINE, ON_PROBE, OFF }

    /**
     * A class of requests; {@code lateWorth} is the fraction of the worth that is earned after the aim. The aim grows
     * by {@code aimStretch} times the request's own work. The dedup window applies to KEYED only.
     */
    record RequestClass(String name, long aim, double aimStretch, long deadline, double worth, double lateWorth,
            Repeat repeat, Group group, long dedupWindow, boolean stream) { }

    /** A tenant, its fraction of the service, and its quota over all gateways. */
    record Tenant(String name, double fraction, double quotaPerSecond) { }

    /** What the gateway and its site allow; refusals carry a retry-after of 0 where {@code retryAfter} is false. */
    record Limits(boolean cancel, boolean probes, boolean parallelTries, boolean peers, int maxAttempts,
            int maxOpen, boolean retryAfter, long maxRetryAfter) { }

    /** Connections to hosts: time to open one, idle time after which it is closed, concurrent attempts on one. */
    record Links(long dialTimeout, long idle, int streams) { }

    /** CPU that this instance may use; the mean cost of a request is 0 where CPU isn't limited. */
    record Cpu(long perSecond, double perRequest) { }

    /**
     * The parameters of the four rules; {@code mustAskIn} is 0 where the registry pushes. A cold host has the fraction
     * {@code coldFrom} of its capacity at its start and all of it after {@code warmWithin}; a host is overloaded by
     * more than {@code fallMultiple} times its capacity during {@code fallSpan}.
     */
    record Rules(long answerSlack, long drainGrace, long mustAskIn, double coldFrom, long warmWithin,
            double fallMultiple, long fallSpan) { }

    /** Weights of the parts of the overall result. */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) { }

    /** Deductions from the overall result, each for a full unit; 0 for what costs nothing. */
    record Prices(double crossZone, double waste, double connection, double handshake, double origin,
            double probe, double peer, double lateFail, double moves, double registry, double fleet) { }

    /** How users value the requests that are served. */
    record Value(Goal goal, Prices prices, double overShareWorth, boolean byWork) { }

    /**
     * The position of this instance: its number, the number of gateways, its zone and all zones, the machine kinds, and
     * the tiers with the index of the one that it sends to.
     */
    record Site(int me, int gateways, String zone, List<String> zones, List<String> kinds, int layer,
            List<String> stages) { }

    /**
     * The behaviour of hosts and clients: whether hosts serve a recent key with less work and propagate deadlines,
     * which load reports there are, and whether clients mark their retries.
     */
    record Habits(boolean warmKeys, boolean passesDeadline, Reports reports, List<String> reportNames,
            boolean marksRetry) { }

    /** All settings of one instance; {@code resolution} is the smallest difference between two times. */
    record Settings(List<RequestClass> classes, List<Tenant> tenants, Limits limits, Links links, Cpu cpu,
            Rules rules, Value value, Site site, Habits habits, boolean registryOnRequest, Weights weights,
            String service, long resolution, long seed) { }

    /** One entry of the server list; {@code born} is the start of its process, 0 if that was long ago. */
    record Host(String address, String zone, int cell, String kind, double weight, Health health,
            long born) { }

    /**
     * A client's request; {@code key} and {@code tenant} may be null; {@code left} is the time that is left for this
     * try; the expected work is 0 if there is no hint; {@code crossing} is null where nothing limits zone crossings.
     */
    record Request(long id, String className, String tenant, Long key, long left, long work, boolean repeated,
            boolean write, Crossing crossing) {
        /** Creates a request without a limit on zone crossings. */
        public Request(long id, String className, String tenant, Long key, long left, long work, boolean repeated,
                boolean write) {
            this(id, className, tenant, key, left, work, repeated, write, null);
        }

        /** Creates a first try without a hint on its work. */
        public Request(long id, String className, String tenant, Long key, long left) {
            this(id, className, tenant, key, left, 0, false, false);
        }
    }

    /** A host's load report; a value that it doesn't contain is NaN. */
    record LoadReport(double active, double waiting, double cpu, double serviceMillis, double rps,
            double errorsPerSecond) {
        /** The report of a host that sent none. */
        public static final LoadReport NONE =
                new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** What the module asks of its gateway. */
    interface Actions {
        /**
         * Sends the request to a host; attempts are numbered from 0 in the order of these calls. An attempt that has
         * not left within {@code leaveWithin}, for instance since it waits for a connection, must not leave any more.
         */
        void send(long id, String address, long timeout, long leaveWithin);

        /** Stops waiting for one attempt. */
        void cancel(long id, int attempt);

        /** Final answer: refused; a retry by the client is harmless. */
        void refuse(long id, long retryAfter, Why why);

        /** Final answer: failed; the request may have had an effect or not. */
        void fail(long id);

        /** Requests a call of {@link Balancer#timer} at or after a time. */
        void timer(long at, String handle);

        /** Probes a host; answered by {@link Balancer#probed}. */
        void probe(String address);

        /** Subscribes to changes of the server list, or ends the subscription; answered by {@link Balancer#hosts}. */
        void watch(boolean active);

        /** Requests the whole server list, once. */
        void fetch();

        /** Closes this gateway's idle connections to a host. */
        void closeIdle(String address);

        /** Sends up to 256 bytes to one peer, or to all peers if the number is negative. */
        void tell(int peer, byte[] message);

        /** Logs a line for the operator. */
        void log(String line);
    }

    /** Starts the instance; throws IllegalArgumentException for settings that it can't run with. */
    void start(long now, Settings settings, Actions actions);

    /** A server list or changes to it; FAILED carries no hosts. */
    void hosts(long now, ListForm form, List<Host> hosts);

    /**
     * Reports how late the gateway itself is; called before events that depend on the time hosts take. Everything that
     * reaches the gateway has to wait {@code queueDelay} at least, and events of the last {@code lag} may not have been
     * reported yet.
     */
    default void own(long now, long queueDelay, long lag) { }

    /** Provides the outstanding requests of other gateways; called before {@link #start}. A module may ignore it. */
    default void elsewhere(Elsewhere otherGateways) { }

    /** A client's request has come in; it must get exactly one final answer. */
    void request(long now, Request request);

    /** The answer to an attempt has begun to stream to the client: the request can't be sent again. */
    void streaming(long now, long id, int attempt);

    /**
     * An attempt ended. {@code elapsed} excludes the gateway's own delay as far as it is known; {@code requestEnded} is
     * true if the request has ended, by this outcome or earlier.
     */
    void resolved(long now, long id, int attempt, String address, Outcome outcome, long elapsed,
            boolean requestEnded, LoadReport report);

    /** The client disconnected; no answer is owed any more. */
    void departed(long now, long id);

    /** A probe ended. */
    void probed(long now, String address, Outcome outcome, long elapsed, LoadReport report);

    /** A message from a peer; ignored by a module that shares nothing. */
    default void told(long now, int peer, byte[] message) { }

    /** A timer that was requested is due. */
    void timer(long now, String handle);
}
