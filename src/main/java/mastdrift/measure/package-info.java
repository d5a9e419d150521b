/** Measurements: main classes that print what docs/measurements has, each repeatable by one command. Not part of any run of
    the gateway. */
package mastdrift.measure;
