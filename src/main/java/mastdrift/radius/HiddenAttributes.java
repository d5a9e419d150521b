package mastdrift.radius;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Attributes that are hidden with the secret of a hop, and hidden anew for the next: User-Password (RFC 2865, 5.2),
 * Tunnel-Password (RFC 2868, 3.5) and the MS-MPPE keys (RFC 2548, 2.4.2 and 2.4.3). The others are left as they are, in their
 * places. All three are a keystream of MD5 digests, each block's from the one before, so that hiding anew needs no more than
 * both secrets and authenticators; what is hidden isn't looked into.
 */
public final class HiddenAttributes {

    private static final int BLOCK = 16;
    private static final int SALT = 2;
    private static final int MICROSOFT = 311;
    private static final int MPPE_SEND_KEY = 16;
    private static final int MPPE_RECV_KEY = 17;
    private static final int VENDOR_HEAD = 6;  // the vendor's number, its type and its length

    private HiddenAttributes() { }

    /** One hop: its secret, and the Request Authenticator of the request on it. */
    public record Hop(Authenticators secret, byte[] authenticator) { }

    /** The attributes of a packet from one hop as they have to be on the other, in a list that the caller may change; null
        where a hidden value is none by its length. */
    public static List<Attribute> anew(List<Attribute> attributes, Hop from, Hop to) {
        List<Attribute> anew = new ArrayList<>(attributes.size());
        for (Attribute attribute : attributes) {
            Attribute changed = anew(attribute, from, to);
            if (changed == null) {
                return null;
            }
            anew.add(changed);
        }
        return anew;
    }

    private static Attribute anew(Attribute attribute, Hop from, Hop to) {
        byte[] value = attribute.value();
        return switch (attribute.type()) {
            case Attribute.USER_PASSWORD -> value.length < BLOCK || value.length > 128 || value.length % BLOCK != 0 ? null
                    : new Attribute(attribute.type(), anew(value, 0, 0, from, to));
            case Attribute.TUNNEL_PASSWORD -> salted(attribute, 1, from, to);
            case Attribute.VENDOR_SPECIFIC -> microsoftKey(value) ? salted(attribute, VENDOR_HEAD, from, to) : attribute;
            default -> attribute;
        };
    }

    private static boolean microsoftKey(byte[] value) {
        return value.length > VENDOR_HEAD && value[0] == 0 && value[1] == 0
                && ((value[2] & 0xFF) << 8 | value[3] & 0xFF) == MICROSOFT
                && (value[4] == MPPE_SEND_KEY || value[4] == MPPE_RECV_KEY) && (value[5] & 0xFF) == value.length - 4;
    }

    /** A salt of two bytes goes ahead of the blocks, and into the first digest; it stays, being random already. */
    private static Attribute salted(Attribute attribute, int head, Hop from, Hop to) {
        int hidden = attribute.value().length - head - SALT;
        return hidden < BLOCK || hidden % BLOCK != 0 ? null
                : new Attribute(attribute.type(), anew(attribute.value(), head + SALT, SALT, from, to));
    }

    /** From {@code at} on in blocks; {@code salt} bytes before that are part of the first digest. */
    private static byte[] anew(byte[] value, int at, int salt, Hop from, Hop to) {
        byte[] result = value.clone();
        byte[] saltBytes = Arrays.copyOfRange(value, at - salt, at);
        byte[] fromKey = from.secret.keystream(from.authenticator, saltBytes);
        byte[] toKey = to.secret.keystream(to.authenticator, saltBytes);
        for (int block = at; block < value.length; block += BLOCK) {
            for (int i = 0; i < BLOCK; i++) {
                result[block + i] = (byte) (value[block + i] ^ fromKey[i] ^ toKey[i]);
            }
            fromKey = from.secret.keystream(Arrays.copyOfRange(value, block, block + BLOCK));
            toKey = to.secret.keystream(Arrays.copyOfRange(result, block, block + BLOCK));
        }
        return result;
    }
}
