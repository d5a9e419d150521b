package mastdrift.radius;

/** Thrown when a datagram is not a valid packet. The message says why, without any of the packet's content. */
public final class MalformedPacketException extends Exception {

    private static final long serialVersionUID = 1;

    MalformedPacketException(String message) {
        // no stack trace, so that a flood of malformed packets does not cost one each
        super(message, null, false, false);
    }
}
