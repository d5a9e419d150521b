/** Stand-ins for what surrounds a gateway, on loopback: hosts with a script, and clients. For the demo, tests and
    measurements; nothing else of the program depends on them. */
package mastdrift.standin;
