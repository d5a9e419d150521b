/**
 * The gateway that is configured from files: wires the HTTP and RADIUS fronts, pools, routes and sources as the
 * operator's file says, and applies its changes. Decisions are made elsewhere: by membership, by routing and by each
 * pool's decision module. Also the control machines that distribute routes, and their client.
 */
package mastdrift.serve;
