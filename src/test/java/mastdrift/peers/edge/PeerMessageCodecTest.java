package mastdrift.peers.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mastdrift.peers.Digest;
import mastdrift.peers.Member;
import mastdrift.peers.MemberState;
import mastdrift.peers.MembershipList;
import mastdrift.peers.PeerMessage;
import mastdrift.peers.Update;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Encoding of messages and digests: round trips, the wire format, and rejection of malformed input. */
class PeerMessageCodecTest {

    private static List<Update> randomUpdates(Random random, int maxUpdates) {
        List<Update> updates = new ArrayList<>();
        for (int i = random.nextInt(maxUpdates + 1); i > 0; i--) {
            updates.add(new Update(new Member("g" + i, random.nextLong() >>> 1, "z", "b" + i, "s"), random.nextInt(),
                    MemberState.values()[random.nextInt(4)], "by"));
        }
        updates.replaceAll(each -> new Update(each.member(), Math.abs(each.incarnation()), each.state(),
                each.reporter()));
        return updates;
    }

    private static PeerMessage randomMessage(Random random) {
        List<Update> updates = randomUpdates(random, PeerMessage.MAX_UPDATES);
        long sequence = random.nextLong();
        return switch (random.nextInt(5)) {
            case 0 -> new PeerMessage.Ping(sequence, updates);
            case 1 -> new PeerMessage.Ack(sequence, updates);
            case 2 -> new PeerMessage.Nack(sequence, updates);
            case 3 -> new PeerMessage.PingRequest(sequence, "target", updates);
            default -> new PeerMessage.Sync(random.nextBoolean(), randomUpdates(random, 300));
        };
    }

    /**
     * A message is read as it was written; with any byte changed or the end cut off, it is read as another message or
     * rejected with IllegalArgumentException.
     */
    @Property(tries = 500)
    void messagesRoundTripAndCorruptedOnesAreRejected(@ForAll long seed) {
        Random random = new Random(seed);
        PeerMessage message = randomMessage(random);
        byte[] bytes = PeerMessageCodec.encode(message);
        assertEquals(message, PeerMessageCodec.decodeMessage(bytes));
        byte[] corrupted = random.nextBoolean() ? Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes.clone();
        if (corrupted.length == bytes.length) {
            corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 + random.nextInt(255));
        }
        try {
            PeerMessageCodec.decodeMessage(corrupted);
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("expected") && e.getMessage().contains("found"), e.getMessage());
        }
    }

    /**
     * Guards against a change of the wire format: gateways of this build and of the first one read each other's
     * messages. The bytes were written by the first build.
     */
    @Test
    void encodingIsThatOfTheFirstBuild() {
        List<Update> updates = new ArrayList<>();
        for (MemberState each : MemberState.values()) {
            updates.add(new Update(new Member("g" + each.ordinal(), 1_767_225_600_000_000L, "oviedo", "0.1.0",
                    "0123456789ab"), each.ordinal(), each, "g9"));
        }
        String member = "1b0006474846204000666f766965646f65302e312e306c303132333435363738396162";
        String firstUpdate = "88626730" + member + "0000626739";
        Map<String, PeerMessage> messagesByHex = Map.of(
                "01830007" + "84" + firstUpdate + "88626731" + member + "0101626739" + "88626732" + member
                + "0202626739" + "88626733" + member + "0303626739",
                new PeerMessage.Ping(7, updates),
                "0183010880", new PeerMessage.Ack(8, List.of()),
                "0183020980", new PeerMessage.Nack(9, List.of()),
                "0184030a62673380", new PeerMessage.PingRequest(10, "g3", List.of()),
                "018304f581" + firstUpdate, new PeerMessage.Sync(true, updates.subList(0, 1)));
        messagesByHex.forEach((hex, message) -> {
            assertEquals(message, PeerMessageCodec.decodeMessage(HexFormat.of().parseHex(hex)));
            assertEquals(hex, HexFormat.of().formatHex(PeerMessageCodec.encode(message)));
        });
        Digest digest = new Digest("g1", 5, 6, Map.of("h1", 3), 4);
        assertEquals("0185626731050604a162683103", HexFormat.of().formatHex(PeerMessageCodec.encode(digest)));
    }

    @Test
    void messagesAboveTheBoundsOrOfALaterVersionAreRejected() {
        Update update = new Update(new Member("g", 1, "z", "b", "s"), 0, MemberState.ALIVE, "g");
        List<Update> tooMany = new ArrayList<>(java.util.Collections.nCopies(MembershipList.MAX_GATEWAYS + 1, update));
        assertTrue(assertThrows(IllegalArgumentException.class, () ->
                PeerMessageCodec.decodeMessage(PeerMessageCodec.encode(new PeerMessage.Sync(true, tooMany))))
                .getMessage().startsWith("updates: expected at most 2000"));
        assertThrows(IllegalArgumentException.class, () ->
                PeerMessageCodec.decodeMessage(PeerMessageCodec.encode(new PeerMessage.Ping(1,
                tooMany.subList(0, PeerMessage.MAX_UPDATES + 1)))));
        byte[] laterVersion = PeerMessageCodec.encode(new PeerMessage.Nack(1, List.of()));
        laterVersion[0] = 2;
        assertThrows(PeerMessageCodec.UnsupportedVersionException.class, () ->
                PeerMessageCodec.decodeMessage(laterVersion));
        Update withTooLongName = new Update(new Member("g".repeat(65), 1, "z", "b", "s"), 0, MemberState.ALIVE, "g");
        assertThrows(IllegalArgumentException.class, () ->
                PeerMessageCodec.decodeMessage(PeerMessageCodec.encode(new PeerMessage.Ping(1,
                List.of(withTooLongName)))));
        assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.decodeMessage(new byte[0]));
        Digest digest = new Digest("g", 7, 8, Map.of("a", 1, "b", 2), 3);
        assertEquals(digest, PeerMessageCodec.decodeDigest(PeerMessageCodec.encode(digest)));
        assertThrows(IllegalArgumentException.class, () ->
                PeerMessageCodec.decodeDigest(PeerMessageCodec.encode(new PeerMessage.Nack(1, List.of()))));
    }
}
