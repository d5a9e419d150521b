package mastdrift.peers.edge;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Message authentication codes of one key, called signatures here and on the pages: HMAC (RFC 2104) with SHA-256, cut to 16 bytes (section 5). Not safe for use by several threads. */
final class MessageAuthenticator {

    /** Bytes of a signature. */
    static final int BYTES = 16;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    MessageAuthenticator(byte[] key) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);  // every Java has it
        }
    }

    /** A key for one connection, which both ends derive from their nonces. */
    MessageAuthenticator derived(byte[]... from) {
        return new MessageAuthenticator(whole(from));
    }

    byte[] sign(byte[]... parts) {
        return Arrays.copyOf(whole(parts), BYTES);
    }

    /** Of a message that has its place in its connection. */
    byte[] sign(long number, byte[]... parts) {
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(number).array());
        return sign(parts);
    }

    private byte[] whole(byte[]... parts) {
        for (byte[] part : parts) {
            mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());  // or two parts could trade bytes
            mac.update(part);
        }
        return mac.doFinal();
    }

    /** In constant time. */
    static boolean same(byte[] one, byte[] other) {
        return MessageDigest.isEqual(one, other);
    }
}
