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
import mastdrift.distribution.edge.ForeignBuildEncoder;
import mastdrift.distribution.edge.MessageCodec;
import org.junit.jupiter.api.Test;

/**
 * Compatibility between builds: data of a later build that this one does not know is rejected with a reason and changes
 * nothing; if it makes tables differ, the fork is reported.
 */
class BuildCompatibilityTest {

    private static final Store.Actions IGNORE_ACTIONS = new Store.Actions() {
        @Override
        public void table(Table next, List<Delta> deltas) { }

        @Override
        public void event(String name, String text) { }
    };

    /** Decodes a log entry as the voter's edge does; returns null and records the reason if it cannot be read. */
    private static Command decode(byte[] bytes, List<String> problems) {
        try {
            return MessageCodec.decodeCommand(bytes);
        } catch (IllegalArgumentException e) {
            problems.add(e.getMessage());
            return null;
        }
    }

    private static final Object[] UPSERT = {0, 0, "r", -1, new byte[] {'1'}};

    /**
     * Log entries of a later build: each is rejected completely with a reason, advances the number and changes nothing;
     * the entries after it are applied.
     */
    @Test
    void entriesOfALaterBuildAdvanceTheNumberAndAreRejected() {
        Map<String, byte[]> entries = Map.of(
                "another version", ForeignBuildEncoder.encode(2, 0, new Object[] {"id", new Object[] {UPSERT}}),
                "another format", ForeignBuildEncoder.encode(1, 2, new Object[] {"id", new Object[] {UPSERT}}),
                "an additional field", ForeignBuildEncoder.encodePlain("id", new Object[] {UPSERT}, "why"),
                "an additional field in an edit", ForeignBuildEncoder.encodePlain("id", new Object[] {new Object[] {0, 0, "r", -1, new byte[] {'1'}, 9}}),
                "another kind of resource", ForeignBuildEncoder.encodePlain("id", new Object[] {new Object[] {0, ResourceKind.values().length, "r", -1, new byte[] {'1'}}}),
                "another kind of edit", ForeignBuildEncoder.encodePlain("id", new Object[] {new Object[] {2, 0, "r", -1, "to"}}),
                "another kind of entry", ForeignBuildEncoder.encodePlain(1, new Object[] {7}),
                "an additional field in an epoch start", ForeignBuildEncoder.encodePlain(0, ForeignBuildEncoder.revisionFields(Revision.empty(1)), true),
                "keys", ForeignBuildEncoder.encode(1, 0, Map.of("id", "id", "edits", new Object[] {UPSERT}, "expires", 5)));
        Store store = new Store(Table.empty(1), 1, IGNORE_ACTIONS);
        store.applyEntry(1, "one", TestChanges.of("one", put("r", "0")));
        long number = 1;
        for (Map.Entry<String, byte[]> each : entries.entrySet()) {
            List<String> problems = new ArrayList<>();
            Revision before = store.table().revision();
            Command command = decode(each.getValue(), problems);
            assertEquals(1, problems.size(), each.getKey());
            assertTrue(problems.get(0).contains("expected") && problems.get(0).contains("found"), problems::toString);
            ChangeOutcome outcome = store.applyEntry(++number, "later-" + number, command);
            assertEquals(new ChangeOutcome.Conflict("expected a change, found an entry that this build cannot read"), outcome, each.getKey());
            assertEquals(number, store.table().revision().number());
            assertTrue(store.table().revision().sameState(before), each.getKey());
        }
        assertInstanceOf(ChangeOutcome.Applied.class, store.applyEntry(++number, "known", MessageCodec.decodeCommand(MessageCodec.encode(TestChanges.of("known", put("r", "1"))))));
    }

