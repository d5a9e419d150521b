package mastdrift.radius;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes and verifies Request and Response Authenticators (RFC 2865, 3; RFC 2866, 3) and the Message-Authenticator
 * (RFC 2869, 5.14; RFC 3579, 3.2) with one shared secret. Comparisons take constant time. One instance per secret; not
 * thread-safe.
 */
public final class Authenticators {

    /** Length of a Message-Authenticator attribute in a packet, including its type and length bytes. */
    public static final int MESSAGE_AUTHENTICATOR_BYTES = 2 + Packet.AUTHENTICATOR_BYTES;

    private static final byte[] ZERO_AUTHENTICATOR = new byte[Packet.AUTHENTICATOR_BYTES];

    private final byte[] secret;
    private final MessageDigest md5;
    private final Mac mac;

    /** Copies the shared secret, which must not be empty. */
    public Authenticators(byte[] secret) {
        if (secret.length == 0) {
            throw new IllegalArgumentException("expected a secret of at least one byte");
        }
        this.secret = secret.clone();
        try {
            md5 = MessageDigest.getInstance("MD5");
            mac = Mac.getInstance("HmacMD5");
            mac.init(new SecretKeySpec(this.secret, "HmacMD5"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("expected MD5 and HmacMD5 on every Java platform", e);
        }
    }

    /** MD5 of the parts followed by the secret, as used for signatures. */
    byte[] digestWithSecret(byte[]... parts) {
        for (byte[] part : parts) {
            md5.update(part);
        }
        return md5.digest(secret);
    }

    /** MD5 of the secret followed by the parts: a keystream block for hidden attributes. */
    byte[] keystreamBlock(byte[]... parts) {
        md5.update(secret);
        for (byte[] part : parts) {
            md5.update(part);
        }
        return md5.digest();
    }

    // ---- requests

    /**
     * Signs a request to be forwarded. An Accounting-Request gets its Request Authenticator (RFC 2866, 3); any other
     * request keeps the given authenticator and gets a Message-Authenticator as its first attribute, as recommended by
     * those who discovered that responses can be forged without it.
     */
    public Packet signRequest(Packet request) {
        if (request.code() == Code.ACCOUNTING_REQUEST) {
            Packet blank = new Packet(request.code(), request.identifier(), ZERO_AUTHENTICATOR, request.attributes());
            return new Packet(request.code(), request.identifier(), digestWithSecret(blank.encode()),
                    request.attributes());
        }
        return withMessageAuthenticator(request, request.authenticator());
    }

    /**
     * Verifies a request as its code requires. Fails if the Message-Authenticator is wrong, has a wrong length or
     * occurs more than once, or if it is missing although {@code messageAuthenticatorRequired}, or required by the
     * packet's code or by an EAP-Message.
     */
    public boolean verifyRequest(Packet request, boolean messageAuthenticatorRequired) {
        if (request.code() == Code.ACCOUNTING_REQUEST) {
            Packet blank = new Packet(request.code(), request.identifier(), ZERO_AUTHENTICATOR, request.attributes());
            return MessageDigest.isEqual(digestWithSecret(blank.encode()), request.authenticator())
                    && verifyMessageAuthenticator(request, ZERO_AUTHENTICATOR, false);
        }
        boolean required = messageAuthenticatorRequired || request.code() == Code.STATUS_SERVER
                || request.count(Attribute.EAP_MESSAGE) > 0;
        return verifyMessageAuthenticator(request, request.authenticator(), required);
    }

    // ---- responses

    /**
     * Signs a response to a request with the authenticator {@code requestAuthenticator}, with a Message-Authenticator
     * if {@code addMessageAuthenticator}.
     */
    public Packet signResponse(Packet response, byte[] requestAuthenticator, boolean addMessageAuthenticator) {
        Packet signed = addMessageAuthenticator ? withMessageAuthenticator(response, requestAuthenticator) : response;
        Packet blank = new Packet(signed.code(), signed.identifier(), requestAuthenticator, signed.attributes());
        return new Packet(signed.code(), signed.identifier(), digestWithSecret(blank.encode()), signed.attributes());
    }

    /**
     * Verifies a response to a request with the authenticator {@code requestAuthenticator}: the Response Authenticator
     * always, the Message-Authenticator if it is present. Fails if it is missing although
     * {@code messageAuthenticatorRequired} or the response has an EAP-Message.
     */
    public boolean verifyResponse(Packet response, byte[] requestAuthenticator, boolean messageAuthenticatorRequired) {
        Packet blank = new Packet(response.code(), response.identifier(), requestAuthenticator, response.attributes());
        return MessageDigest.isEqual(digestWithSecret(blank.encode()), response.authenticator())
                && verifyMessageAuthenticator(response, requestAuthenticator,
                        messageAuthenticatorRequired || response.count(Attribute.EAP_MESSAGE) > 0);
    }

    // ---- the Message-Authenticator

    private Packet withMessageAuthenticator(Packet packet, byte[] authenticator) {
        List<Attribute> attributes = new ArrayList<>();
        attributes.add(new Attribute(Attribute.MESSAGE_AUTHENTICATOR, ZERO_AUTHENTICATOR));
        packet.attributes().stream().filter(a -> a.type() != Attribute.MESSAGE_AUTHENTICATOR).forEach(attributes::add);
        Packet blank = new Packet(packet.code(), packet.identifier(), authenticator, attributes);
        attributes.set(0, new Attribute(Attribute.MESSAGE_AUTHENTICATOR, mac.doFinal(blank.encode())));
        return new Packet(packet.code(), packet.identifier(), packet.authenticator(), attributes);
    }

    private boolean verifyMessageAuthenticator(Packet packet, byte[] authenticator, boolean required) {
        int count = packet.count(Attribute.MESSAGE_AUTHENTICATOR);
        if (count == 0) {
            return !required;
        }
        byte[] received = packet.firstValue(Attribute.MESSAGE_AUTHENTICATOR);
        if (count > 1 || received.length != Packet.AUTHENTICATOR_BYTES) {
            return false;
        }
        List<Attribute> blank = packet.attributes().stream().map(a -> a.type() == Attribute.MESSAGE_AUTHENTICATOR
                ? new Attribute(a.type(), ZERO_AUTHENTICATOR) : a).toList();
        byte[] expected = mac.doFinal(new Packet(packet.code(), packet.identifier(), authenticator, blank).encode());
        return MessageDigest.isEqual(expected, received);
    }
}
