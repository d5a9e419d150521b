/**
 * Separates the gateway's own lateness from that of the hosts, by the turns of its event loop. It is told of each turn
 * and queried in between, and has no clock, thread or I/O of its own.
 */
package mastdrift.lateness;
