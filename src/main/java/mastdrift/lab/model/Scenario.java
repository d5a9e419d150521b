package mastdrift.lab.model;

import java.util.List;
import java.util.Map;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Rules;
import mastdrift.Balancer.Tenant;
import mastdrift.lab.draw.Arrivals;
import mastdrift.lab.draw.Curve;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.draw.Tries;
import mastdrift.lab.draw.Work;
import mastdrift.routing.Route;
import mastdrift.zones.ZoneSettings;

/**
 * What is played: sites, nodes, clients and what goes wrong, whoever decides. Times in microseconds where nothing else is said.
 *
 * @param site zones, gateways, network and lists
 * @param kinds machine kinds
 * @param groups nodes by pool and kind
 * @param classes classes of requests
 * @param works how long a request of each class takes, by class
 * @param tenants tenants and their shares
 * @param routes which pool a request goes to; none for the one pool that there is
 * @param populations clients
 * @param faults what goes wrong, in the order of their beginnings
 * @param length how long requests come
 * @param warm the first part of that, which is played and not counted
 * @param zones what gateways do about traffic that crosses zones; null for nothing
 * @param peers what gateways tell each other; null for nothing
 */
public record Scenario(Site site, List<Kind> kinds, List<Group> groups, List<RequestClass> classes, Map<String, Work> works,
        List<Tenant> tenants, List<Route> routes, List<Population> populations, List<Fault> faults, long length, long warm,
        Zones zones, Peers peers) {

    /**
     * What gateways tell each other of the work that they have out.
     *
     * @param delay until a digest is heard
     * @param loss the part of digests that a gateway doesn't hear
     * @param silent the part of gateways that tell nothing
     * @param lying the part of gateways that tell ten thousand times what is
     */
    public record Peers(long delay, double loss, double silent, double lying) { }

    /**
     * What gateways do about traffic that crosses zones.
     *
     * @param settings as in an operator's file, but for files
     * @param shared whether gateways read one another's words, a second old at most
     * @param requestBytes of a request on the wire
     * @param answerBytes of an answer
     */
    public record Zones(ZoneSettings settings, boolean shared, long requestBytes, long answerBytes) { }

    /**
     * The site.
     *
     * @param zones data centres
     * @param gateways of all zones together, dealt out in turn
     * @param within one way within a zone, mean
     * @param across one way between zones, mean
     * @param jitter the part of either that is drawn, exponentially, 0 to 1
     * @param loss the part of messages that come 200 ms late, since they were sent again
     * @param resets the part of attempts whose connection breaks under way
     * @param listDelay until a gateway is told of a change, at the least
     * @param listSpread what is drawn evenly on top of it, for each gateway and change
     * @param listMissed the part of changes that a gateway is not told before the next whole list
     * @param listDoubled the part of changes that a gateway is told twice
     * @param listEvery between whole lists, 0 for never
     * @param membership whether gateways merge lists as those from files do, or hand them to the module as the platform's do
     * @param gatewayCost processor time of a gateway for a request, which is all that it has one core for
     * @param frontNotice until clients are no longer sent to a gateway that is gone
     * @param maxAttempts of a request
     * @param retryAfter what refusals ask for at most
     * @param marksRetry whether clients mark their repeats
     * @param probes whether nodes may be probed
     * @param rules figures of the four rules
     */
    public record Site(List<String> zones, int gateways, long within, long across, double jitter, double loss, double resets,
            long listDelay, long listSpread, double listMissed, double listDoubled, long listEvery, boolean membership,
            long gatewayCost, long frontNotice, int maxAttempts, long retryAfter, boolean marksRetry, boolean probes,
            Rules rules) {

        /** The same with so many gateways. */
        public Site withGateways(int many) {
            return new Site(zones, many, within, across, jitter, loss, resets, listDelay, listSpread, listMissed, listDoubled, listEvery,
                    membership, gatewayCost, frontNotice, maxAttempts, retryAfter, marksRetry, probes, rules);
        }
    }

    /**
     * A machine kind.
     *
     * @param name for lists and reports
     * @param cores how many
     * @param speed of each; work is stated for a speed of 1
     * @param slots requests in work at once, sharing the cores evenly
     * @param queue requests that wait beyond that; more are turned away unseen
     * @param gain the part of the work that a key which was met lately saves, 0 to 1
     * @param keyFor how long a key counts as met lately
     * @param keysMost keys that a node remembers
     */
    public record Kind(String name, int cores, double speed, int slots, int queue, double gain, long keyFor, int keysMost) { }

    /** So many nodes of a kind in a pool, dealt out over the zones in turn, in cells of {@code cell} nodes (0 for one cell). */
    public record Group(String pool, String kind, int count, int cell) { }

    /**
     * Clients that are alike.
     *
     * @param name for streams of random numbers and reports
     * @param zone whose gateways they come to; null for all
     * @param curve requests a second, first tries alone
     * @param arrivals how they lie along the curve
     * @param parts classes and tenants; the deadline is that of one try
     * @param keys what requests are about
     * @param tries how they try again
     */
    public record Population(String name, String zone, Curve curve, Arrivals.Kind arrivals, List<Mix.Part> parts, Mix.Keys keys,
            Tries tries) { }

    /** What goes wrong. */
    public enum What {
        /** Nodes are {@code size} times slower. */
        SLOW,
        /** The part {@code size} of what nodes run ends with an error. */
        ERRORS,
        /** Nodes take connections and requests, and do nothing. */
        FREEZE,
        /** Nodes die, and come back cold at the end. */
        CRASH,
        /** Nodes are listed as leaving, and are gone at the end. */
        DRAIN,
        /** Nodes are drained and replaced by cold successors, the part {@code size} of them at a time, all within the time. */
        DEPLOY,
        /** Zones are cut off from one another's: what crosses is lost without a word. */
        CUT,
        /** Nodes turn everything away while the list says that they are up. */
        SHED,
        /** The list says that nodes leave though they are up. */
        LISTED_OUT,
        /** Lists tell nobody anything. */
        LIST_DOWN,
        /** Gateways die, and start again knowing nothing at the end. */
        GATEWAYS
    }

    /**
     * A fault.
     *
     * @param what it is
     * @param at its beginning, after the beginning of the run
     * @param length until its end
     * @param size see {@link What}
     * @param where whom it strikes
     */
    public record Fault(What what, long at, long length, double size, Where where) { }

    /**
     * Nodes, or gateways, by what is not null.
     *
     * @param zone of this zone
     * @param kind of this kind
     * @param pool of this pool
     * @param node by this name alone
     * @param part this part of them, drawn; 1 for all
     */
    public record Where(String zone, String kind, String pool, String node, double part) { }
}
