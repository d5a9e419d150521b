/** Where events go off the platform: SLF4J and Logback, as text or as JSON lines, by a thread of its own behind a bounded queue.
    The platform's gateway loads none of it. */
package mastdrift.logging;
