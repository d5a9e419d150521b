package mastdrift.config;

import java.util.List;
import mastdrift.Balancer.Links;
import mastdrift.Balancer.Rules;
import mastdrift.membership.ChangeGuards;

/**
 * One pool, but for its nodes. {@code files} and {@code guards} may change while it runs, the rest is bound at its start.
 *
 * @param name what operators call it
 * @param files the node lists, as named in the gateway's file
 * @param discovery address and port in digits of a discovery service that is watched, or null
 * @param maxAttempts for a request
 * @param connections to all its hosts together, at most
 * @param probes whether hosts may be probed
 * @param links connections to its hosts; times in microseconds
 * @param rules figures of the four rules for its hosts; times in microseconds
 * @param secret of its RADIUS servers; null for a pool of HTTP hosts
 * @param guards what one change of the files may take away
 */
public record PoolSettings(String name, List<String> files, String discovery, int maxAttempts, int connections,
        boolean probes, Links links, Rules rules, SecretRef secret, ChangeGuards.Limits guards) {

    /** Whether all that is bound at the start is the same. */
    public boolean sameAtStart(PoolSettings other) {
        return equals(new PoolSettings(other.name, files, other.discovery, other.maxAttempts, other.connections,
                other.probes, other.links, other.rules, other.secret, guards));
    }

    /** Whether its hosts are RADIUS servers. */
    public boolean radius() {
        return secret != null;
    }
}
