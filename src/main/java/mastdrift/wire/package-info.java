/** The simulator's adapter: its wire on standard input and output, one module an instance. */
package mastdrift.wire;
