/** HTTP/1.1 on sockets: the front that clients connect to, connections to hosts, and the platform's discovery. Translates
    and decides nothing; everything runs on one event loop. */
package mastdrift.net;
