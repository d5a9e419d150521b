/**
 * RADIUS over UDP: the front that clients send to, and the transport to servers. Converts between datagrams and the
 * gateway's requests and makes no decisions; everything runs on one event loop. Packet formats and duplicate detection
 * are in {@code mastdrift.radius}.
 */
package mastdrift.radius.edge;
