/** The gateway from files: wires front, pools, routes and sources as the operator's file says, and puts its changes in
    force. The deciders do the deciding: membership, routing and each pool's module. */
package mastdrift.serve;
