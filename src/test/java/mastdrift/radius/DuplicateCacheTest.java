package mastdrift.radius;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import mastdrift.radius.IdentifierPool.Slot;
import mastdrift.radius.DuplicateCache.LookupResult;
import mastdrift.radius.DuplicateCache.Source;
import mastdrift.radius.DuplicateCache.Disposition;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is a resend of what, what is kept for it, and which identifier may be used. */
class DuplicateCacheTest {

    private static final long KEPT = 30_000_000;

    private final DuplicateCache resends = new DuplicateCache(KEPT, 8, 100);

    private static Source source(int address, int port) {
        return new Source(new byte[] {10, 0, 0, (byte) address}, port);
    }

    private static Packet access(int identifier, int authenticator) {
        byte[] bytes = new byte[16];
        bytes[0] = (byte) authenticator;
        return new Packet(Code.ACCESS_REQUEST, identifier, bytes, List.of());
    }

    private static Attribute number(int type, int value) {
        return new Attribute(type, new byte[] {0, 0, 0, (byte) value});
    }

    private static Packet accounting(int identifier, int status, String session, int delay, Attribute... more) {
        List<Attribute> attributes = new ArrayList<>(List.of(number(Attribute.ACCT_STATUS_TYPE, status),
                number(Attribute.ACCT_DELAY_TIME, delay), number(Attribute.NAS_IP_ADDRESS, 7)));
        if (session != null) {
            attributes.add(new Attribute(Attribute.ACCT_SESSION_ID, session.getBytes(StandardCharsets.US_ASCII)));
        }
        attributes.addAll(List.of(more));
        byte[] authenticator = new byte[16];
        authenticator[0] = (byte) identifier;
        return new Packet(Code.ACCOUNTING_REQUEST, identifier, authenticator, attributes);
    }

    private Disposition what(long now, Source source, Packet packet) {
        return resends.met(now, source, packet).what();
    }

    // ---- identities

    /** The hard case of a resent Access-Request: while the first is out it joins, afterwards it gets the same bytes. */
    @Test
    void aResendJoinsAndThenGetsTheKeptAnswer() {
        LookupResult first = resends.met(0, source(1, 1812), access(5, 1));
        assertEquals(Disposition.PASS_ON, first.what());
        assertEquals(Disposition.JOINED, what(1, source(1, 1812), access(5, 1)));
        assertEquals(1, first.entry().waiting().size(), "one answer for both");
        byte[] answer = {1, 2, 3};
        resends.answered(first.entry(), first.entry().waiting().get(0), answer);
        LookupResult again = resends.met(2, source(1, 1812), access(5, 1));
        assertEquals(Disposition.KEPT, again.what());
        assertSame(answer, again.answer());
        assertEquals(Disposition.PASS_ON, what(KEPT, source(1, 1812), access(5, 1)), "no longer kept");
    }

    /** The same identifier with another authenticator, from another port or address, or with another code, is another. */
    @Test
    void whatDiffersInAnyPartIsNew() {
        assertEquals(Disposition.PASS_ON, what(0, source(1, 1812), access(5, 1)));
        assertEquals(Disposition.PASS_ON, what(0, source(1, 1812), access(5, 2)));
        assertEquals(Disposition.PASS_ON, what(0, source(1, 1812), access(6, 1)));
        assertEquals(Disposition.PASS_ON, what(0, source(1, 1813), access(5, 1)));
        assertEquals(Disposition.PASS_ON, what(0, source(2, 1812), access(5, 1)));
        assertEquals(Disposition.PASS_ON, what(0, source(2, 1812), new Packet(Code.STATUS_SERVER, 5, access(5, 1).authenticator(),
                List.of())));
    }

    @Test
    void whatWasNotAnsweredIsANewTry() {
        LookupResult first = resends.met(0, source(1, 1812), access(5, 1));
        resends.unanswered(first.entry());
        assertEquals(0, resends.size());
        assertEquals(Disposition.PASS_ON, what(1, source(1, 1812), access(5, 1)));
    }

    // ---- effects

    /** The hard case of a start that is resent with a new identifier since its delay went up. */
    @Test
    void aStartWithAnotherDelayIsTheSameStart() {
        LookupResult first = resends.met(0, source(1, 1813), accounting(5, 1, "s1", 0));
        LookupResult later = resends.met(1, source(1, 1813), accounting(6, 1, "s1", 3));
        assertEquals(Disposition.JOINED, later.what());
        assertSame(first.entry(), later.entry());
        assertEquals(2, first.entry().waiting().size(), "each identity gets an answer of its own");
        for (int i = 0; i < 2; i++) {
            resends.answered(first.entry(), first.entry().waiting().get(i), new byte[] {(byte) i});
        }
        assertArrayEquals(new byte[] {1}, resends.met(2, source(1, 1813), accounting(6, 1, "s1", 3)).answer());
        LookupResult after = resends.met(3, source(1, 1813), accounting(7, 1, "s1", 9));
        assertEquals(Disposition.REPEATED, after.what(), "answered without a server");
        resends.answered(after.entry(), after.entry().waiting().get(2), new byte[] {2});
        assertEquals(Disposition.KEPT, what(4, source(1, 1813), accounting(7, 1, "s1", 9)));
    }

