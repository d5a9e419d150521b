/** Which hosts each pool has: merges what several sources say, and guards against changes that can't be meant. Pure: no I/O,
    no threads, no clock of its own. */
package mastdrift.membership;
