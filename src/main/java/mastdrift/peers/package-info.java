/**
 * Group membership of the gateways of one installation (SWIM), and the load digests that they exchange, combined into
 * one view for the decision module. Free of I/O, threads and clocks: messages, digests and the time are passed in.
 * Correctness doesn't depend on it: a view that is empty, stale or wrong at most makes choices worse; what the module
 * may send, and whether it may send it again, is decided without it.
 */
package mastdrift.peers;
