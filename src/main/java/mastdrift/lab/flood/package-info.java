/**
 * Clients that misuse one gateway process: they send without a pause, stop in the middle of a message, or come in crowds.
 * Measures what that costs the gateway's ordinary clients and the gateway itself. Everything is on loopback.
 */
package mastdrift.lab.flood;
