package mastdrift.peers.edge;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Message authentication codes under one key, called signatures here: HMAC (RFC 2104) with SHA-256, truncated to 16
 * bytes (section 5). Not thread-safe.
 */
final class MessageAuthenticator {

    /** Length of a signature. */
    static final int SIGNATURE_BYTES = 16;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    MessageAuthenticator(byte[] key) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);  // every Java platform has HmacSHA256
        }
    }

    /** Derives the key of one connection from the nonces of both ends. */
    MessageAuthenticator deriveKey(byte[]... nonces) {
        return new MessageAuthenticator(fullMac(nonces));
    }

    byte[] sign(byte[]... parts) {
        return Arrays.copyOf(fullMac(parts), SIGNATURE_BYTES);
    }

    /** Signs a message with its sequence number in the connection. */
    byte[] sign(long sequence, byte[]... parts) {
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequence).array());
        return sign(parts);
    }

    private byte[] fullMac(byte[]... parts) {
        for (byte[] part : parts) {
            // without lengths, bytes could be moved from one part to the next unnoticed
            mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
            mac.update(part);
        }
        return mac.doFinal();
    }

    /** Compares in constant time. */
    static boolean signaturesEqual(byte[] first, byte[] second) {
        return MessageDigest.isEqual(first, second);
    }
}
