/** How configuration reaches every gateway: resources in one table with a revision, changes that are agreed on, deltas and snapshots that are passed on by a tree of
    control machines, acknowledgements that come back. Pure: no I/O, no thread, no clock of its own. What it says is a view: no rule rests on it. */
package mastdrift.distribution;
