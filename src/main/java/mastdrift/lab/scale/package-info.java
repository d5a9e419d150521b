/** What the control side costs at the size of a fleet: control machines as processes, hollow gateways (the program's own deciders, codec and links, no data path) by the hundred in
    a process, over loopback sockets, at several sizes, and lines through what was seen. Only what it started is ended, and it ends with it, however it ends. */
package mastdrift.lab.scale;
