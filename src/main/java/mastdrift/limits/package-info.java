/** What is scarce at a gateway and who gives it up: how long a connection may be in which phase, and which one makes room. Pure: told
    what happens and the time, asked what to close; no I/O, no thread and no clock of its own. */
package mastdrift.limits;