    @ParameterizedTest
    @CsvSource({"1, s1, 1, s1, true", "1, s1, 1, s2, false", "1, s1, 2, s1, false", "2, s1, 2, s1, true", "3, s1, 3, s1, true",
        "7, , 7, , true", "7, , 8, , false"})
    void effectsByStatusAndSession(int status, String session, int otherStatus, String otherSession, boolean same) {
        AccountingEvent one = AccountingEvent.of(new byte[4], accounting(1, status, session, 0));
        AccountingEvent other = AccountingEvent.of(new byte[4], accounting(2, otherStatus, otherSession, 5,
                new Attribute(Attribute.PROXY_STATE, new byte[3])));
        assertEquals(same, one.equals(other));
        assertEquals(same, one.key() == other.key());
        assertNotEquals(one, AccountingEvent.of(new byte[] {1, 2, 3, 4}, accounting(1, status, session, 0)), "another client");
    }

    /** Interim updates of one session go on: each session time is an effect of its own, and nothing else makes one. */
    @Test
    void interimUpdatesAreToldApartBySessionTime() {
        AccountingEvent one = AccountingEvent.of(new byte[4], accounting(1, 3, "s", 0, number(Attribute.ACCT_SESSION_TIME, 60), number(42, 1)));
        AccountingEvent same = AccountingEvent.of(new byte[4], accounting(2, 3, "s", 9, number(Attribute.ACCT_SESSION_TIME, 60), number(42, 2)));
        AccountingEvent next = AccountingEvent.of(new byte[4], accounting(3, 3, "s", 0, number(Attribute.ACCT_SESSION_TIME, 120), number(42, 1)));
        assertEquals(one, same);
        assertNotEquals(one, next);
        assertNotEquals(AccountingEvent.of(new byte[4], accounting(1, 3, "s", 0, number(42, 1))),
                AccountingEvent.of(new byte[4], accounting(1, 3, "s", 0, number(42, 2))), "without a time, by all else");
    }

    // ---- bounds

    /** A flood of new identifiers from one address takes its own eldest, and the others keep theirs. */
    @Test
    void aFloodFromOneAddressTakesNothingFromAnother() {
        what(0, source(1, 1), access(1, 1));
        for (int i = 0; i < 100; i++) {
            what(1, source(2, 1), access(i, 1));
        }
        assertEquals(Disposition.JOINED, what(2, source(1, 1), access(1, 1)));
        assertEquals(3, resends.size(), "a quarter of eight for one address");
        assertEquals(Disposition.JOINED, what(2, source(2, 1), access(99, 1)));
        assertEquals(Disposition.PASS_ON, what(2, source(2, 1), access(97, 1)));
    }

    @Test
    void beyondTheBoundOfAllTheEldestGoes() {
        for (int i = 0; i < 9; i++) {
            what(i, source(i, 1), access(1, 1));
        }
        assertEquals(8, resends.size());
        assertEquals(Disposition.JOINED, what(9, source(8, 1), access(1, 1)));
        assertEquals(Disposition.PASS_ON, what(9, source(0, 1), access(1, 1)));
    }

    @Test
    void beyondTheBoundOfBytesTheEldestAnswersGo() {
        for (int i = 0; i < 4; i++) {
            LookupResult met = resends.met(i, source(i, 1), access(1, 1));
            resends.answered(met.entry(), met.entry().waiting().get(0), new byte[40]);
        }
        assertEquals(80, resends.bytes());
        assertEquals(Disposition.PASS_ON, what(5, source(1, 1), access(1, 1)));
        assertEquals(Disposition.KEPT, what(5, source(3, 1), access(1, 1)));
    }

    @Test
    void anAnswerToWhatHadToGoIsNotKept() {
        LookupResult met = resends.met(0, source(1, 1), access(1, 1));
        for (int i = 0; i < 3; i++) {
            what(0, source(1, 1), access(2 + i, 1));
        }
        resends.answered(met.entry(), met.entry().waiting().get(0), new byte[40]);
        resends.unanswered(met.entry());
        assertEquals(0, resends.bytes());
        assertEquals(2, resends.size());
    }

