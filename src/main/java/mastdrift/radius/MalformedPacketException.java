package mastdrift.radius;

/** Bytes that are no packet; the message tells why, without any of their content. */
public final class MalformedPacketException extends Exception {

    private static final long serialVersionUID = 1;

    MalformedPacketException(String message) {
        super(message, null, false, false);  // no stack trace: whoever floods with them must not make each cost one
    }
}
