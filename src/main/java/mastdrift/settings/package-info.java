/**
 * Reads a decision module's settings from paths and values, for both the simulator's adapter and the platform's
 * gateway; and value types that several kinds of settings share. No I/O.
 */
package mastdrift.settings;
