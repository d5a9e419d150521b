/** RADIUS on UDP: the front that chargers send to, and the transport to servers. Translates and decides nothing; everything
    runs on one event loop. What a packet means and what is a resend is told by {@code mastdrift.radius}. */
package mastdrift.radius.edge;
