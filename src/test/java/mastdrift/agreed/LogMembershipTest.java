package mastdrift.agreed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import mastdrift.agreed.AgreedLog.AppendOutcome;
import mastdrift.agreed.LogMembership.MemberRecord;
import mastdrift.agreed.LogMembership.Action;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Actions of {@link LogMembership}, the state of {@link Decisions} and the choice of {@link Voters}. */
class LogMembershipTest {

    /**
     * Simulated voters: they start, run, end, lose their data directories, are copied and restored from copies, and
     * hear a random part of each other.
     */
    private static final class Simulation {
        private final Random random;
        private final List<String> names;
        private final Map<String, MemberRecord> recordsByName = new HashMap<>();
        private final Map<String, MemberRecord> copiesByName = new HashMap<>();
        private final Set<String> participating = new HashSet<>();  // names of members that take part
        private final Set<String> starting = new HashSet<>();
        private final Set<Map<String, String>> bootstrappedGroups = new HashSet<>();
        private int createdCount;

        Simulation(long seed) {
            random = new Random(seed);
            names = random.nextBoolean() ? List.of("a", "b", "c") : List.of("a", "b", "c", "d", "e");
        }

        private Map<String, MemberRecord> peerRecords(String requester) {
            Map<String, MemberRecord> records = new HashMap<>();
            for (String other : names) {
                if (!other.equals(requester) && (participating.contains(other) || starting.contains(other))
                        && random.nextInt(5) > 0) {
                    records.put(other, recordsByName.get(other));
                }
            }
            return records;
        }

        void step() {
            String name = names.get(random.nextInt(names.size()));
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> tryToParticipate(name);
                case 3 -> advanceEpoch(name);
                case 4 -> {
                    if (random.nextInt(3) == 0) {
                        participating.remove(name);
                        starting.remove(name);
                    }
                }
                case 5 -> {
                    if (recordsByName.containsKey(name) && random.nextInt(3) == 0) {
                        copiesByName.put(name, recordsByName.get(name));
                    }
                }
                case 6 -> {
                    if (!participating.contains(name) && !starting.contains(name) && random.nextInt(6) == 0) {
                        recordsByName.remove(name);
                    }
                }
                default -> restoreCopy(name);
            }
        }

        private void restoreCopy(String name) {
            MemberRecord copy = copiesByName.get(name);
            if (participating.contains(name) || starting.contains(name) || copy == null || random.nextInt(6) > 0) {
                return;
            }
            recordsByName.put(name, copy);
        }

        private void advanceEpoch(String name) {
            if (participating.contains(name)) {
                recordsByName.put(name, recordsByName.get(name).withNextEpoch());
                names.stream().filter(other -> !other.equals(name)
                        && (participating.contains(other) || starting.contains(other)))
                        .forEach(other -> recordsByName.put(other, recordsByName.get(other)
                        .withPeerEpoch(recordsByName.get(name).id(), recordsByName.get(name).epoch())));
            }
        }

