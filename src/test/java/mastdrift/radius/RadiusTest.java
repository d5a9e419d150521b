package mastdrift.radius;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.aaa4j.radius.core.attribute.StringData;
import org.aaa4j.radius.core.attribute.TextData;
import org.aaa4j.radius.core.attribute.attributes.MessageAuthenticator;
import org.aaa4j.radius.core.attribute.attributes.UserName;
import org.aaa4j.radius.core.attribute.attributes.UserPassword;
import org.aaa4j.radius.core.dictionary.dictionaries.StandardDictionary;
import org.aaa4j.radius.core.packet.PacketCodec;
import org.aaa4j.radius.core.packet.packets.AccessAccept;
import org.aaa4j.radius.core.packet.packets.AccessRequest;
import org.aaa4j.radius.core.packet.packets.AccountingRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Packets, authenticators and hidden attributes, against the examples of the RFCs and against an independent codec.
 */
class RadiusTest {

    private static final byte[] SECRET = "xyzzy5461".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] OTHER_SECRET = "another secret".getBytes(StandardCharsets.US_ASCII);
    private static final PacketCodec REFERENCE_CODEC = new PacketCodec(new StandardDictionary());

    private final Authenticators authenticators = new Authenticators(SECRET);

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    /** RFC 2865, 7.1: a Telnet user, the request and the response, byte for byte. */
    private static final String REQUEST = "01 00 00 38 0f 40 3f 94 73 97 80 57 bd 83 d5 cb 98 f4 22 7a 01 06 6e 65 6d 6f 02 12"
            + "0d be 70 8d 93 d4 13 ce 31 96 e4 3f 78 2a 0a ee 04 06 c0 a8 01 10 05 06 00 00 00 03";
    private static final String ACCEPT = "02 00 00 26 86 fe 22 0e 76 24 ba 2a 10 05 f6 bf 9b 55 e0 b2 06 06 00 00 00 01"
            + "0f 06 00 00 00 00 0e 06 c0 a8 01 03";

    @Test
    void rfc2865ExampleIsDecodedAndVerified() throws Exception {
        Packet request = Packet.decode(hex(REQUEST));
        assertEquals(Code.ACCESS_REQUEST, request.code());
        assertArrayEquals("nemo".getBytes(StandardCharsets.US_ASCII), request.firstValue(1));
        assertArrayEquals(hex(REQUEST), request.encode());
        Packet accept = Packet.decode(hex(ACCEPT));
        assertTrue(authenticators.verifyResponse(accept, request.authenticator(), false));
        assertFalse(new Authenticators(OTHER_SECRET).verifyResponse(accept, request.authenticator(), false));
        assertFalse(authenticators.verifyResponse(accept, new byte[16], false), "the response to another request");
        assertFalse(authenticators.verifyResponse(accept, request.authenticator(), true), "no Message-Authenticator");
        Packet blank = new Packet(accept.code(), 0, new byte[16], accept.attributes());
        assertArrayEquals(hex(ACCEPT), authenticators.signResponse(blank, request.authenticator(), false).encode());
    }

    // ---- packets

    /**
     * Each kind of damage. A row: the bytes after the header, the length field, the datagram's length, and whether it
     * decodes.
     */
    @ParameterizedTest
    @CsvSource({"'', 20, 20, true", "'', 19, 20, false", "'', 0, 20, false", "'', 21, 20, false",
        "'', 65535, 20, false",
        "'0103aa', 23, 23, true", "'0103aa', 20, 23, true", "'0103aa', 22, 23, false", "'0103aa', 21, 23, false",
        "'0100', 22, 22, false", "'0101', 22, 22, false", "'0102', 22, 22, true", "'0104aa', 23, 23, false",
        "'01', 21, 21, false",
        "'01ffaa', 23, 23, false", "'0103aa0102', 25, 25, true", "'0103aa01', 24, 24, false"})
    void packetsWithInvalidLengthsAreRejected(String attributes, int length, int datagramLength,
            boolean expectedValid) {
        byte[] bytes = Arrays.copyOf(hex("01 07 0000" + "00".repeat(16) + attributes), datagramLength);
        bytes[2] = (byte) (length >> 8);
        bytes[3] = (byte) length;
        boolean valid = true;
        try {
            assertEquals(length, Packet.decode(bytes).length());
        } catch (MalformedPacketException e) {
            valid = false;
            assertTrue(e.getMessage().startsWith("expected "), e.getMessage());
        }
        assertEquals(expectedValid, valid);
    }

    @Test
    void packetsFromMinToMaxLengthAreDecodedAndOthersRejected() throws Exception {
        assertThrows(MalformedPacketException.class, () -> Packet.decode(new byte[0]));
        assertThrows(MalformedPacketException.class, () -> Packet.decode(new byte[19]));
        List<Attribute> many = new ArrayList<>();
        for (int i = 0; i < 15; i++) {
            many.add(new Attribute(79, new byte[253]));
        }
        many.add(new Attribute(24, new byte[249]));
        Packet longest = new Packet(Code.ACCESS_REQUEST, 1, new byte[16], many);
        assertEquals(Packet.MAX_BYTES, longest.length());
        assertEquals(longest, Packet.decode(longest.encode()));
        assertEquals(longest, Packet.decode(Arrays.copyOf(longest.encode(), 5000)),
                "bytes beyond the length field are padding");
        many.add(new Attribute(24, new byte[0]));
        Packet over = new Packet(Code.ACCESS_REQUEST, 1, new byte[16], many);
        assertThrows(IllegalArgumentException.class, over::encode);
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true", "2, true", "3, true", "4, true", "5, true", "6, false", "11, true", "12, true",
        "13, false", "40, false", "255, false"})
    void unsupportedCodesAreRejected(int code, boolean supported) {
        byte[] bytes = hex("00 07 0014" + "00".repeat(16));
        bytes[0] = (byte) code;
        assertEquals(supported, Code.fromNumber(code) != null);
        if (!supported) {
            assertThrows(MalformedPacketException.class, () -> Packet.decode(bytes));
        }
    }

    @Test
    void responseCodesMatchOnlyTheirRequestCodes() {
        assertTrue(Code.ACCESS_CHALLENGE.isResponseTo(Code.ACCESS_REQUEST)
                && Code.ACCESS_ACCEPT.isResponseTo(Code.STATUS_SERVER));
        assertFalse(Code.ACCOUNTING_RESPONSE.isResponseTo(Code.ACCESS_REQUEST));
        assertFalse(Code.ACCESS_ACCEPT.isResponseTo(Code.ACCOUNTING_REQUEST));
        assertFalse(Code.ACCESS_REQUEST.isResponseTo(Code.ACCESS_REQUEST));
        assertFalse(Code.ACCESS_ACCEPT.isResponseTo(Code.ACCESS_REJECT));
    }

    /**
     * Guards against any other failure on malformed input: each of a million random and mutated packets either decodes
     * to what was sent or is rejected with MalformedPacketException.
     */
    @Test
    void randomAndMutatedPacketsAreDecodedOrRejected() {
        SplittableRandom random = new SplittableRandom(8);
        byte[] good = hex(REQUEST);
        int decoded = 0;
        for (int i = 0; i < 1_000_000; i++) {
            byte[] bytes;
            if (i % 2 == 0) {
                bytes = Arrays.copyOf(good, 15 + random.nextInt(60));
                for (int flips = random.nextInt(4); flips > 0; flips--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                }
            } else {
                bytes = new byte[random.nextInt(80)];
                random.nextBytes(bytes);
            }
            try {
                Packet packet = Packet.decode(bytes);
                assertArrayEquals(Arrays.copyOf(bytes, packet.length()), packet.encode());
                authenticators.verifyRequest(packet, true);
                HiddenAttributes.reencrypt(packet.attributes(),
                        new HiddenAttributes.Hop(authenticators, packet.authenticator()),
                        new HiddenAttributes.Hop(authenticators, packet.authenticator()));
                decoded++;
            } catch (MalformedPacketException e) {
                assertNull(e.getCause());
            }
        }
        assertTrue(decoded > 10_000 && decoded < 900_000, "decoded " + decoded);
    }

    // ---- authenticators, against an independent implementation

    @Test
    void requestsOfReferenceCodecAreDecodedAndVerified() throws Exception {
        byte[] authenticator = hex("000102030405060708090a0b0c0d0e0f");
        AccessRequest request = new AccessRequest(List.of(new MessageAuthenticator(),
                new UserName(new TextData("nemo")),
                new UserPassword(new StringData("arctangent".getBytes(StandardCharsets.US_ASCII)))));
        Packet read = Packet.decode(REFERENCE_CODEC.encodeRequest(request, SECRET, authenticator));
        assertTrue(authenticators.verifyRequest(read, true));
        assertFalse(new Authenticators(OTHER_SECRET).verifyRequest(read, true));
        Packet accounting = Packet.decode(REFERENCE_CODEC.encodeRequest(
                new AccountingRequest(List.of(new UserName(new TextData("n")))), SECRET, authenticator));
        assertTrue(authenticators.verifyRequest(accounting, false));
        assertFalse(new Authenticators(OTHER_SECRET).verifyRequest(accounting, false));
    }

    @Test
    void signedPacketsAreAcceptedByReferenceCodec() throws Exception {
        byte[] authenticator = hex("000102030405060708090a0b0c0d0e0f");
        Packet request = authenticators.signRequest(new Packet(Code.ACCESS_REQUEST, 9, authenticator, List.of(
                new Attribute(1, "nemo".getBytes(StandardCharsets.US_ASCII)))));
        assertEquals(Attribute.MESSAGE_AUTHENTICATOR, request.attributes().get(0).type());
        assertEquals("nemo", REFERENCE_CODEC.decodeRequest(request.encode(), SECRET).getAttribute(UserName.class)
                .orElseThrow().getData().getValue());
        Packet accounting = authenticators.signRequest(new Packet(Code.ACCOUNTING_REQUEST, 9, new byte[16],
                request.attributes().subList(1, 2)));
        assertTrue(REFERENCE_CODEC.decodeRequest(accounting.encode(), SECRET) instanceof AccountingRequest);
        Packet accept = authenticators.signResponse(new Packet(Code.ACCESS_ACCEPT, 9, new byte[16],
                request.attributes().subList(1, 2)),
                authenticator, true);
        assertTrue(REFERENCE_CODEC.decodeResponse(accept.encode(), SECRET, authenticator) instanceof AccessAccept);
        assertTrue(authenticators.verifyResponse(accept, authenticator, true));
    }

    /** A change of any single byte of a signed packet is detected. */
    @Test
    void anyChangedByteOfSignedPacketIsDetected() throws Exception {
        byte[] requestAuthenticator = hex("000102030405060708090a0b0c0d0e0f");
        byte[] accept = authenticators.signResponse(new Packet(Code.ACCESS_ACCEPT, 9, new byte[16],
                List.of(new Attribute(18, new byte[5]))),
                requestAuthenticator, true).encode();
        byte[] request = authenticators.signRequest(new Packet(Code.ACCESS_REQUEST, 9, requestAuthenticator,
                List.of(new Attribute(1, new byte[5]))))
                .encode();
        byte[] accounting = authenticators.signRequest(new Packet(Code.ACCOUNTING_REQUEST, 9, new byte[16],
                List.of(new Attribute(1, new byte[5])))).encode();
        for (int at = 0; at < accept.length; at++) {
            byte[] changed = accept.clone();
            changed[at] ^= 1;
            assertFalse(decodesAndPasses(changed, packet -> authenticators.verifyResponse(packet, requestAuthenticator,
                    true)), "response, byte " + at);
        }
        for (byte[] whole : List.of(request, accounting)) {
            for (int at = 0; at < whole.length; at++) {
                byte[] changed = whole.clone();
                changed[at] ^= 1;
                assertFalse(decodesAndPasses(changed, packet -> packet.code().isRequest()
                        && authenticators.verifyRequest(packet, true)), "byte " + at);
            }
        }
    }

    private interface Check {
        boolean test(Packet packet);
    }

    private static boolean decodesAndPasses(byte[] bytes, Check check) {
        try {
            return check.test(Packet.decode(bytes));
        } catch (MalformedPacketException e) {
            return false;
        }
    }

    @Test
    void messageAuthenticatorIsRequiredWhereRfcsDemandIt() throws Exception {
        Packet unsigned = Packet.decode(hex(REQUEST));
        assertTrue(authenticators.verifyRequest(unsigned, false));
        assertFalse(authenticators.verifyRequest(unsigned, true), "the client must send one");
        List<Attribute> eap = List.of(new Attribute(Attribute.EAP_MESSAGE, new byte[4]));
        assertFalse(authenticators.verifyRequest(unsigned.withAttributes(eap), false),
                "always with EAP: RFC 3579, 3.2");
        assertFalse(authenticators.verifyRequest(new Packet(Code.STATUS_SERVER, 0, new byte[16], List.of()), false),
                "RFC 5997, 3");
        Packet signed = authenticators.signRequest(unsigned);
        List<Attribute> duplicated = new ArrayList<>(signed.attributes());
        duplicated.add(signed.attributes().get(0));
        assertFalse(authenticators.verifyRequest(signed.withAttributes(duplicated), false));
        Attribute zeros = new Attribute(Attribute.MESSAGE_AUTHENTICATOR, new byte[16]);
        Mac mac = Mac.getInstance("HmacMD5");
        mac.init(new SecretKeySpec(SECRET, "HmacMD5"));
        Attribute correctAuthenticator = new Attribute(zeros.type(),
                mac.doFinal(unsigned.withAttributes(List.of(zeros, zeros)).encode()));
        assertFalse(authenticators.verifyRequest(
                unsigned.withAttributes(List.of(correctAuthenticator, correctAuthenticator)), false),
                "present twice, each with the correct value");
        List<Attribute> wrongLength = new ArrayList<>(signed.attributes());
        wrongLength.set(0, new Attribute(Attribute.MESSAGE_AUTHENTICATOR, new byte[15]));
        assertFalse(authenticators.verifyRequest(signed.withAttributes(wrongLength), false));
        assertThrows(IllegalArgumentException.class, () -> new Authenticators(new byte[0]));
    }

    // ---- hidden attributes

    /** A password that a peer hid for one hop is re-encrypted and read by a peer on the other hop. */
    @ParameterizedTest
    @CsvSource({"a", "arctangent", "sixteen bytes ok", "seventeen bytes !", "a password of more than two whole blocks"})
    void passwordIsReencryptedForNextHop(String password) throws Exception {
        byte[] one = hex("000102030405060708090a0b0c0d0e0f");
        byte[] other = hex("f0e1d2c3b4a5968778695a4b3c2d1e0f");
        byte[] bytes = password.getBytes(StandardCharsets.US_ASCII);
        Packet received = Packet.decode(REFERENCE_CODEC.encodeRequest(
                new AccessRequest(List.of(new UserPassword(new StringData(bytes)))), SECRET, one));
        Authenticators nextHopAuthenticators = new Authenticators(OTHER_SECRET);
        Packet forwarded = new Packet(Code.ACCESS_REQUEST, 3, other,
                HiddenAttributes.reencrypt(received.attributes(), new HiddenAttributes.Hop(authenticators, one),
                new HiddenAttributes.Hop(nextHopAuthenticators, other)));
        assertArrayEquals(bytes, REFERENCE_CODEC.decodeRequest(
                nextHopAuthenticators.signRequest(forwarded).encode(), OTHER_SECRET).getAttribute(UserPassword.class)
                .orElseThrow().getData().getValue());
    }

    /** Against the formula of RFC 2868, 3.5, computed here. */
    @Test
    void tunnelPasswordIsReencryptedInResponses() throws Exception {
        byte[] one = hex("000102030405060708090a0b0c0d0e0f");
        byte[] other = hex("f0e1d2c3b4a5968778695a4b3c2d1e0f");
        byte[] plain = Arrays.copyOf("\u0018a tunnel's password, long".getBytes(StandardCharsets.US_ASCII), 32);
        byte[] there = Arrays.copyOf(hex("01 8007"), 35);
        byte[] before = {(byte) 0x80, 7};
        byte[] key = md5(OTHER_SECRET, other, before);
        for (int i = 0; i < plain.length; i++) {
            if (i == 16) {
                key = md5(OTHER_SECRET, Arrays.copyOfRange(there, 3, 19));
            }
            there[3 + i] = (byte) (plain[i] ^ key[i % 16]);
        }
        byte[] back = HiddenAttributes.reencrypt(List.of(new Attribute(Attribute.TUNNEL_PASSWORD, there)),
                new HiddenAttributes.Hop(new Authenticators(OTHER_SECRET), other),
                new HiddenAttributes.Hop(authenticators, one)).get(0).value();
        assertArrayEquals(hex("01 8007"), Arrays.copyOf(back, 3), "tag and salt stay");
        byte[] read = new byte[plain.length];
        for (int i = 0; i < plain.length; i++) {
            byte[] stream = i < 16 ? md5(SECRET, one, before) : md5(SECRET, Arrays.copyOfRange(back, 3, 19));
            read[i] = (byte) (back[3 + i] ^ stream[i % 16]);
        }
        assertArrayEquals(plain, read);
    }

    private static byte[] md5(byte[]... parts) throws Exception {
        MessageDigest digest = MessageDigest.getInstance("MD5");
        for (byte[] part : parts) {
            digest.update(part);
        }
        return digest.digest();
    }

    /** Re-encrypting there and back restores the attributes, and all others stay in their places, byte for byte. */
    @Test
    void attributesThatAreNotHiddenStayUnchanged() {
        byte[] key = hex("00000137 10 24 8001" + "ab".repeat(32));
        List<Attribute> attributes = List.of(new Attribute(1, new byte[3]),
                new Attribute(Attribute.VENDOR_SPECIFIC, key),
                new Attribute(Attribute.VENDOR_SPECIFIC, hex("00000009 01 04 0102")),
                new Attribute(241, new byte[] {1, 2}),
                new Attribute(Attribute.PROXY_STATE, new byte[] {9}),
                new Attribute(Attribute.PROXY_STATE, new byte[] {8}));
        HiddenAttributes.Hop one = new HiddenAttributes.Hop(authenticators, hex("000102030405060708090a0b0c0d0e0f"));
        HiddenAttributes.Hop other = new HiddenAttributes.Hop(new Authenticators(OTHER_SECRET),
                hex("f0e1d2c3b4a5968778695a4b3c2d1e0f"));
        List<Attribute> there = HiddenAttributes.reencrypt(attributes, one, other);
        assertNotEquals(attributes.get(1), there.get(1), "an MS-MPPE key is re-encrypted");
        for (int i : new int[] {0, 2, 3, 4, 5}) {
            assertEquals(attributes.get(i), there.get(i));
        }
        assertEquals(attributes, HiddenAttributes.reencrypt(there, other, one));
    }

    @ParameterizedTest
    @CsvSource({"2, 15", "2, 17", "2, 144", "2, 0", "69, 2", "69, 18", "69, 20"})
    void hiddenValueOfInvalidLengthIsRejected(int type, int length) {
        HiddenAttributes.Hop hop = new HiddenAttributes.Hop(authenticators, new byte[16]);
        assertNull(HiddenAttributes.reencrypt(List.of(new Attribute(type, new byte[length])), hop, hop));
    }
}
