package mastdrift.distribution;

/**
 * Thrown when a delta does not fit a table: it starts at another revision, or its result does not have the stated hash.
 * The table is unchanged.
 */
public final class MismatchException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the place, the expected and the actual value. */
    public MismatchException(String message) {
        super(message);
    }
}
