package mastdrift.radius;

import java.util.Arrays;

/**
 * What an accounting request would do at a server: the same for a resend with a new identifier, which a charger makes where
 * it counts Acct-Delay-Time up (RFC 2866, 5.2; RFC 5080, 2.2.1).
 *
 * <p>Start and Stop are once a session: NAS, Acct-Session-Id and Acct-Status-Type. An interim update is told from the next one
 * by Acct-Session-Time; one without it, and Accounting-On and Off, which have no session, by all else that they hold but the
 * delay, the authenticators and Proxy-State.
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

    /** Of an accounting request from a client, by its address: two clients may name themselves alike. */
    public static AccountingEvent of(byte[] client, Packet request) {
        byte[] content = with(new byte[0], 0, client);
        byte[] status = request.first(Attribute.ACCT_STATUS_TYPE);
        byte[] session = request.first(Attribute.ACCT_SESSION_ID);
        int type = status != null && status.length == 4 ? status[3] & 0xFF : 0;
        byte[] time = request.first(Attribute.ACCT_SESSION_TIME);
        boolean bySession = session != null && (type == START || type == STOP || type == INTERIM && time != null);
        for (Attribute attribute : request.attributes()) {
            boolean counts = switch (attribute.type()) {
                case Attribute.NAS_IP_ADDRESS, Attribute.NAS_IPV6_ADDRESS, Attribute.NAS_IDENTIFIER,
                        Attribute.ACCT_STATUS_TYPE, Attribute.ACCT_SESSION_ID -> true;
                case Attribute.ACCT_SESSION_TIME -> !bySession || type == INTERIM;
                case Attribute.ACCT_DELAY_TIME, Attribute.PROXY_STATE, Attribute.MESSAGE_AUTHENTICATOR -> false;
                default -> !bySession;
            };
            if (counts) {
                content = with(content, attribute.type(), attribute.value());
            }
        }
        return new AccountingEvent(content);
    }

    /** The content so far, with one attribute more: its type and length ahead, so that no two contents look alike. */
    private static byte[] with(byte[] content, int type, byte[] value) {
        byte[] longer = Arrays.copyOf(content, content.length + 2 + value.length);
        longer[content.length] = (byte) type;
        longer[content.length + 1] = (byte) value.length;
        System.arraycopy(value, 0, longer, content.length + 2, value.length);
        return longer;
    }

    /** As a key for routes and the module; equal effects have equal keys. */
    public long key() {
        long hash64 = 0xCBF29CE484222325L;  // FNV-1a
        for (byte each : content) {
            hash64 = (hash64 ^ each & 0xFF) * 0x100000001B3L;
        }
        return hash64;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AccountingEvent effect && Arrays.equals(content, effect.content);
    }

    @Override
    public int hashCode() {
        return hash;
    }

    /** Without content: it tells of a driver. */
    @Override
    public String toString() {
        return "effect " + Integer.toHexString(hash);
    }
}
