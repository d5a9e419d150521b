/**
 * The RADIUS protocol: packets and attributes, authenticators, hidden attributes, duplicate detection, and
 * the allocation of identifiers towards servers. Pure: no I/O, no threads, no clock of its own. The UDP front and
 * transport are built on it.
 */
package mastdrift.radius;
