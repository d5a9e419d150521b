/** A module's settings as paths and values, read once for whoever is told them: the simulator's adapter and the platform's
    gateway; and values that settings of several kinds have. No I/O. */
package mastdrift.settings;
