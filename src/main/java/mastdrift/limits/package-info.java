/**
 * Limits on client connections: how long one may be in which phase, which one is closed to make room, and how long idle
 * connections to hosts are kept. The classes are told of events and the time and asked what to close; they have no I/O,
 * thread or clock of their own.
 */
package mastdrift.limits;
