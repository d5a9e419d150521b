package mastdrift.radius;

/** Packet codes that the gateway supports. */
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

    /** The value of the code field, the first byte of a packet. */
    public int number() {
        return number;
    }

    /** The code for a number from 0 to 255, or null if the gateway does not support it. */
    public static Code fromNumber(int number) {
        return BY_NUMBER[number];
    }

    /** Whether a packet of this code is a request. */
    public boolean isRequest() {
        return this == ACCESS_REQUEST || this == ACCOUNTING_REQUEST || this == STATUS_SERVER;
    }

    /**
     * Whether this code is a valid response to a request of the other code (RFC 2865, 2; RFC 2866, 2; RFC 5997, 4.2 and
     * 4.3).
     */
    public boolean isResponseTo(Code request) {
        return switch (request) {
            case ACCESS_REQUEST -> this == ACCESS_ACCEPT || this == ACCESS_REJECT || this == ACCESS_CHALLENGE;
            case ACCOUNTING_REQUEST -> this == ACCOUNTING_RESPONSE;
            case STATUS_SERVER -> this == ACCESS_ACCEPT || this == ACCOUNTING_RESPONSE;
            default -> false;
        };
    }
}
