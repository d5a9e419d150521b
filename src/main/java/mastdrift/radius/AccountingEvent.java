package mastdrift.radius;

import java.util.Arrays;

/**
 * Identifies the event that an Accounting-Request reports, to detect duplicates. It is the same for a retransmission
 * with a new identifier, which a client sends when it increments Acct-Delay-Time (RFC 2866, 5.2; RFC 5080, 2.2.1).
 *
 * <p>Start and Stop occur once per session and are identified by NAS, Acct-Session-Id and Acct-Status-Type. Interim
 * updates are further distinguished by Acct-Session-Time. An interim update without it, and Accounting-On and
 * Accounting-Off, which have no session, are identified by all attributes except Acct-Delay-Time, Message-Authenticator
 * and Proxy-State.
 */
public final class AccountingEvent {

    private static final int START = 1;
    private static final int STOP = 2;
    private static final int INTERIM = 3;

    private final byte[] content;
    private final int hash;

    private AccountingEvent(byte[] content) {
        this.content = content;
        hash = Arrays.hashCode(content);
    }

    /**
     * The event of an Accounting-Request from the client with this address. The address is part of the identity, since
     * two clients may use the same NAS identification.
     */
    public static AccountingEvent of(byte[] clientAddress, Packet request) {
        byte[] content = append(new byte[0], 0, clientAddress);
        byte[] status = request.firstValue(Attribute.ACCT_STATUS_TYPE);
        byte[] sessionId = request.firstValue(Attribute.ACCT_SESSION_ID);
        int statusType = status != null && status.length == 4 ? status[3] & 0xFF : 0;
        byte[] sessionTime = request.firstValue(Attribute.ACCT_SESSION_TIME);
        boolean identifiedBySession = sessionId != null
                && (statusType == START || statusType == STOP || statusType == INTERIM && sessionTime != null);
        for (Attribute attribute : request.attributes()) {
            boolean included = switch (attribute.type()) {
                case Attribute.NAS_IP_ADDRESS, Attribute.NAS_IPV6_ADDRESS, Attribute.NAS_IDENTIFIER,
                        Attribute.ACCT_STATUS_TYPE, Attribute.ACCT_SESSION_ID -> true;
                case Attribute.ACCT_SESSION_TIME -> !identifiedBySession || statusType == INTERIM;
                case Attribute.ACCT_DELAY_TIME, Attribute.PROXY_STATE, Attribute.MESSAGE_AUTHENTICATOR -> false;
                default -> !identifiedBySession;
            };
            if (included) {
                content = append(content, attribute.type(), attribute.value());
            }
        }
        return new AccountingEvent(content);
    }

    /** Appends an attribute to the content. The type and length before the value make the encoding unambiguous. */
    private static byte[] append(byte[] content, int type, byte[] value) {
        byte[] longer = Arrays.copyOf(content, content.length + 2 + value.length);
        longer[content.length] = (byte) type;
        longer[content.length + 1] = (byte) value.length;
        System.arraycopy(value, 0, longer, content.length + 2, value.length);
        return longer;
    }

    /** Key for routes and the decision module; equal events have equal keys. */
    public long routingKey() {
        long hash64 = 0xCBF29CE484222325L;  // FNV-1a
        for (byte each : content) {
            hash64 = (hash64 ^ each & 0xFF) * 0x100000001B3L;
        }
        return hash64;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AccountingEvent event && Arrays.equals(content, event.content);
    }

    @Override
    public int hashCode() {
        return hash;
    }

    /** Omits the content, since it contains data about the user. */
    @Override
    public String toString() {
        return "effect " + Integer.toHexString(hash);
    }
}
