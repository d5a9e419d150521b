/**
 * HTTP/1.1 over sockets: the front that clients connect to, connections to hosts, and calls to the platform's
 * discovery. Translates between the wire and the engine and decides nothing; everything runs on one event loop.
 */
package mastdrift.net;
