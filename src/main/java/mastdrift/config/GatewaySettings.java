package mastdrift.config;

import java.util.List;
import mastdrift.limits.PhaseBounds;

/**
 * Settings of a gateway that are fixed when it starts.
 *
 * @param name its own name, for its log and status
 * @param listen address and port in digits
 * @param zone its data centre
 * @param zones all data centres that nodes may name
 * @param gatewayIndex its index, from 0, among the gateways that send to the same hosts
 * @param gatewayCount the number of gateways that share the hosts
 * @param maxConnections of clients
 * @param bounds how long client connections may remain in each phase
 * @param statusFile where it writes the configuration in force and the last one rejected; null for none
 * @param settleMicros microseconds for which files must stay unchanged before they are applied
 */
public record GatewaySettings(String name, String listen, String zone, List<String> zones, int gatewayIndex,
        int gatewayCount,
        int maxConnections, PhaseBounds bounds, String statusFile, long settleMicros) { }
