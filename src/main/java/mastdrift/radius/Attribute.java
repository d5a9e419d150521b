package mastdrift.radius;

import java.util.Arrays;

/**
 * An attribute as encoded in a packet: its type and the raw bytes of its value (RFC 2865, 5). The value is not copied
 * and must not be modified.
 */
public record Attribute(int type, byte[] value) {

    /** Types that the gateway reads or changes; all others are forwarded unchanged. This one: RFC 2865, 5.2. */
    public static final int USER_PASSWORD = 2;
    /** RFC 2865, 5.3. */
    public static final int CHAP_PASSWORD = 3;
    /** RFC 2865, 5.4. */
    public static final int NAS_IP_ADDRESS = 4;
    /** RFC 2865, 5.24. */
    public static final int STATE = 24;
    /** RFC 2865, 5.26. */
    public static final int VENDOR_SPECIFIC = 26;
    /** RFC 2865, 5.32. */
    public static final int NAS_IDENTIFIER = 32;
    /** RFC 2865, 5.33. */
    public static final int PROXY_STATE = 33;
    /** RFC 2866, 5.1. */
    public static final int ACCT_STATUS_TYPE = 40;
    /** RFC 2866, 5.2. */
    public static final int ACCT_DELAY_TIME = 41;
    /** RFC 2866, 5.5. */
    public static final int ACCT_SESSION_ID = 44;
    /** RFC 2866, 5.7. */
    public static final int ACCT_SESSION_TIME = 46;
    /** RFC 2865, 5.40. */
    public static final int CHAP_CHALLENGE = 60;
    /** RFC 2868, 3.5. */
    public static final int TUNNEL_PASSWORD = 69;
    /** RFC 2869, 5.13; RFC 3579, 3.1. */
    public static final int EAP_MESSAGE = 79;
    /** RFC 2869, 5.14; RFC 3579, 3.2. */
    public static final int MESSAGE_AUTHENTICATOR = 80;
    /** RFC 3162, 2.1. */
    public static final int NAS_IPV6_ADDRESS = 95;

    /** Maximum length of a value: the length field is one byte and includes the type and length bytes. */
    public static final int MAX_VALUE_BYTES = 253;

    /** Throws IllegalArgumentException if the type is not in 0 to 255 or the value is too long. */
    public Attribute {
        if (type < 0 || type > 255 || value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("expected a type of 0 to 255 and at most " + MAX_VALUE_BYTES
                    + " bytes, found type "
                    + type + " and " + value.length + " bytes");
        }
    }

    /** Compares type and content. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Attribute attribute && type == attribute.type && Arrays.equals(value, attribute.value);
    }

    @Override
    public int hashCode() {
        return 31 * type + Arrays.hashCode(value);
    }

    /** Type and length only, since values may be secret. */
    @Override
    public String toString() {
        return "attribute " + type + " of " + value.length + " bytes";
    }
}
