/**
 * Counts per second and request steps that a gateway writes to its log, and their aggregation over many gateways. No
 * I/O, no clock of its own.
 */
package mastdrift.tally;
