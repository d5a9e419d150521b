/** Which pool a request goes to: routes, weights by key, and pins that keep a keyed request with the hosts that drop its
    repeats. Pure: no I/O, no threads, no clock of its own. */
package mastdrift.routing;
