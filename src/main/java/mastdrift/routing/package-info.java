/**
 * Chooses the pool that a request is sent to: routes, targets weighted by key, and pins that keep repeats of a keyed
 * request with the hosts that suppress its duplicates. Pure: no I/O, no threads, no clock of its own.
 */
package mastdrift.routing;
