/**
 * Distribution of configuration to every gateway. Resources are kept in one table with a revision; changes are agreed
 * on by the voters' log and sent as deltas or snapshots through a tree of control machines, and acknowledgements return
 * the same way. Pure logic: no I/O, no threads and no clock of its own. Its status reports are informational: no
 * decision depends on them.
 */
package mastdrift.distribution;
