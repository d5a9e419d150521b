/** How gateways reach each other: connections that are signed by a shared key, the messages of {@link mastdrift.peers} on them, and the file that tells one generation
    of a gateway from the next. Decides nothing; on a thread of its own, so that no request waits for it. */
package mastdrift.peers.edge;
