/** Tells the lateness of the gateway itself from that of the hosts, by the turns of its loop. Pure: told of each turn, asked in
    between; no clock, no thread and no I/O of its own. */
package mastdrift.lateness;
