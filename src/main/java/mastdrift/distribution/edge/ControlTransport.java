package mastdrift.distribution.edge;

/**
 * Connections to other processes that carry configuration messages. All methods are called on the event loop's thread
 * and none blocks.
 */
public interface ControlTransport {

    /**
     * Sends a message to a control machine, opening the connection if there is none; returns false if the message is
     * known not to arrive.
     */
    boolean send(String machine, byte[] message);

    /**
     * Sends a message back on the connection that a subscriber opened; returns false if it is known not to arrive or if
     * the send buffer is full.
     */
    boolean reply(String subscriber, byte[] message);

    /** Closes the connection that was opened to a control machine; no close callback follows. */
    void closeOutbound(String machine);

    /** Closes the connection that a subscriber opened; no close callback follows. */
    void closeInbound(String subscriber);
}
