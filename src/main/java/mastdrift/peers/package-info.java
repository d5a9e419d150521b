/** Which gateways of one installation there are (SWIM's membership), and what they tell each other of the work that they have out, put together into one view for the decision module.
    Pure: no I/O, no thread, no clock of its own; messages, digests and the time go in. No rule rests on it: a view that is empty, old or wrong makes choices
    worse at most, and what the module may send, and whether again, is decided without it. */
package mastdrift.peers;
