/**
 * File I/O for traffic across zones: the state saved over a restart, the report, and the announcements that gateways
 * exchange through a shared directory. Makes no decisions; runs on a thread of its own, with at most one write pending.
 */
package mastdrift.zones.edge;
