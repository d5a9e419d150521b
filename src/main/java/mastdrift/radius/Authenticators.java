package mastdrift.radius;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * What proves who sent a packet: Request and Response Authenticators (RFC 2865, 3; RFC 2866, 3) and the Message-Authenticator
 * (RFC 2869, 5.14; RFC 3579, 3.2). Comparisons take the same time wherever two values differ. One instance a secret, and one
 * thread at a time.
 */
public final class Authenticators {

    /** Bytes that a Message-Authenticator takes in a packet. */
    public static final int MESSAGE_BYTES = 2 + Packet.AUTHENTICATOR;

    private static final byte[] ZEROS = new byte[Packet.AUTHENTICATOR];

    private final byte[] secret;
    private final MessageDigest md5;
    private final Mac mac;

    /** With a shared secret of one byte at least, which is copied. */
    public Authenticators(byte[] secret) {
        if (secret.length == 0) {
            throw new IllegalArgumentException("expected a secret of one byte at least");
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

    /** The digest of the parts and the secret behind them, as RADIUS hides and signs with. */
    byte[] digest(byte[]... parts) {
        for (byte[] part : parts) {
            md5.update(part);
        }
        return md5.digest(secret);
    }

    /** MD5 of the secret and then the parts: the keystream of hidden attributes. */
    byte[] keystream(byte[]... parts) {
        md5.update(secret);
        for (byte[] part : parts) {
            md5.update(part);
        }
        return md5.digest();
    }

    // ---- requests

    /** Signs a request for its way on: an accounting request by its Request Authenticator (RFC 2866, 3), any other by a
        Message-Authenticator, put first (as those advise who found the forgery without it), with the authenticator given. */
    public Packet signRequest(Packet request) {
        if (request.code() == Code.ACCOUNTING_REQUEST) {
            Packet blank = new Packet(request.code(), request.identifier(), ZEROS, request.attributes());
            return new Packet(request.code(), request.identifier(), digest(blank.write()), request.attributes());
        }
        return withMessageAuthenticator(request, request.authenticator());
    }

    /** Whether a request is signed as its code wants; without a Message-Authenticator where {@code needed} it isn't, nor with
        one that is wrong, odd or twice there. */
    public boolean signed(Packet request, boolean needed) {
        if (request.code() == Code.ACCOUNTING_REQUEST) {
            Packet blank = new Packet(request.code(), request.identifier(), ZEROS, request.attributes());
            return MessageDigest.isEqual(digest(blank.write()), request.authenticator())
                    && messageSigned(request, ZEROS, false);
        }
        boolean always = needed || request.code() == Code.STATUS_SERVER || request.count(Attribute.EAP_MESSAGE) > 0;
        return messageSigned(request, request.authenticator(), always);
    }

    // ---- answers

    /** Signs an answer to a request that had this authenticator, with a Message-Authenticator in it where one is wanted. */
    public Packet signAnswer(Packet answer, byte[] asked, boolean message) {
        Packet signed = message ? withMessageAuthenticator(answer, asked) : answer;
        Packet blank = new Packet(signed.code(), signed.identifier(), asked, signed.attributes());
        return new Packet(signed.code(), signed.identifier(), digest(blank.write()), signed.attributes());
    }

    /** Whether an answer is signed for a request that had this authenticator: the Response Authenticator always, the
        Message-Authenticator where there is one, or where {@code needed}. */
    public boolean answers(Packet answer, byte[] asked, boolean needed) {
        Packet blank = new Packet(answer.code(), answer.identifier(), asked, answer.attributes());
        return MessageDigest.isEqual(digest(blank.write()), answer.authenticator())
                && messageSigned(answer, asked, needed || answer.count(Attribute.EAP_MESSAGE) > 0);
    }

    // ---- the Message-Authenticator

    private Packet withMessageAuthenticator(Packet packet, byte[] authenticator) {
        List<Attribute> attributes = new ArrayList<>();
        attributes.add(new Attribute(Attribute.MESSAGE_AUTHENTICATOR, ZEROS));
        packet.attributes().stream().filter(a -> a.type() != Attribute.MESSAGE_AUTHENTICATOR).forEach(attributes::add);
        Packet blank = new Packet(packet.code(), packet.identifier(), authenticator, attributes);
        attributes.set(0, new Attribute(Attribute.MESSAGE_AUTHENTICATOR, mac.doFinal(blank.write())));
        return new Packet(packet.code(), packet.identifier(), packet.authenticator(), attributes);
    }

    private boolean messageSigned(Packet packet, byte[] authenticator, boolean needed) {
        int count = packet.count(Attribute.MESSAGE_AUTHENTICATOR);
        if (count == 0) {
            return !needed;
        }
        byte[] given = packet.first(Attribute.MESSAGE_AUTHENTICATOR);
        if (count > 1 || given.length != Packet.AUTHENTICATOR) {
            return false;
        }
        List<Attribute> blank = packet.attributes().stream().map(a -> a.type() == Attribute.MESSAGE_AUTHENTICATOR
                ? new Attribute(a.type(), ZEROS) : a).toList();
        byte[] own = mac.doFinal(new Packet(packet.code(), packet.identifier(), authenticator, blank).write());
        return MessageDigest.isEqual(own, given);
    }
}
