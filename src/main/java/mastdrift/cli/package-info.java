/**
 * The command line. Each command loads only the classes that it needs; the simulator's adapter loads none of the
 * others.
 */
package mastdrift.cli;
