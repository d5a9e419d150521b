package mastdrift.wire;

/** A line of the wire, or a setting in it, that can't be read or run with. */
final class MalformedLineException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    MalformedLineException(String line, String expected) {
        super("malformed line: \"" + line + "\": expected " + expected);
    }
}
