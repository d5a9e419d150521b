/** The operator's files: reads them within bounds, watches them, and writes what came of it. On a thread of its own, never
    on the event loop. */
package mastdrift.files;