    /** Many steps against a plain model: an identity is passed on once while it is held, and its answer never changes. */
    @Property(tries = 60, seed = "42")
    void throughManyStepsEachIsPassedOnOnceAndItsAnswerStays(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DuplicateCache many = new DuplicateCache(1000, 10_000, 1 << 20);
        Map<String, LookupResult> out = new HashMap<>();
        Map<String, byte[]> answers = new HashMap<>();
        Map<String, Long> since = new HashMap<>();
        for (long now = 0; now < 4000; now += random.nextInt(8)) {
            int address = random.nextInt(3);
            int identifier = random.nextInt(10);
            String name = address + "/" + identifier;
            LookupResult met = many.met(now, source(address, 1), access(identifier, 0));
            boolean held = since.containsKey(name) && now - since.get(name) < 1000;
            assertEquals(!held ? Disposition.PASS_ON : answers.containsKey(name) ? Disposition.KEPT : Disposition.JOINED, met.what());
            if (met.what() == Disposition.PASS_ON) {
                out.put(name, met);
                answers.remove(name);
                since.put(name, now);
            } else if (met.what() == Disposition.KEPT) {
                assertSame(answers.get(name), met.answer());
            } else if (random.nextInt(3) == 0) {
                byte[] answer = {(byte) now};
                many.answered(out.get(name).entry(), out.get(name).entry().waiting().get(0), answer);
                answers.put(name, answer);
            } else if (random.nextInt(5) == 0) {
                many.unanswered(out.get(name).entry());
                since.remove(name);
            }
        }
    }

    // ---- conversations

    @Test
    void aConversationIsRememberedByItsLastState() {
        ConversationTable conversations = new ConversationTable(2, 100);
        conversations.challenged(0, new byte[] {1}, new ConversationTable.Conversation("one", 7));
        assertEquals(new ConversationTable.Conversation("one", 7), conversations.held(99, new byte[] {1}));
        assertNull(conversations.held(100, new byte[] {1}), "its time is over");
        assertNull(conversations.held(1, new byte[] {2}));
        conversations.challenged(1, new byte[] {2}, new ConversationTable.Conversation("two", 8));
        conversations.challenged(2, new byte[] {3}, new ConversationTable.Conversation("two", 8));
        assertEquals(2, conversations.size());
        assertNull(conversations.held(3, new byte[] {1}), "beyond the bound the eldest goes");
        conversations.challenged(200, new byte[] {4}, new ConversationTable.Conversation("two", 8));
        assertEquals(1, conversations.size(), "expired ones leave");
    }

    // ---- identifiers towards servers

    @Test
    void anIdentifierRestsWhereItsAnswerMayStillCome() {
        IdentifierPool identifiers = new IdentifierPool(1, 100);
        Set<Slot> all = new HashSet<>();
        for (int i = 0; i < 256; i++) {
            assertTrue(all.add(identifiers.take(0)));
        }
        assertNull(identifiers.take(0), "nothing may be sent");
        identifiers.givenUp(10, new Slot(0, 7));
        assertNull(identifiers.take(109));
        assertEquals(new Slot(0, 7), identifiers.take(110));
        identifiers.answered(new Slot(0, 9));
        assertEquals(new Slot(0, 9), identifiers.take(110));
        assertThrows(IllegalStateException.class, () -> {
            identifiers.answered(new Slot(0, 9));
            identifiers.answered(new Slot(0, 9));
        });
        assertThrows(IllegalArgumentException.class, () -> new IdentifierPool(0, 1));
    }

    /** Many steps: no slot is out twice, none comes back before its rest is over, and ports are opened only as needed. */
    @Property(tries = 30, seed = "43")
    void noIdentifierIsOutTwiceNorTooSoon(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        IdentifierPool identifiers = new IdentifierPool(3, 500);
        List<Slot> out = new ArrayList<>();
        Map<Slot, Long> rests = new HashMap<>();
        int most = 0;
        for (long now = 0; now < 20_000; now += random.nextInt(4)) {
            if (random.nextInt(5) < 3) {
                Slot slot = identifiers.take(now);
                if (slot == null) {
                    assertEquals(3, identifiers.ports());
                } else {
                    assertTrue(!out.contains(slot) && rests.getOrDefault(slot, 0L) <= now, "" + slot);
                    out.add(slot);
                }
            } else if (!out.isEmpty()) {
                Slot slot = out.remove(random.nextInt(out.size()));
                if (random.nextBoolean()) {
                    identifiers.answered(slot);
                } else {
                    identifiers.givenUp(now, slot);
                    rests.put(slot, now + 500);
                }
            }
            most = Math.max(most, out.size());
            assertEquals(out.size(), identifiers.taken());
        }
        assertTrue(most > 100, "most out " + most);
    }
}
