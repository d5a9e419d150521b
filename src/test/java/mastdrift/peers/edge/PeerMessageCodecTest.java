package mastdrift.peers.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mastdrift.peers.Member;
import mastdrift.peers.Digest;
import mastdrift.peers.MembershipList;
import mastdrift.peers.Update;
import mastdrift.peers.MemberState;
import mastdrift.peers.PeerMessage;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PeerMessageCodecTest {

    private static List<Update> rumors(Random random, int most) {
        List<Update> rumors = new ArrayList<>();
        for (int i = random.nextInt(most + 1); i > 0; i--) {
            rumors.add(new Update(new Member("g" + i, random.nextLong() >>> 1, "z", "b" + i, "s"), random.nextInt(), MemberState.values()[random.nextInt(4)], "by"));
        }
        rumors.replaceAll(each -> new Update(each.card(), Math.abs((long) each.incarnation()), each.standing(), each.by()));
        return rumors;
    }

    private static PeerMessage drawn(Random random) {
        List<Update> rumors = rumors(random, PeerMessage.RUMORS_MOST);
        long number = random.nextLong();
        return switch (random.nextInt(5)) {
            case 0 -> new PeerMessage.Ping(number, rumors);
            case 1 -> new PeerMessage.Ack(number, rumors);
            case 2 -> new PeerMessage.Nack(number, rumors);
            case 3 -> new PeerMessage.Ask(number, "target", rumors);
            default -> new PeerMessage.Sync(random.nextBoolean(), rumors(random, 300));
        };
    }

    /** What is written is read as it was; with any byte changed or cut off, it is read as another word or refused, and nothing else happens. */
    @Property(tries = 500)
    void wordsComeBackAndSpoiltOnesAreRefused(@ForAll long seed) {
        Random random = new Random(seed);
        PeerMessage word = drawn(random);
        byte[] bytes = PeerMessageCodec.bytes(word);
        assertEquals(word, PeerMessageCodec.word(bytes));
        byte[] spoilt = random.nextBoolean() ? Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes.clone();
        if (spoilt.length == bytes.length) {
            spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 + random.nextInt(255));
        }
        try {
            PeerMessageCodec.word(spoilt);
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("expected") && e.getMessage().contains("found"), e.getMessage());
        }
    }

    @Test
    void boundsAndLaterVersionsAreNamed() {
        Update rumor = new Update(new Member("g", 1, "z", "b", "s"), 0, MemberState.ALIVE, "g");
        List<Update> many = new ArrayList<>(java.util.Collections.nCopies(MembershipList.GATEWAYS_MOST + 1, rumor));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.word(PeerMessageCodec.bytes(new PeerMessage.Sync(true, many)))).getMessage()
                .startsWith("rumors: expected at most 2000"));
        assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.word(PeerMessageCodec.bytes(new PeerMessage.Ping(1, many.subList(0, PeerMessage.RUMORS_MOST + 1)))));
        byte[] later = PeerMessageCodec.bytes(new PeerMessage.Nack(1, List.of()));
        later[0] = 2;
        assertThrows(PeerMessageCodec.LaterVersionException.class, () -> PeerMessageCodec.word(later));
        Update long64 = new Update(new Member("g".repeat(65), 1, "z", "b", "s"), 0, MemberState.ALIVE, "g");
        assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.word(PeerMessageCodec.bytes(new PeerMessage.Ping(1, List.of(long64)))));
        assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.word(new byte[0]));
        Digest digest = new Digest("g", 7, 8, Map.of("a", 1, "b", 2), 3);
        assertEquals(digest, PeerMessageCodec.digest(PeerMessageCodec.bytes(digest)));
        assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.digest(PeerMessageCodec.bytes(new PeerMessage.Nack(1, List.of()))));
    }
}
