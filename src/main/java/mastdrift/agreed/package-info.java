/**
 * A replicated log of small decisions among the gateways of an installation: its interface, the state that every member
 * builds from it, when a member may take part, and which gateways vote. Free of side effects: no I/O, no threads, no
 * clock. The log itself is implemented with a Raft library, in {@code agreed.edge}; no request waits for it, and
 * no rule depends on it.
 */
package mastdrift.agreed;
