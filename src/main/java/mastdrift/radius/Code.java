package mastdrift.radius;

/** The codes of packets that the gateway carries. */
public enum Code {
    /** RFC 2865, 4.1. */
    ACCESS_REQUEST(1),
    /** RFC 2865, 4.2. */
    ACCESS_ACCEPT(2),
    /** RFC 2865, 4.3. */
    ACCESS_REJECT(3),
    /** RFC 2866, 4.1. */
    ACCOUNTING_REQUEST(4),
    /** RFC 2866, 4.2. */
    ACCOUNTING_RESPONSE(5),
    /** RFC 2865, 4.4. */
    ACCESS_CHALLENGE(11),
    /** RFC 5997. */
    STATUS_SERVER(12);

    private static final Code[] BY_NUMBER = new Code[256];

    static {
        for (Code code : values()) {
            BY_NUMBER[code.number] = code;
        }
    }

    private final int number;

    Code(int number) {
        this.number = number;
    }

    /** As in the first byte of a packet. */
    public int number() {
        return number;
    }

    /** Null for a number that the gateway doesn't carry; 0 to 255. */
    public static Code of(int number) {
        return BY_NUMBER[number];
    }

    /** Whether a packet of this code asks for an answer. */
    public boolean asks() {
        return this == ACCESS_REQUEST || this == ACCOUNTING_REQUEST || this == STATUS_SERVER;
    }

    /** Whether this answers a packet of the other code (RFC 2865, 2; RFC 2866, 2; RFC 5997, 4.2 and 4.3). */
    public boolean answers(Code asked) {
        return switch (asked) {
            case ACCESS_REQUEST -> this == ACCESS_ACCEPT || this == ACCESS_REJECT || this == ACCESS_CHALLENGE;
            case ACCOUNTING_REQUEST -> this == ACCOUNTING_RESPONSE;
            case STATUS_SERVER -> this == ACCESS_ACCEPT || this == ACCOUNTING_RESPONSE;
            default -> false;
        };
    }
}
