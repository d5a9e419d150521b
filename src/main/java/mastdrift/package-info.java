/** The decision module: its interface, its decisions and what it remembers. No I/O, no threads, no clock of its own. */
package mastdrift;
