package mastdrift.distribution;

import static mastdrift.distribution.TestChanges.put;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import mastdrift.distribution.Store.ChangeOutcome;
import mastdrift.distribution.edge.ControlCodec;
import mastdrift.distribution.edge.LaterCodec;
import mastdrift.distribution.edge.MessageCodec;
import org.junit.jupiter.api.Test;

/** Two builds side by side: what one says and the other doesn't know is said by name, changes nothing, and where it parts their tables that is loud. */
class BuildCompatibilityTest {

    private static final Store.Actions NOBODY = new Store.Actions() {
        @Override
        public void table(Table next, List<Delta> deltas) { }

        @Override
        public void event(String name, String text) { }
    };

    /** What a voter's edge makes of a decision; null for what it can't read, with the reason noted. */
    private static Command read(byte[] bytes, List<String> why) {
        try {
            return MessageCodec.command(bytes);
        } catch (IllegalArgumentException e) {
            why.add(e.getMessage());
            return null;
        }
    }

    private static final Object[] UPSERT = {0, 0, "r", -1, new byte[] {'1'}};

    /** Decisions of a later build: each is refused whole and by name, counted, and changes nothing; what comes behind it goes in. */
    @Test
    void decisionsOfALaterBuildAreCountedAndSaid() {
        Map<String, byte[]> later = Map.of(
                "another version", LaterCodec.bytes(2, 0, new Object[] {"id", new Object[] {UPSERT}}),
                "another form", LaterCodec.bytes(1, 2, new Object[] {"id", new Object[] {UPSERT}}),
                "a field more", LaterCodec.plain("id", new Object[] {UPSERT}, "why"),
                "a field more in an edit", LaterCodec.plain("id", new Object[] {new Object[] {0, 0, "r", -1, new byte[] {'1'}, 9}}),
                "another kind of resource", LaterCodec.plain("id", new Object[] {new Object[] {0, ResourceKind.values().length, "r", -1, new byte[] {'1'}}}),
                "another kind of edit", LaterCodec.plain("id", new Object[] {new Object[] {2, 0, "r", -1, "to"}}),
                "another kind of decision", LaterCodec.plain(1, new Object[] {7}),
                "a field more in an epoch's beginning", LaterCodec.plain(0, LaterCodec.fields(Revision.none(1)), true),
                "keys", LaterCodec.bytes(1, 0, Map.of("id", "id", "edits", new Object[] {UPSERT}, "expires", 5)));
        Store store = new Store(Table.empty(1), 1, NOBODY);
        store.decided(1, "one", TestChanges.of("one", put("r", "0")));
        long number = 1;
        for (Map.Entry<String, byte[]> each : later.entrySet()) {
            List<String> why = new ArrayList<>();
            Revision before = store.table().revision();
            Command command = read(each.getValue(), why);
            assertEquals(1, why.size(), each.getKey());
            assertTrue(why.get(0).contains("expected") && why.get(0).contains("found"), why::toString);
            ChangeOutcome outcome = store.decided(++number, "later-" + number, command);
            assertEquals(new ChangeOutcome.Conflict("expected a change, found what this build can't read"), outcome, each.getKey());
            assertEquals(number, store.table().revision().number());
            assertTrue(store.table().revision().sameState(before), each.getKey());
        }
        assertInstanceOf(ChangeOutcome.Applied.class, store.decided(++number, "known", MessageCodec.command(MessageCodec.bytes(TestChanges.of("known", put("r", "1"))))));
    }

    /** The other way round: a build that knows no beginning of an epoch refuses it as a change, counts it, and has the same table by the same number where it had the one that is named. */
    @Test
    void aBuildBeforeCountsTheBeginningOfAnEpoch() {
        Table had = TestChanges.table(20);
        byte[] bytes = MessageCodec.bytes(new EpochStart(had.revision()));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> MessageCodec.change(bytes)).getMessage().startsWith("change.id: expected a text"));
        assertEquals(new EpochStart(had.revision()), MessageCodec.command(bytes));
        Store store = new Store(had, 2, NOBODY);
        store.decided(1, "begin", MessageCodec.command(bytes));
        Table before = had.begun(2).passed(1).table();  // as that build began by itself, and passed over what it couldn't read
        assertEquals(before.revision(), store.table().revision());
    }

    /** What the build before wrote is read: bytes by its form, made here without its code. */
    @Test
    void whatABuildBeforeWroteIsRead() {
        Change change = TestChanges.of("id", put("r", "1"), new Edit.Delete(ResourceKind.HOST, "h", 7));
        byte[] bytes = LaterCodec.plain("id", new Object[] {UPSERT, new Object[] {1, ResourceKind.HOST.ordinal(), "h", 7}});
        Change read = (Change) MessageCodec.command(bytes);
        assertEquals(change.id(), read.id());
        assertEquals(change.edits().get(1), read.edits().get(1));
        assertEquals("r", read.edits().get(0).name());
        Revision have = new Revision(1, 5, 3, -4);
        assertEquals(new Message.Subscribe(have, "z"), MessageCodec.message(LaterCodec.plain(0, LaterCodec.fields(have), "z")));
        assertEquals(new Message.Heartbeat(have), MessageCodec.message(LaterCodec.plain(7, LaterCodec.fields(have))));
        assertEquals(new ControlMessage.GetStatus(3), ControlCodec.message(LaterCodec.bytes(1, -1, new Object[] {2, 3})));
    }

    /** An operator's tool of a later build: its questions are refused by name. */
    @Test
    void questionsOfALaterBuildAreRefusedByName() {
        for (byte[] each : List.of(LaterCodec.bytes(2, -1, new Object[] {2, 3}), LaterCodec.bytes(1, -1, new Object[] {10, 3}), LaterCodec.bytes(1, -1, new Object[] {2, 3, "zones"}),
                LaterCodec.bytes(1, -1, Map.of("type", 2, "call", 3)))) {
            String why = assertThrows(IllegalArgumentException.class, () -> ControlCodec.message(each)).getMessage();
            assertTrue(why.contains("expected") && why.contains("found"), why);
        }
    }

    /** Voters of two builds read one decision differently. Whoever follows one and then the other says that they are forked, and never has an earlier revision than before. */
    @Test
    void tablesThatPartByABuildAreForkedLoudly() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Table had = TestChanges.table(20);
        lines.machine("a", had);
        lines.machine("b", had);
        Subscriber gateway = lines.gateway("g", had, "a", "b");
        lines.run(3 * SimulatedNetwork.SECOND);
        long number = had.revision().number() + 1;
        String first = gateway.machine();
        String other = first.equals("a") ? "b" : "a";
        Outcome.Applied knows = TestChanges.applied(had.apply(number, TestChanges.of("later", put("r", "1"))));
        Outcome.Applied passes = had.passed(number);
        lines.machines.get(first).table(lines.now, passes.table(), List.of(passes.delta()));
        lines.machines.get(other).table(lines.now, knows.table(), List.of(knows.delta()));
        lines.run(2 * SimulatedNetwork.SECOND);
        assertEquals(passes.table().revision(), gateway.table().revision());
        assertTrue(lines.events.stream().noneMatch(each -> each.contains("config_forked")), lines.events::toString);
        lines.kill(first);
        for (int i = 0; i < 40; i++) {
            lines.run(SimulatedNetwork.SECOND / 2);
            assertEquals(number, gateway.table().revision().number(), "never back");
        }
        assertTrue(lines.events.stream().anyMatch(each -> each.startsWith("g config_forked")), lines.events::toString);
        assertTrue(lines.events.stream().anyMatch(each -> each.startsWith(other + " config_forked")), lines.events::toString);
    }
}