        private void tryToParticipate(String name) {
            if (participating.contains(name)) {
                return;
            }
            if (starting.add(name)) {
                MemberRecord ownRecord = recordsByName.getOrDefault(name,
                        new MemberRecord(name + createdCount++, "one", Map.of(), 0, Map.of()));
                recordsByName.put(name, ownRecord);
            }
            Map<String, MemberRecord> peerRecords = peerRecords(name);
            Action action = LogMembership.nextAction(name, recordsByName.get(name), names, peerRecords,
                    random.nextInt(2) * 10_000);
            if (action instanceof Action.Participate participate) {
                MemberRecord ownRecord = recordsByName.get(name);
                List<MemberRecord> others = ownRecord.voterIds().entrySet().stream()
                        .filter(each -> !each.getKey().equals(name) && recordsByName.containsKey(each.getKey())
                        && recordsByName.get(each.getKey()).id().equals(each.getValue()))
                        .map(each -> recordsByName.get(each.getKey())).toList();
                assertFalse(!others.isEmpty() && others.stream()
                        .allMatch(other -> other.peerEpochs().getOrDefault(ownRecord.id(), 0L) > ownRecord.epoch()),
                        "an older copy must not take part: " + ownRecord + " by " + peerRecords);
                assertEquals(recordsByName.get(name).id(), participate.voterIds().get(name),
                        "takes part under its own id");
                if (bootstrappedGroups.add(new TreeMap<>(participate.voterIds())) && bootstrappedGroups.size() > 1) {
                    for (Map<String, String> earlierVoterIds : bootstrappedGroups) {
                        long presentCount = earlierVoterIds.entrySet().stream()
                                .filter(each -> recordsByName.containsKey(each.getKey())
                                && recordsByName.get(each.getKey()).isBootstrapped()
                                && recordsByName.get(each.getKey()).id().equals(each.getValue())).count();
                        assertTrue(earlierVoterIds.equals(participate.voterIds())
                                || presentCount <= earlierVoterIds.size() / 2,
                                "a second log was bootstrapped beside the first: " + bootstrappedGroups);
                    }
                }
                recordsByName.put(name, recordsByName.get(name).withVoters(participate.voterIds()));
                starting.remove(name);
                participating.add(name);
                advanceEpoch(name);
            } else if (action instanceof Action.Rejoin rejoin) {
                assertFalse(rejoin.voterIds().containsValue(recordsByName.get(name).id()));
            } else if (action instanceof Action.Withdraw) {
                starting.remove(name);
            }
        }
    }

    @Property(tries = 3_000)
    void anOlderCopyNeverParticipatesAndNoSecondLogIsBootstrappedBesideAMajority(@ForAll long seed) {
        Simulation simulation = new Simulation(seed);
        for (int i = 0; i < 400; i++) {
            simulation.step();
        }
    }

    private static MemberRecord bootstrapped(String id, long epoch, Map<String, String> voterIds) {
        return new MemberRecord(id, "one", voterIds, epoch, Map.of());
    }

    @Test
    void eachSituationLeadsToItsAction() {
        Map<String, String> voterIds = Map.of("a", "a1", "b", "b1", "c", "c1");
        List<String> names = List.of("a", "b", "c");
        MemberRecord fresh = new MemberRecord("a1", "one", Map.of(), 1, Map.of());
        assertInstanceOf(Action.Wait.class, LogMembership.nextAction("a", fresh, names,
                Map.of("b", new MemberRecord("b1", "one", Map.of(), 1, Map.of())), 60_000));
        assertInstanceOf(Action.Wait.class, LogMembership.nextAction("a", bootstrapped("a1", 1, voterIds), names,
                Map.of("b", bootstrapped("b1", 1, voterIds)), 0));
        assertInstanceOf(Action.Participate.class, LogMembership.nextAction("a", bootstrapped("a1", 1, voterIds),
                names, Map.of("b", bootstrapped("b1", 1, voterIds)), 60_000));
        assertInstanceOf(Action.Withdraw.class, LogMembership.nextAction("a", bootstrapped("x", 1, voterIds), names,
                Map.of("b", bootstrapped("b1", 1, voterIds)), 60_000));
        assertInstanceOf(Action.Withdraw.class, LogMembership.nextAction("a", bootstrapped("a1", 1, voterIds), names,
                Map.of("b", bootstrapped("b1", 1, voterIds).withPeerEpoch("a1", 2)), 60_000));
        assertInstanceOf(Action.Withdraw.class, LogMembership.nextAction("a", bootstrapped("a1", 1, voterIds), names,
                Map.of("b", new MemberRecord("b2", "two", Map.of(), 1, Map.of())), 0));
        MemberRecord recreated = new MemberRecord("a2", "one", Map.of(), 1, Map.of());
        assertInstanceOf(Action.Rejoin.class, LogMembership.nextAction("a", recreated, names,
                Map.of("b", bootstrapped("b1", 1, voterIds), "c", bootstrapped("c1", 1, voterIds)), 0));
        assertInstanceOf(Action.Withdraw.class, LogMembership.nextAction("a", recreated, names,
                Map.of("b", bootstrapped("b1", 1, voterIds), "c",
                new MemberRecord("c2", "one", Map.of(), 1, Map.of())), 0));
        assertInstanceOf(Action.Participate.class, LogMembership.nextAction("a", fresh, names,
                Map.of("b", bootstrapped("b1", 1, voterIds)), 0),
                "it was there at the bootstrap and had not heard of it");
        Map<String, String> voterIdsWithoutA1 = Map.of("a", "a9", "b", "b1", "c", "c1");
        assertInstanceOf(Action.Withdraw.class, LogMembership.nextAction("a", bootstrapped("a1", 1, voterIds), names,
                Map.of("b", bootstrapped("b1", 1, voterIdsWithoutA1), "c", bootstrapped("c1", 1, voterIdsWithoutA1)),
                0));
    }

    /**
     * Members have the same state whatever entries they apply and at whichever snapshot they start; each id counts
     * once.
     */
    @Property(tries = 300)
    void membersHaveTheSameStateFromAnySnapshot(@ForAll long seed) {
        Random random = new Random(seed);
        Decisions complete = new Decisions();
        Decisions restored = new Decisions();
        Map<String, AppendOutcome> firstOutcomes = new HashMap<>();
        long index = 0;
        for (int i = 0; i < 300; i++) {
            index += 1 + random.nextInt(3);
            String id = "id-" + random.nextInt(60);
            byte[] entry = random.nextInt(6) == 0 ? Decisions.settleEntry(id)
                    : Decisions.appendEntry(id, new byte[random.nextInt(50)]);
            if (random.nextInt(40) == 0) {
                entry = new byte[random.nextInt(4)];  // of another build
            }
            AppendOutcome outcome = complete.apply(index, entry);
            assertEquals(outcome.getClass(), restored.apply(index, entry).getClass());
            if (entry.length >= 4) {
                AppendOutcome before = firstOutcomes.putIfAbsent(id, outcome);
                assertTrue(before == null || before.getClass() == outcome.getClass() && (!(before instanceof AppendOutcome.Committed committed) || committed.equals(outcome)), id + " " + before + " " + outcome);
            }
            if (random.nextInt(20) == 0) {
                restored = Decisions.fromSnapshot(complete.snapshot());
            }
        }
        assertEquals(List.of(), differences(complete, restored));
        byte[] snapshot = complete.snapshot();
        byte[] truncated = Arrays.copyOf(snapshot, random.nextInt(snapshot.length));
        assertThrows(IllegalArgumentException.class, () -> Decisions.fromSnapshot(truncated));
    }

    private static List<String> differences(Decisions one, Decisions other) {
        List<String> differences = new ArrayList<>();
        if (one.lastAppliedIndex() != other.lastAppliedIndex() || one.decisionCount() != other.decisionCount()
                || one.retained().size() != other.retained().size()
                || !one.retained().stream().map(AgreedLog.Decision::id).toList()
                .equals(other.retained().stream().map(AgreedLog.Decision::id).toList())) {
            differences.add(one.lastAppliedIndex() + " " + other.lastAppliedIndex());
        }
        return differences;
    }

    @Test
    void votersAreReplacedOneAtATimeAndSpreadOverZones() {
        List<Voters.EligibleGateway> all = List.of(new Voters.EligibleGateway("a", "x", 0),
                new Voters.EligibleGateway("b", "y", 0), new Voters.EligibleGateway("c", "y", 70),
                new Voters.EligibleGateway("d", "y", 0), new Voters.EligibleGateway("e", "z", 0),
                new Voters.EligibleGateway("f", "z", 5));
        assertEquals(List.of("c", "e"), List.of(Voters.replacement(List.of("a", "b", "c"), all, 60)));
        assertEquals(null, Voters.replacement(List.of("a", "b", "f"), all, 60),
                "away for less than the replacement time");
        assertEquals(null, Voters.replacement(List.of("a", "c"), all.subList(0, 3).stream()
                .filter(each -> !each.name().equals("b")).toList(), 60), "no gateway to add");
        assertEquals(new Voters.FaultTolerance(1, false), Voters.faultTolerance(Map.of("a", "x", "b", "y", "c", "y")));
        assertEquals(new Voters.FaultTolerance(2, true), Voters.faultTolerance(Map.of("a", "x", "b", "y", "c", "y", "d", "z", "e", "z")));
        assertEquals(new Voters.FaultTolerance(0, false), Voters.faultTolerance(Collections.singletonMap("a", "x")));
    }
}
