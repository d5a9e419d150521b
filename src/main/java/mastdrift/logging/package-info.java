/**
 * Event output of gateways that are configured from files: SLF4J and Logback, as text or JSON lines, by a thread of its
 * own behind a bounded queue. The gateway that runs on the platform loads none of it.
 */
package mastdrift.logging;
