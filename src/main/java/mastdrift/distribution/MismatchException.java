package mastdrift.distribution;

/** A delta that doesn't fit the table that it was given to: it begins elsewhere, or what comes out isn't what it says. The table is as it was. */
public final class MismatchException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** With place, expected and found. */
    public MismatchException(String message) {
        super(message);
    }
}
