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

class PeerMessageCodecTest {

    private static List<Update> updates(Random random, int most) {
        List<Update> updates = new ArrayList<>();
        for (int i = random.nextInt(most + 1); i > 0; i--) {
            updates.add(new Update(new Member("g" + i, random.nextLong() >>> 1, "z", "b" + i, "s"), random.nextInt(), MemberState.values()[random.nextInt(4)], "by"));
        }
        updates.replaceAll(each -> new Update(each.member(), Math.abs(each.incarnation()), each.state(), each.by()));
        return updates;
    }

    private static PeerMessage drawn(Random random) {
        List<Update> updates = updates(random, PeerMessage.UPDATES_MOST);
        long sequence = random.nextLong();
        return switch (random.nextInt(5)) {
            case 0 -> new PeerMessage.Ping(sequence, updates);
            case 1 -> new PeerMessage.Ack(sequence, updates);
            case 2 -> new PeerMessage.Nack(sequence, updates);
            case 3 -> new PeerMessage.PingRequest(sequence, "target", updates);
            default -> new PeerMessage.Sync(random.nextBoolean(), updates(random, 300));
        };
    }

    /** What is written is read as it was; with any byte changed or cut off, it is read as another message or refused, and nothing else happens. */
    @Property(tries = 500)
    void messagesComeBackAndSpoiltOnesAreRefused(@ForAll long seed) {
        Random random = new Random(seed);
        PeerMessage message = drawn(random);
        byte[] bytes = PeerMessageCodec.bytes(message);
        assertEquals(message, PeerMessageCodec.message(bytes));
        byte[] spoilt = random.nextBoolean() ? Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes.clone();
        if (spoilt.length == bytes.length) {
            spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 + random.nextInt(255));
        }
        try {
            PeerMessageCodec.message(spoilt);
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("expected") && e.getMessage().contains("found"), e.getMessage());
        }
    }

    /** Guards against a change of what is on the wire: gateways of this build and of the first one read each other. The bytes were written by that one. */
    @Test
    void whatTheFirstBuildWroteIsReadAndWrittenAlike() {
        List<Update> updates = new ArrayList<>();
        for (MemberState each : MemberState.values()) {
            updates.add(new Update(new Member("g" + each.ordinal(), 1_767_225_600_000_000L, "oviedo", "0.1.0", "0123456789ab"), each.ordinal(), each, "g9"));
        }
        String member = "1b0006474846204000666f766965646f65302e312e306c303132333435363738396162";
        String first = "88626730" + member + "0000626739";
        Map<String, PeerMessage> all = Map.of(
                "01830007" + "84" + first + "88626731" + member + "0101626739" + "88626732" + member + "0202626739" + "88626733" + member + "0303626739",
                new PeerMessage.Ping(7, updates),
                "0183010880", new PeerMessage.Ack(8, List.of()),
                "0183020980", new PeerMessage.Nack(9, List.of()),
                "0184030a62673380", new PeerMessage.PingRequest(10, "g3", List.of()),
                "018304f581" + first, new PeerMessage.Sync(true, updates.subList(0, 1)));
        all.forEach((hex, message) -> {
            assertEquals(message, PeerMessageCodec.message(HexFormat.of().parseHex(hex)));
            assertEquals(hex, HexFormat.of().formatHex(PeerMessageCodec.bytes(message)));
        });
        Digest digest = new Digest("g1", 5, 6, Map.of("h1", 3), 4);
        assertEquals("0185626731050604a162683103", HexFormat.of().formatHex(PeerMessageCodec.bytes(digest)));
    }

    @Test
    void boundsAndLaterVersionsAreNamed() {
        Update update = new Update(new Member("g", 1, "z", "b", "s"), 0, MemberState.ALIVE, "g");
        List<Update> many = new ArrayList<>(java.util.Collections.nCopies(MembershipList.GATEWAYS_MOST + 1, update));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.message(PeerMessageCodec.bytes(new PeerMessage.Sync(true, many)))).getMessage()
                .startsWith("updates: expected at most 2000"));
        assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.message(PeerMessageCodec.bytes(new PeerMessage.Ping(1, many.subList(0, PeerMessage.UPDATES_MOST + 1)))));
        byte[] later = PeerMessageCodec.bytes(new PeerMessage.Nack(1, List.of()));
        later[0] = 2;
        assertThrows(PeerMessageCodec.UnsupportedVersionException.class, () -> PeerMessageCodec.message(later));
        Update long64 = new Update(new Member("g".repeat(65), 1, "z", "b", "s"), 0, MemberState.ALIVE, "g");
        assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.message(PeerMessageCodec.bytes(new PeerMessage.Ping(1, List.of(long64)))));
        assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.message(new byte[0]));
        Digest digest = new Digest("g", 7, 8, Map.of("a", 1, "b", 2), 3);
        assertEquals(digest, PeerMessageCodec.digest(PeerMessageCodec.bytes(digest)));
        assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.digest(PeerMessageCodec.bytes(new PeerMessage.Nack(1, List.of()))));
    }
}
