/**
 * Implementation of {@link mastdrift.agreed.AgreedLog} on Apache Ratis. Its messages use the gateways' signed links, so
 * that there is one listener and one key, and the link of each pair can fail independently. Leaves all membership
 * decisions to {@link mastdrift.agreed}; runs on its own threads.
 */
package mastdrift.agreed.edge;
