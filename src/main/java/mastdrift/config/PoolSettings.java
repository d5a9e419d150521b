package mastdrift.config;

import java.util.List;
import mastdrift.Balancer.Links;
import mastdrift.Balancer.Rules;
import mastdrift.membership.ChangeGuards;

/**
 * Settings of one pool, without its nodes. {@code files} and {@code guards} may change while the gateway runs; the rest
 * is fixed when it starts.
 *
 * @param name what operators call it
 * @param files the node lists, as named in the gateway's file
 * @param discovery address and port in digits of a discovery service that is watched, or null
 * @param maxAttempts for a request
 * @param maxConnections to all its hosts together
 * @param probesAllowed whether hosts may be probed
 * @param links connections to its hosts; times in microseconds
 * @param rules parameters of the four rules for its hosts; times in microseconds
 * @param secret of its RADIUS servers; null for a pool of HTTP hosts
 * @param guards limits on what one change of the files may remove
 */
public record PoolSettings(String name, List<String> files, String discovery, int maxAttempts, int maxConnections,
        boolean probesAllowed, Links links, Rules rules, SecretRef secret, ChangeGuards.Limits guards) {

    /** Whether {@code other} can replace these settings without a restart: only files and guards differ. */
    public boolean equalsExceptReloadable(PoolSettings other) {
        return equals(new PoolSettings(other.name, files, other.discovery, other.maxAttempts, other.maxConnections,
                other.probesAllowed, other.links, other.rules, other.secret, guards));
    }

    /** Whether its hosts are RADIUS servers. */
    public boolean isRadius() {
        return secret != null;
    }
}
