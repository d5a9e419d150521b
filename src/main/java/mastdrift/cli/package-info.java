/** The command line. Each command loads what it needs, and the simulator's adapter none of it. */
package mastdrift.cli;
