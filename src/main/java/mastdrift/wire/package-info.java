/**
 * The adapter for the simulator: speaks its line protocol on standard input and output, with one decision module for
 * each instance.
 */
package mastdrift.wire;
