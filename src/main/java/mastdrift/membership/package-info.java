/**
 * The hosts of each pool: merges what several sources report, validates lists, and guards against changes that are
 * probably mistakes. No I/O, no threads, no clock of its own.
 */
package mastdrift.membership;
