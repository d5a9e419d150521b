/** How gateways reach each other: connections that are signed by a shared key, the words of {@link mastdrift.peers} on them, and the file that tells one life
    from the next. Decides nothing; on a thread of its own, so that no request waits for it. */
package mastdrift.peers.edge;
