/** The agreed log on Apache Ratis: its messages go over the gateways' signed links, so that there is one listener and one key, and every pair's link can fail by itself. Decides nothing
    that {@link mastdrift.agreed} doesn't; its threads are its own. */
package mastdrift.agreed.edge;
