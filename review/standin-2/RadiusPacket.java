import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** A RADIUS packet (RFC 2865, RFC 2866) with its authenticators (RFC 2869, 5.14). */
final class RadiusPacket {

    static final int ACCESS_REQUEST = 1;
    static final int ACCESS_ACCEPT = 2;
    static final int ACCESS_REJECT = 3;
    static final int ACCOUNTING_REQUEST = 4;
    static final int ACCOUNTING_RESPONSE = 5;
    static final int ACCESS_CHALLENGE = 11;
    static final int STATUS_SERVER = 12;
    static final int USER_NAME = 1;
    static final int STATE = 24;
    static final int NAS_IDENTIFIER = 32;
    static final int PROXY_STATE = 33;
    static final int ACCT_STATUS_TYPE = 40;
    static final int ACCT_SESSION_ID = 44;
    static final int EAP_MESSAGE = 79;
    static final int MESSAGE_AUTHENTICATOR = 80;

    /** An attribute. */
    record Attribute(int type, byte[] value) {
        static Attribute text(int type, String text) {
            return new Attribute(type, text.getBytes(StandardCharsets.UTF_8));
        }

        static Attribute number(int type, int number) {
            return new Attribute(type, ByteBuffer.allocate(4).putInt(number).array());
        }
    }

    final int code;
    final int identifier;
    final byte[] authenticator;
    final List<Attribute> attributes;

    RadiusPacket(int code, int identifier, byte[] authenticator, List<Attribute> attributes) {
        this.code = code;
        this.identifier = identifier;
        this.authenticator = authenticator;
        this.attributes = List.copyOf(attributes);
    }

    static RadiusPacket decode(byte[] bytes, int length) {
        ByteBuffer in = ByteBuffer.wrap(bytes, 0, length);
        int code = in.get() & 0xFF;
        int identifier = in.get() & 0xFF;
        in.limit(Math.min(length, in.getShort() & 0xFFFF));
        byte[] authenticator = new byte[16];
        in.get(authenticator);
        List<Attribute> attributes = new ArrayList<>();
        while (in.remaining() >= 2) {
            int type = in.get() & 0xFF;
            byte[] value = new byte[(in.get() & 0xFF) - 2];
            in.get(value);
            attributes.add(new Attribute(type, value));
        }
        return new RadiusPacket(code, identifier, authenticator, attributes);
    }

    byte[] first(int type) {
        return attributes.stream().filter(each -> each.type == type).map(Attribute::value).findFirst().orElse(null);
    }

    String text(int type) {
        byte[] value = first(type);
        return value == null ? "" : new String(value, StandardCharsets.UTF_8);
    }

    private static byte[] encode(int code, int identifier, byte[] authenticator, List<Attribute> attributes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Attribute each : attributes) {
            out.write(each.type);
            out.write(each.value.length + 2);
            out.writeBytes(each.value);
        }
        byte[] body = out.toByteArray();
        return ByteBuffer.allocate(20 + body.length).put((byte) code).put((byte) identifier).putShort((short) (20 + body.length)).put(authenticator).put(body).array();
    }

    /** A signed request of a client. */
    static byte[] request(int code, int identifier, byte[] randomAuthenticator, List<Attribute> attributes, byte[] secret) {
        if (code == ACCOUNTING_REQUEST) {
            byte[] bytes = encode(code, identifier, new byte[16], attributes);
            System.arraycopy(md5(bytes, secret), 0, bytes, 4, 16);
            return bytes;
        }
        List<Attribute> signed = new ArrayList<>(attributes);
        signed.add(0, new Attribute(MESSAGE_AUTHENTICATOR, new byte[16]));
        byte[] bytes = encode(code, identifier, randomAuthenticator, signed);
        System.arraycopy(hmac(bytes, secret), 0, bytes, 22, 16);
        return bytes;
    }

    /** A signed response to this request, with its Proxy-State attributes. */
    byte[] response(int responseCode, List<Attribute> responseAttributes, byte[] secret) {
        List<Attribute> all = new ArrayList<>();
        if (responseCode != ACCOUNTING_RESPONSE) {
            all.add(new Attribute(MESSAGE_AUTHENTICATOR, new byte[16]));
        }
        all.addAll(responseAttributes);
        attributes.stream().filter(each -> each.type == PROXY_STATE).forEach(all::add);
        byte[] bytes = encode(responseCode, identifier, authenticator, all);
        if (responseCode != ACCOUNTING_RESPONSE) {
            System.arraycopy(hmac(bytes, secret), 0, bytes, 22, 16);
        }
        System.arraycopy(md5(bytes, secret), 0, bytes, 4, 16);
        return bytes;
    }

    /** What tells a retransmission from another request (RFC 5080, 2.2.2), beside the source. */
    String identity() {
        return code + "/" + identifier + "/" + Arrays.toString(authenticator);
    }

    private static byte[] md5(byte[] first, byte[] second) {
        try {
            MessageDigest digest = MessageDigest.getInstance("MD5");
            digest.update(first);
            return digest.digest(second);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] hmac(byte[] bytes, byte[] secret) {
        try {
            Mac mac = Mac.getInstance("HmacMD5");
            mac.init(new SecretKeySpec(secret, "HmacMD5"));
            return mac.doFinal(bytes);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
