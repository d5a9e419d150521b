/** A model of the systems that the gateway serves: nodes, networks, lists of nodes and clients on a virtual clock, around the
    gateway's own ledger, pools, router, membership and decision module, which are driven as they are. One thread a world, no
    I/O, no clock but the virtual one: the same scenario, policy and seed give the same results to the last bit. */
package mastdrift.lab.model;