    /**
     * The opposite direction: a build without {@link EpochStart} rejects it as a change, advances the number, and has
     * the same table at the same number if it had the named one.
     */
    @Test
    void aBuildWithoutEpochStartReachesTheSameTable() {
        Table initial = TestChanges.table(20);
        byte[] bytes = MessageCodec.encode(new EpochStart(initial.revision()));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> MessageCodec.decodeChange(bytes)).getMessage().startsWith("change.id: expected a text"));
        assertEquals(new EpochStart(initial.revision()), MessageCodec.decodeCommand(bytes));
        Store store = new Store(initial, 2, IGNORE_ACTIONS);
        store.applyEntry(1, "begin", MessageCodec.decodeCommand(bytes));
        // the behaviour of that build: it started the epoch implicitly and skipped the entry that it could not read
        Table expected = initial.withEpoch(2).advanceTo(1).table();
        assertEquals(expected.revision(), store.table().revision());
    }

    /** Data written by the previous build can be read; the bytes are made here without its code. */
    @Test
    void dataOfThePreviousBuildIsRead() {
        Change change = TestChanges.of("id", put("r", "1"), new Edit.Delete(ResourceKind.HOST, "h", 7));
        byte[] bytes = ForeignBuildEncoder.encodePlain("id", new Object[] {UPSERT, new Object[] {1, ResourceKind.HOST.ordinal(), "h", 7}});
        Change read = (Change) MessageCodec.decodeCommand(bytes);
        assertEquals(change.id(), read.id());
        assertEquals(change.edits().get(1), read.edits().get(1));
        assertEquals("r", read.edits().get(0).name());
        Revision have = new Revision(1, 5, 3, -4);
        assertEquals(new Message.Subscribe(have, "z"), MessageCodec.decodeMessage(ForeignBuildEncoder.encodePlain(0, ForeignBuildEncoder.revisionFields(have), "z")));
        assertEquals(new Message.Heartbeat(have), MessageCodec.decodeMessage(ForeignBuildEncoder.encodePlain(7, ForeignBuildEncoder.revisionFields(have))));
        assertEquals(new ControlMessage.GetStatus(3), ControlCodec.decode(ForeignBuildEncoder.encode(1, -1, new Object[] {2, 3})));
    }

    /** Requests of an operator's tool of a later build are rejected with a reason. */
    @Test
    void requestsOfALaterBuildAreRejected() {
        for (byte[] each : List.of(ForeignBuildEncoder.encode(2, -1, new Object[] {2, 3}), ForeignBuildEncoder.encode(1, -1, new Object[] {10, 3}), ForeignBuildEncoder.encode(1, -1, new Object[] {2, 3, "zones"}),
                ForeignBuildEncoder.encode(1, -1, Map.of("type", 2, "call", 3)))) {
            String problem = assertThrows(IllegalArgumentException.class, () -> ControlCodec.decode(each)).getMessage();
            assertTrue(problem.contains("expected") && problem.contains("found"), problem);
        }
    }

    /**
     * Voters of two builds read one log entry differently. A subscriber that is served by one and then by the other
     * reports a fork, and its revision never goes back.
     */
    @Test
    void tablesThatDifferBetweenBuildsAreReportedAsForked() {
        SimulatedNetwork network = new SimulatedNetwork();
        Table initial = TestChanges.table(20);
        network.addMachine("a", initial);
        network.addMachine("b", initial);
        Subscriber gateway = network.addGateway("g", initial, "a", "b");
        network.advance(3 * SimulatedNetwork.SECOND_MICROS);
        long number = initial.revision().number() + 1;
        String first = gateway.currentMachine();
        String other = first.equals("a") ? "b" : "a";
        Outcome.Applied appliedResult = TestChanges.requireApplied(initial.apply(number, TestChanges.of("later", put("r", "1"))));
        Outcome.Applied skippedResult = initial.advanceTo(number);
        network.machines.get(first).table(network.now, skippedResult.table(), List.of(skippedResult.delta()));
        network.machines.get(other).table(network.now, appliedResult.table(), List.of(appliedResult.delta()));
        network.advance(2 * SimulatedNetwork.SECOND_MICROS);
        assertEquals(skippedResult.table().revision(), gateway.table().revision());
        assertTrue(network.events.stream().noneMatch(each -> each.contains("config_forked")), network.events::toString);
        network.stopMachine(first);
        for (int i = 0; i < 40; i++) {
            network.advance(SimulatedNetwork.SECOND_MICROS / 2);
            assertEquals(number, gateway.table().revision().number(), "the revision never goes back");
        }
        assertTrue(network.events.stream().anyMatch(each -> each.startsWith("g config_forked")), network.events::toString);
        assertTrue(network.events.stream().anyMatch(each -> each.startsWith(other + " config_forked")), network.events::toString);
    }
}
