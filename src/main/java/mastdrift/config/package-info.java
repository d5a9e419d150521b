/**
 * Reads and validates the operator's file and the node lists that it includes, and reports every problem with its
 * location. Free of I/O: the texts of files go in, a configuration or problems come out.
 */
package mastdrift.config;
