package mastdrift.distribution.edge;

/** The links to other processes, as configuration needs them; each call on the event loop's thread, and none waits. */
public interface Transport {

    /** Sends a message to a control machine, over a connection that is opened for the first; false where it is known not to arrive. */
    boolean send(String to, byte[] message);

    /** Sends a message back on the connection that a subscriber opened; false where it is known not to arrive, or where too much waits there already. */
    boolean reply(String to, byte[] message);

    /** Ends the connection that was opened to a control machine; nobody is told here. */
    void leave(String to);

    /** Ends the connection that a subscriber opened; nobody is told here. */
    void drop(String from);
}
