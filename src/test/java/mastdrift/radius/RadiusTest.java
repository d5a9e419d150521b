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

/** Packets, authenticators and hidden attributes, against the RFCs' own examples and against a codec of others. */
class RadiusTest {

    private static final byte[] SECRET = "xyzzy5461".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] OTHER = "another secret".getBytes(StandardCharsets.US_ASCII);
    private static final PacketCodec PEER = new PacketCodec(new StandardDictionary());

    private final Authenticators own = new Authenticators(SECRET);

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    /** RFC 2865, 7.1: a Telnet user, its request and its answer, byte for byte. */
    private static final String REQUEST = "01 00 00 38 0f 40 3f 94 73 97 80 57 bd 83 d5 cb 98 f4 22 7a 01 06 6e 65 6d 6f 02 12"
            + "0d be 70 8d 93 d4 13 ce 31 96 e4 3f 78 2a 0a ee 04 06 c0 a8 01 10 05 06 00 00 00 03";
    private static final String ACCEPT = "02 00 00 26 86 fe 22 0e 76 24 ba 2a 10 05 f6 bf 9b 55 e0 b2 06 06 00 00 00 01"
            + "0f 06 00 00 00 00 0e 06 c0 a8 01 03";

    @Test
    void theExampleOfRfc2865() throws Exception {
        Packet request = Packet.read(hex(REQUEST));
        assertEquals(Code.ACCESS_REQUEST, request.code());
        assertArrayEquals("nemo".getBytes(StandardCharsets.US_ASCII), request.first(1));
        assertArrayEquals(hex(REQUEST), request.write());
        Packet accept = Packet.read(hex(ACCEPT));
        assertTrue(own.answers(accept, request.authenticator(), false));
        assertFalse(new Authenticators(OTHER).answers(accept, request.authenticator(), false));
        assertFalse(own.answers(accept, new byte[16], false), "the answer to another request");
        assertFalse(own.answers(accept, request.authenticator(), true), "no Message-Authenticator");
        Packet blank = new Packet(accept.code(), 0, new byte[16], accept.attributes());
        assertArrayEquals(hex(ACCEPT), own.signAnswer(blank, request.authenticator(), false).write());
    }

    // ---- packets

    /** Each kind of damage: the bytes behind the header, the length field, and the bytes that come. */
    @ParameterizedTest
    @CsvSource({"'', 20, 20, true", "'', 19, 20, false", "'', 0, 20, false", "'', 21, 20, false", "'', 65535, 20, false",
        "'0103aa', 23, 23, true", "'0103aa', 20, 23, true", "'0103aa', 22, 23, false", "'0103aa', 21, 23, false",
        "'0100', 22, 22, false", "'0101', 22, 22, false", "'0102', 22, 22, true", "'0104aa', 23, 23, false", "'01', 21, 21, false",
        "'01ffaa', 23, 23, false", "'0103aa0102', 25, 25, true", "'0103aa01', 24, 24, false"})
    void lengthsAreChecked(String attributes, int length, int come, boolean reads) {
        byte[] bytes = Arrays.copyOf(hex("01 07 0000" + "00".repeat(16) + attributes), come);
        bytes[2] = (byte) (length >> 8);
        bytes[3] = (byte) length;
        boolean read = true;
        try {
            assertEquals(length, Packet.read(bytes).length());
        } catch (MalformedPacketException e) {
            read = false;
            assertTrue(e.getMessage().startsWith("expected "), e.getMessage());
        }
        assertEquals(reads, read);
    }

    @Test
    void theShortestAndTheLongestAreReadAndNoOthers() throws Exception {
        assertThrows(MalformedPacketException.class, () -> Packet.read(new byte[0]));
        assertThrows(MalformedPacketException.class, () -> Packet.read(new byte[19]));
        List<Attribute> many = new ArrayList<>();
        for (int i = 0; i < 15; i++) {
            many.add(new Attribute(79, new byte[253]));
        }
        many.add(new Attribute(24, new byte[249]));
        Packet longest = new Packet(Code.ACCESS_REQUEST, 1, new byte[16], many);
        assertEquals(Packet.MOST, longest.length());
        assertEquals(longest, Packet.read(longest.write()));
        assertEquals(longest, Packet.read(Arrays.copyOf(longest.write(), 5000)), "what is behind is padding");
        many.add(new Attribute(24, new byte[0]));
        Packet over = new Packet(Code.ACCESS_REQUEST, 1, new byte[16], many);
        assertThrows(IllegalArgumentException.class, over::write);
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true", "2, true", "3, true", "4, true", "5, true", "6, false", "11, true", "12, true",
        "13, false", "40, false", "255, false"})
    void codesThatItDoesntCarryAreRefused(int code, boolean carried) {
        byte[] bytes = hex("00 07 0014" + "00".repeat(16));
        bytes[0] = (byte) code;
        assertEquals(carried, Code.of(code) != null);
        if (!carried) {
            assertThrows(MalformedPacketException.class, () -> Packet.read(bytes));
        }
    }

    @Test
    void anAnswerAnswersItsKindOfRequest() {
        assertTrue(Code.ACCESS_CHALLENGE.answers(Code.ACCESS_REQUEST) && Code.ACCESS_ACCEPT.answers(Code.STATUS_SERVER));
        assertFalse(Code.ACCOUNTING_RESPONSE.answers(Code.ACCESS_REQUEST));
        assertFalse(Code.ACCESS_ACCEPT.answers(Code.ACCOUNTING_REQUEST));
        assertFalse(Code.ACCESS_REQUEST.answers(Code.ACCESS_REQUEST));
        assertFalse(Code.ACCESS_ACCEPT.answers(Code.ACCESS_REJECT));
    }

    /** The hard case of a million random and mutated packets: each is read as it stands or refused, with no other fault. */
    @Test
    void aMillionRandomAndMutatedPacketsMakeNoFault() {
        SplittableRandom random = new SplittableRandom(8);
        byte[] good = hex(REQUEST);
        int read = 0;
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
                Packet packet = Packet.read(bytes);
                assertArrayEquals(Arrays.copyOf(bytes, packet.length()), packet.write());
                own.signed(packet, true);
                HiddenAttributes.anew(packet.attributes(), new HiddenAttributes.Hop(own, packet.authenticator()),
                        new HiddenAttributes.Hop(own, packet.authenticator()));
                read++;
            } catch (MalformedPacketException e) {
                assertNull(e.getCause());
            }
        }
        assertTrue(read > 10_000 && read < 900_000, "read " + read);
    }

    // ---- authenticators, with a peer that others wrote

    @Test
    void aPeersRequestsAreReadAndProved() throws Exception {
        byte[] authenticator = hex("000102030405060708090a0b0c0d0e0f");
        AccessRequest request = new AccessRequest(List.of(new MessageAuthenticator(), new UserName(new TextData("nemo")),
                new UserPassword(new StringData("arctangent".getBytes(StandardCharsets.US_ASCII)))));
        Packet read = Packet.read(PEER.encodeRequest(request, SECRET, authenticator));
        assertTrue(own.signed(read, true));
        assertFalse(new Authenticators(OTHER).signed(read, true));
        Packet accounting = Packet.read(PEER.encodeRequest(new AccountingRequest(List.of(new UserName(new TextData("n")))),
                SECRET, authenticator));
        assertTrue(own.signed(accounting, false));
        assertFalse(new Authenticators(OTHER).signed(accounting, false));
    }

    @Test
    void aPeerTakesWhatIsSigned() throws Exception {
        byte[] authenticator = hex("000102030405060708090a0b0c0d0e0f");
        Packet request = own.signRequest(new Packet(Code.ACCESS_REQUEST, 9, authenticator, List.of(
                new Attribute(1, "nemo".getBytes(StandardCharsets.US_ASCII)))));
        assertEquals(Attribute.MESSAGE_AUTHENTICATOR, request.attributes().get(0).type());
        assertEquals("nemo", PEER.decodeRequest(request.write(), SECRET).getAttribute(UserName.class).orElseThrow().getData()
                .getValue());
        Packet accounting = own.signRequest(new Packet(Code.ACCOUNTING_REQUEST, 9, new byte[16], request.attributes()
                .subList(1, 2)));
        assertTrue(PEER.decodeRequest(accounting.write(), SECRET) instanceof AccountingRequest);
        Packet accept = own.signAnswer(new Packet(Code.ACCESS_ACCEPT, 9, new byte[16], request.attributes().subList(1, 2)),
                authenticator, true);
        assertTrue(PEER.decodeResponse(accept.write(), SECRET, authenticator) instanceof AccessAccept);
        assertTrue(own.answers(accept, authenticator, true));
    }

    /** Every single changed byte of a signed packet is noticed, but for those that a request's signature doesn't cover. */
    @Test
    void noChangedByteGoesUnnoticed() throws Exception {
        byte[] asked = hex("000102030405060708090a0b0c0d0e0f");
        byte[] accept = own.signAnswer(new Packet(Code.ACCESS_ACCEPT, 9, new byte[16], List.of(new Attribute(18, new byte[5]))),
                asked, true).write();
        byte[] request = own.signRequest(new Packet(Code.ACCESS_REQUEST, 9, asked, List.of(new Attribute(1, new byte[5]))))
                .write();
        byte[] accounting = own.signRequest(new Packet(Code.ACCOUNTING_REQUEST, 9, new byte[16],
                List.of(new Attribute(1, new byte[5])))).write();
        for (int at = 0; at < accept.length; at++) {
            byte[] changed = accept.clone();
            changed[at] ^= 1;
            assertFalse(reads(changed, packet -> own.answers(packet, asked, true)), "answer, byte " + at);
        }
        for (byte[] whole : List.of(request, accounting)) {
            for (int at = 0; at < whole.length; at++) {
                byte[] changed = whole.clone();
                changed[at] ^= 1;
                assertFalse(reads(changed, packet -> packet.code().asks() && own.signed(packet, true)), "byte " + at);
            }
        }
    }

    private interface Check {
        boolean holds(Packet packet);
    }

    private static boolean reads(byte[] bytes, Check check) {
        try {
            return check.holds(Packet.read(bytes));
        } catch (MalformedPacketException e) {
            return false;
        }
    }

    @Test
    void aMessageAuthenticatorIsWantedWhereTheRfcsDo() throws Exception {
        Packet bare = Packet.read(hex(REQUEST));
        assertTrue(own.signed(bare, false));
        assertFalse(own.signed(bare, true), "the client must send one");
        List<Attribute> eap = List.of(new Attribute(Attribute.EAP_MESSAGE, new byte[4]));
        assertFalse(own.signed(bare.with(eap), false), "always with EAP: RFC 3579, 3.2");
        assertFalse(own.signed(new Packet(Code.STATUS_SERVER, 0, new byte[16], List.of()), false), "RFC 5997, 3");
        Packet signed = own.signRequest(bare);
        List<Attribute> twice = new ArrayList<>(signed.attributes());
        twice.add(signed.attributes().get(0));
        assertFalse(own.signed(signed.with(twice), false));
        Attribute zeros = new Attribute(Attribute.MESSAGE_AUTHENTICATOR, new byte[16]);
        Mac mac = Mac.getInstance("HmacMD5");
        mac.init(new SecretKeySpec(SECRET, "HmacMD5"));
        Attribute proof = new Attribute(zeros.type(), mac.doFinal(bare.with(List.of(zeros, zeros)).write()));
        assertFalse(own.signed(bare.with(List.of(proof, proof)), false), "twice, and right as far as both go");
        List<Attribute> odd = new ArrayList<>(signed.attributes());
        odd.set(0, new Attribute(Attribute.MESSAGE_AUTHENTICATOR, new byte[15]));
        assertFalse(own.signed(signed.with(odd), false));
        assertThrows(IllegalArgumentException.class, () -> new Authenticators(new byte[0]));
    }

    // ---- hidden attributes

    /** A password on its way: hidden by a peer for one hop, hidden anew, read by a peer on the other. */
    @ParameterizedTest
    @CsvSource({"a", "arctangent", "sixteen bytes ok", "seventeen bytes !", "a password of more than two whole blocks"})
    void aPasswordIsHiddenAnew(String password) throws Exception {
        byte[] one = hex("000102030405060708090a0b0c0d0e0f");
        byte[] other = hex("f0e1d2c3b4a5968778695a4b3c2d1e0f");
        byte[] bytes = password.getBytes(StandardCharsets.US_ASCII);
        Packet came = Packet.read(PEER.encodeRequest(new AccessRequest(List.of(new UserPassword(new StringData(bytes)))),
                SECRET, one));
        Authenticators next = new Authenticators(OTHER);
        Packet onward = new Packet(Code.ACCESS_REQUEST, 3, other, HiddenAttributes.anew(came.attributes(), new HiddenAttributes.Hop(own, one),
                new HiddenAttributes.Hop(next, other)));
        assertArrayEquals(bytes, PEER.decodeRequest(next.signRequest(onward).write(), OTHER).getAttribute(UserPassword.class)
                .orElseThrow().getData().getValue());
    }

    /** By the formula of RFC 2868, 3.5, worked out here. */
    @Test
    void aTunnelPasswordIsHiddenAnewOnTheWayBack() throws Exception {
        byte[] one = hex("000102030405060708090a0b0c0d0e0f");
        byte[] other = hex("f0e1d2c3b4a5968778695a4b3c2d1e0f");
        byte[] plain = Arrays.copyOf("\u0018a tunnel's password, long".getBytes(StandardCharsets.US_ASCII), 32);
        byte[] there = Arrays.copyOf(hex("01 8007"), 35);
        byte[] before = {(byte) 0x80, 7};
        byte[] key = md5(OTHER, other, before);
        for (int i = 0; i < plain.length; i++) {
            if (i == 16) {
                key = md5(OTHER, Arrays.copyOfRange(there, 3, 19));
            }
            there[3 + i] = (byte) (plain[i] ^ key[i % 16]);
        }
        byte[] back = HiddenAttributes.anew(List.of(new Attribute(Attribute.TUNNEL_PASSWORD, there)),
                new HiddenAttributes.Hop(new Authenticators(OTHER), other), new HiddenAttributes.Hop(own, one)).get(0).value();
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

    /** There and back is as it was, and every other attribute stays in its place, byte for byte. */
    @Test
    void whatIsNotHiddenStaysAsItIs() {
        byte[] key = hex("00000137 10 24 8001" + "ab".repeat(32));
        List<Attribute> attributes = List.of(new Attribute(1, new byte[3]), new Attribute(Attribute.VENDOR_SPECIFIC, key),
                new Attribute(Attribute.VENDOR_SPECIFIC, hex("00000009 01 04 0102")), new Attribute(241, new byte[] {1, 2}),
                new Attribute(Attribute.PROXY_STATE, new byte[] {9}), new Attribute(Attribute.PROXY_STATE, new byte[] {8}));
        HiddenAttributes.Hop one = new HiddenAttributes.Hop(own, hex("000102030405060708090a0b0c0d0e0f"));
        HiddenAttributes.Hop other = new HiddenAttributes.Hop(new Authenticators(OTHER), hex("f0e1d2c3b4a5968778695a4b3c2d1e0f"));
        List<Attribute> there = HiddenAttributes.anew(attributes, one, other);
        assertNotEquals(attributes.get(1), there.get(1), "a key of MS-MPPE is hidden anew");
        for (int i : new int[] {0, 2, 3, 4, 5}) {
            assertEquals(attributes.get(i), there.get(i));
        }
        assertEquals(attributes, HiddenAttributes.anew(there, other, one));
    }

    @ParameterizedTest
    @CsvSource({"2, 15", "2, 17", "2, 144", "2, 0", "69, 2", "69, 18", "69, 20"})
    void aHiddenValueOfNoPossibleLengthIsRefused(int type, int length) {
        HiddenAttributes.Hop hop = new HiddenAttributes.Hop(own, new byte[16]);
        assertNull(HiddenAttributes.anew(List.of(new Attribute(type, new byte[length])), hop, hop));
    }
}
