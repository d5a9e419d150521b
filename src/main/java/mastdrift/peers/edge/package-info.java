/**
 * Transport between gateways: connections authenticated with a shared key, the encoding of the messages of {@link
 * mastdrift.peers}, and the file that stores a gateway's generation. Makes no decisions; runs on a thread of its own,
 * so that no request waits for it.
 */
package mastdrift.peers.edge;
