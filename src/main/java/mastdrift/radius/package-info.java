/** RADIUS as values: packets and their attributes, authenticators, what is hidden, what makes a packet a resend of another,
    and identifiers towards servers. Pure: no I/O, no threads, no clock of its own; the front and the transport are built on
    it. */
package mastdrift.radius;
