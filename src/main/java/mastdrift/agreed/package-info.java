/** A log of small decisions that the gateways of an installation agree on: its interface, what every member keeps of it, when a member may take part, and who votes. Pure: no I/O, no
    thread, no clock. The log itself rests on a known Raft library, in {@code agreed.edge}; no request waits for it, and no rule rests on it. */
package mastdrift.agreed;
