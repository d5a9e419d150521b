package mastdrift.radius;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Re-encrypts attributes that are hidden with the shared secret of one hop for the next hop: User-Password (RFC 2865,
 * 5.2), Tunnel-Password (RFC 2868, 3.5) and the MS-MPPE keys (RFC 2548, 2.4.2 and 2.4.3). All other attributes stay
 * unchanged and in their places. All three formats XOR the value with a keystream of MD5 digests, each block's
 * keystream derived from the previous ciphertext block, so re-encryption needs only both secrets and authenticators;
 * the plaintext is never interpreted.
 */
public final class HiddenAttributes {

    private static final int BLOCK_BYTES = 16;
    private static final int SALT_BYTES = 2;
    private static final int MICROSOFT_VENDOR_ID = 311;
    private static final int MPPE_SEND_KEY = 16;
    private static final int MPPE_RECV_KEY = 17;
    private static final int VENDOR_HEADER_BYTES = 6;  // vendor id, vendor type and vendor length

    private HiddenAttributes() { }

    /** One hop: the authenticators of its shared secret, and the Request Authenticator of the request on that hop. */
    public record Hop(Authenticators authenticators, byte[] requestAuthenticator) { }

    /**
     * Returns the attributes of a packet received on one hop, re-encrypted for another, in a modifiable list; null if a
     * hidden value has an invalid length.
     */
    public static List<Attribute> reencrypt(List<Attribute> attributes, Hop from, Hop to) {
        List<Attribute> reencrypted = new ArrayList<>(attributes.size());
        for (Attribute attribute : attributes) {
            Attribute changed = reencrypt(attribute, from, to);
            if (changed == null) {
                return null;
            }
            reencrypted.add(changed);
        }
        return reencrypted;
    }

    private static Attribute reencrypt(Attribute attribute, Hop from, Hop to) {
        byte[] value = attribute.value();
        return switch (attribute.type()) {
            case Attribute.USER_PASSWORD -> value.length < BLOCK_BYTES || value.length > 128
                    || value.length % BLOCK_BYTES != 0 ? null
                    : new Attribute(attribute.type(), reencrypt(value, 0, 0, from, to));
            case Attribute.TUNNEL_PASSWORD -> reencryptSalted(attribute, 1, from, to);
            case Attribute.VENDOR_SPECIFIC -> isMppeKey(value)
                    ? reencryptSalted(attribute, VENDOR_HEADER_BYTES, from, to) : attribute;
            default -> attribute;
        };
    }

    private static boolean isMppeKey(byte[] value) {
        return value.length > VENDOR_HEADER_BYTES && value[0] == 0 && value[1] == 0
                && ((value[2] & 0xFF) << 8 | value[3] & 0xFF) == MICROSOFT_VENDOR_ID
                && (value[4] == MPPE_SEND_KEY || value[4] == MPPE_RECV_KEY) && (value[5] & 0xFF) == value.length - 4;
    }

    /**
     * Re-encrypts a value with a salt of two bytes before its blocks. The salt is input to the first digest; it is
     * random already and is kept.
     */
    private static Attribute reencryptSalted(Attribute attribute, int headerLength, Hop from, Hop to) {
        int hiddenLength = attribute.value().length - headerLength - SALT_BYTES;
        return hiddenLength < BLOCK_BYTES || hiddenLength % BLOCK_BYTES != 0 ? null
                : new Attribute(attribute.type(),
                        reencrypt(attribute.value(), headerLength + SALT_BYTES, SALT_BYTES, from, to));
    }

    /**
     * Re-encrypts the blocks from {@code offset} on; the {@code saltLength} bytes before them are part of the first
     * digest.
     */
    private static byte[] reencrypt(byte[] value, int offset, int saltLength, Hop from, Hop to) {
        byte[] result = value.clone();
        byte[] saltBytes = Arrays.copyOfRange(value, offset - saltLength, offset);
        byte[] fromKey = from.authenticators.keystreamBlock(from.requestAuthenticator, saltBytes);
        byte[] toKey = to.authenticators.keystreamBlock(to.requestAuthenticator, saltBytes);
        for (int block = offset; block < value.length; block += BLOCK_BYTES) {
            for (int i = 0; i < BLOCK_BYTES; i++) {
                result[block + i] = (byte) (value[block + i] ^ fromKey[i] ^ toKey[i]);
            }
            fromKey = from.authenticators.keystreamBlock(Arrays.copyOfRange(value, block, block + BLOCK_BYTES));
            toKey = to.authenticators.keystreamBlock(Arrays.copyOfRange(result, block, block + BLOCK_BYTES));
        }
        return result;
    }
}
