/**
 * Reads the operator's files within size limits, watches them for changes, and writes the status file. Runs on a thread
 * of its own, never on the event loop.
 */
package mastdrift.files;
