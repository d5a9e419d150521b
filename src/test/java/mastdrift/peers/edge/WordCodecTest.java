package mastdrift.peers.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mastdrift.peers.Card;
import mastdrift.peers.Digest;
import mastdrift.peers.Roster;
import mastdrift.peers.Rumor;
import mastdrift.peers.Standing;
import mastdrift.peers.Word;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class WordCodecTest {

    private static List<Rumor> rumors(Random random, int most) {
        List<Rumor> rumors = new ArrayList<>();
        for (int i = random.nextInt(most + 1); i > 0; i--) {
            rumors.add(new Rumor(new Card("g" + i, random.nextLong() >>> 1, "z", "b" + i, "s"), random.nextInt(), Standing.values()[random.nextInt(4)], "by"));
        }
        rumors.replaceAll(each -> new Rumor(each.card(), Math.abs((long) each.incarnation()), each.standing(), each.by()));
        return rumors;
    }

    private static Word drawn(Random random) {
        List<Rumor> rumors = rumors(random, Word.RUMORS_MOST);
        long number = random.nextLong();
        return switch (random.nextInt(5)) {
            case 0 -> new Word.Ping(number, rumors);
            case 1 -> new Word.Ack(number, rumors);
            case 2 -> new Word.Nack(number, rumors);
            case 3 -> new Word.Ask(number, "target", rumors);
            default -> new Word.Sync(random.nextBoolean(), rumors(random, 300));
        };
    }

    /** What is written is read as it was; with any byte changed or cut off, it is read as another word or refused, and nothing else happens. */
    @Property(tries = 500)
    void wordsComeBackAndSpoiltOnesAreRefused(@ForAll long seed) {
        Random random = new Random(seed);
        Word word = drawn(random);
        byte[] bytes = WordCodec.bytes(word);
        assertEquals(word, WordCodec.word(bytes));
        byte[] spoilt = random.nextBoolean() ? Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes.clone();
        if (spoilt.length == bytes.length) {
            spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 + random.nextInt(255));
        }
        try {
            WordCodec.word(spoilt);
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("expected") && e.getMessage().contains("found"), e.getMessage());
        }
    }

    @Test
    void boundsAndLaterVersionsAreNamed() {
        Rumor rumor = new Rumor(new Card("g", 1, "z", "b", "s"), 0, Standing.ALIVE, "g");
        List<Rumor> many = new ArrayList<>(java.util.Collections.nCopies(Roster.GATEWAYS_MOST + 1, rumor));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> WordCodec.word(WordCodec.bytes(new Word.Sync(true, many)))).getMessage()
                .startsWith("rumors: expected at most 2000"));
        assertThrows(IllegalArgumentException.class, () -> WordCodec.word(WordCodec.bytes(new Word.Ping(1, many.subList(0, Word.RUMORS_MOST + 1)))));
        byte[] later = WordCodec.bytes(new Word.Nack(1, List.of()));
        later[0] = 2;
        assertThrows(WordCodec.LaterVersionException.class, () -> WordCodec.word(later));
        Rumor long64 = new Rumor(new Card("g".repeat(65), 1, "z", "b", "s"), 0, Standing.ALIVE, "g");
        assertThrows(IllegalArgumentException.class, () -> WordCodec.word(WordCodec.bytes(new Word.Ping(1, List.of(long64)))));
        assertThrows(IllegalArgumentException.class, () -> WordCodec.word(new byte[0]));
        Digest digest = new Digest("g", 7, 8, Map.of("a", 1, "b", 2), 3);
        assertEquals(digest, WordCodec.digest(WordCodec.bytes(digest)));
        assertThrows(IllegalArgumentException.class, () -> WordCodec.digest(WordCodec.bytes(new Word.Nack(1, List.of()))));
    }
}
