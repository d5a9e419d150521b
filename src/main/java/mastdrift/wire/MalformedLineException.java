package mastdrift.wire;

/** A line of the simulator's protocol, or a setting in it, that can't be parsed or used. */
final class MalformedLineException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    MalformedLineException(String line, String expected) {
        super("malformed line: \"" + line + "\": expected " + expected);
    }
}
