/** Several gateways as processes of their own, with faults between them: relays on every connection from one to another, signals, folders that are lost or old. What all
    of them do goes into one history, by the monotonic clock that processes of a machine share, and is judged afterwards. Everything is on loopback; only processes that the rig
    started are signalled, and they end with it, however it ends. */
package mastdrift.lab.rig;
