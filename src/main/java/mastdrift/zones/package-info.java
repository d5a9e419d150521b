/**
 * Traffic between zones: counts it, keeps it within budgets, and lets requests exceed budgets that are not hard when
 * the own zone is out or overloaded. Pure logic: callers report attempts, outcomes, hosts and the time, and ask whether
 * a host of another zone may be used; no I/O, no thread and no clock of its own. The decision module chooses the
 * server; this package limits crossings.
 */
package mastdrift.zones;
