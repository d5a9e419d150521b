package mastdrift.config;

import java.util.List;
import mastdrift.limits.PhaseBounds;

/**
 * What a gateway is bound to at its start.
 *
 * @param name its own name, for its log and status
 * @param listen address and port in digits
 * @param zone its data centre
 * @param zones all data centres that nodes may name
 * @param me its number among the gateways that send to the same hosts, from 0
 * @param gateways how many those are: hosts are shared by all
 * @param connections of clients, at most
 * @param bounds for how long clients' connections may be in each phase
 * @param statusFile where it writes what is in force and what was refused; null for nowhere
 * @param settle microseconds for which files have to stay the same before they are read for good
 */
public record GatewaySettings(String name, String listen, String zone, List<String> zones, int me, int gateways,
        int connections, PhaseBounds bounds, String statusFile, long settle) { }
