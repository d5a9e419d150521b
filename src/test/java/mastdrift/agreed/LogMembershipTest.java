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
import mastdrift.agreed.LogMembership.Folder;
import mastdrift.agreed.LogMembership.Step;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LogMembershipTest {

    /** Voters as folders on paper: they start, run, end, are lost, copied and put back, and hear some of each other. */
    private static final class World {
        private final Random random;
        private final List<String> names;
        private final Map<String, Folder> disks = new HashMap<>();
        private final Map<String, Folder> copies = new HashMap<>();
        private final Set<String> running = new HashSet<>();  // take part
        private final Set<String> starting = new HashSet<>();
        private final Set<Map<String, String>> begun = new HashSet<>();
        private int made;

        World(long seed) {
            random = new Random(seed);
            names = random.nextBoolean() ? List.of("a", "b", "c") : List.of("a", "b", "c", "d", "e");
        }

        private Map<String, Folder> answers(String to) {
            Map<String, Folder> answers = new HashMap<>();
            for (String other : names) {
                if (!other.equals(to) && (running.contains(other) || starting.contains(other)) && random.nextInt(5) > 0) {
                    answers.put(other, disks.get(other));
                }
            }
            return answers;
        }

        void step() {
            String name = names.get(random.nextInt(names.size()));
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> meet(name);
                case 3 -> epoch(name);
                case 4 -> {
                    if (random.nextInt(3) == 0) {
                        running.remove(name);
                        starting.remove(name);
                    }
                }
                case 5 -> {
                    if (disks.containsKey(name) && random.nextInt(3) == 0) {
                        copies.put(name, disks.get(name));
                    }
                }
                case 6 -> {
                    if (!running.contains(name) && !starting.contains(name) && random.nextInt(6) == 0) {
                        disks.remove(name);
                    }
                }
                default -> putBack(name);
            }
        }

        private void putBack(String name) {
            Folder copy = copies.get(name);
            if (running.contains(name) || starting.contains(name) || copy == null || random.nextInt(6) > 0) {
                return;
            }
            disks.put(name, copy);
        }

        private void epoch(String name) {
            if (running.contains(name)) {
                disks.put(name, disks.get(name).nextEpoch());
                names.stream().filter(other -> !other.equals(name) && (running.contains(other) || starting.contains(other)))
                        .forEach(other -> disks.put(other, disks.get(other).withHeard(disks.get(name).id(), disks.get(name).epoch())));
            }
        }

        private void meet(String name) {
            if (running.contains(name)) {
                return;
            }
            if (starting.add(name)) {
                Folder own = disks.getOrDefault(name, new Folder(name + made++, "one", Map.of(), 0, Map.of()));
                disks.put(name, own);
            }
            Map<String, Folder> answers = answers(name);
            Step step = LogMembership.step(name, disks.get(name), names, answers, random.nextInt(2) * 10_000);
            if (step instanceof Step.TakePart take) {
                Folder own = disks.get(name);
                List<Folder> others = own.group().entrySet().stream().filter(each -> !each.getKey().equals(name) && disks.containsKey(each.getKey())
                        && disks.get(each.getKey()).id().equals(each.getValue())).map(each -> disks.get(each.getKey())).toList();
                assertFalse(!others.isEmpty() && others.stream().allMatch(other -> other.heardEpochs().getOrDefault(own.id(), 0L) > own.epoch()),
                        "an older copy takes no part: " + own + " by " + answers);
                assertEquals(disks.get(name).id(), take.group().get(name), "under its own identity");
                if (begun.add(new TreeMap<>(take.group())) && begun.size() > 1) {
                    for (Map<String, String> before : begun) {
                        long there = before.entrySet().stream().filter(each -> disks.containsKey(each.getKey()) && disks.get(each.getKey()).begun()
                                && disks.get(each.getKey()).id().equals(each.getValue())).count();
                        assertTrue(before.equals(take.group()) || there <= before.size() / 2, "a second begin beside the first: " + begun);
                    }
                }
                disks.put(name, disks.get(name).withGroup(take.group()));
                starting.remove(name);
                running.add(name);
                epoch(name);
            } else if (step instanceof Step.JoinAnew join) {
                assertFalse(join.group().containsValue(disks.get(name).id()));
            } else if (step instanceof Step.StepAside) {
                starting.remove(name);
            }
        }
    }

    @Property(tries = 3_000)
    void anOlderCopyTakesNoPartAndNobodyBeginsBesideAMajority(@ForAll long seed) {
        World world = new World(seed);
        for (int i = 0; i < 400; i++) {
            world.step();
        }
    }

    private static Folder begun(String id, long epoch, Map<String, String> group) {
        return new Folder(id, "one", group, epoch, Map.of());
    }

    @Test
    void eachCaseHasItsStep() {
        Map<String, String> group = Map.of("a", "a1", "b", "b1", "c", "c1");
        List<String> names = List.of("a", "b", "c");
        Folder fresh = new Folder("a1", "one", Map.of(), 1, Map.of());
        assertInstanceOf(Step.Wait.class, LogMembership.step("a", fresh, names, Map.of("b", new Folder("b1", "one", Map.of(), 1, Map.of())), 60_000));
        assertInstanceOf(Step.Wait.class, LogMembership.step("a", begun("a1", 1, group), names, Map.of("b", begun("b1", 1, group)), 0));
        assertInstanceOf(Step.TakePart.class, LogMembership.step("a", begun("a1", 1, group), names, Map.of("b", begun("b1", 1, group)), 60_000));
        assertInstanceOf(Step.StepAside.class, LogMembership.step("a", begun("x", 1, group), names, Map.of("b", begun("b1", 1, group)), 60_000));
        assertInstanceOf(Step.StepAside.class, LogMembership.step("a", begun("a1", 1, group), names, Map.of("b", begun("b1", 1, group).withHeard("a1", 2)), 60_000));
        assertInstanceOf(Step.StepAside.class, LogMembership.step("a", begun("a1", 1, group), names, Map.of("b", new Folder("b2", "two", Map.of(), 1, Map.of())), 0));
        Folder lost = new Folder("a2", "one", Map.of(), 1, Map.of());
        assertInstanceOf(Step.JoinAnew.class, LogMembership.step("a", lost, names, Map.of("b", begun("b1", 1, group), "c", begun("c1", 1, group)), 0));
        assertInstanceOf(Step.StepAside.class, LogMembership.step("a", lost, names, Map.of("b", begun("b1", 1, group), "c", new Folder("c2", "one", Map.of(), 1, Map.of())), 0));
        assertInstanceOf(Step.TakePart.class, LogMembership.step("a", fresh, names, Map.of("b", begun("b1", 1, group)), 0), "it was there at the begin and had not heard of it");
        Map<String, String> without = Map.of("a", "a9", "b", "b1", "c", "c1");
        assertInstanceOf(Step.StepAside.class, LogMembership.step("a", begun("a1", 1, group), names, Map.of("b", begun("b1", 1, without), "c", begun("c1", 1, without)), 0));
    }

    /** Whatever entries come, and wherever a member begins from a snapshot, all have the same; ids count once. */
    @Property(tries = 300)
    void decisionsAreTheSameFromAnySnapshot(@ForAll long seed) {
        Random random = new Random(seed);
        Decisions whole = new Decisions();
        Decisions begun = new Decisions();
        Map<String, AppendOutcome> first = new HashMap<>();
        long index = 0;
        for (int i = 0; i < 300; i++) {
            index += 1 + random.nextInt(3);
            String id = "id-" + random.nextInt(60);
            byte[] entry = random.nextInt(6) == 0 ? Decisions.settle(id) : Decisions.append(id, new byte[random.nextInt(50)]);
            if (random.nextInt(40) == 0) {
                entry = new byte[random.nextInt(4)];  // of another build
            }
            AppendOutcome outcome = whole.apply(index, entry);
            assertEquals(outcome.getClass(), begun.apply(index, entry).getClass());
            if (entry.length >= 4) {
                AppendOutcome before = first.putIfAbsent(id, outcome);
                assertTrue(before == null || before.getClass() == outcome.getClass() && (!(before instanceof AppendOutcome.Committed committed) || committed.equals(outcome)), id + " " + before + " " + outcome);
            }
            if (random.nextInt(20) == 0) {
                begun = Decisions.restored(whole.snapshot());
            }
        }
        assertEquals(List.of(), differ(whole, begun));
        byte[] snapshot = whole.snapshot();
        byte[] spoilt = Arrays.copyOf(snapshot, random.nextInt(snapshot.length));
        assertThrows(IllegalArgumentException.class, () -> Decisions.restored(spoilt));
    }

    private static List<String> differ(Decisions one, Decisions other) {
        List<String> differ = new ArrayList<>();
        if (one.last() != other.last() || one.count() != other.count() || one.kept().size() != other.kept().size()
                || !one.kept().stream().map(AgreedLog.Decision::id).toList().equals(other.kept().stream().map(AgreedLog.Decision::id).toList())) {
            differ.add(one.last() + " " + other.last());
        }
        return differ;
    }

    @Test
    void votersAreReplacedOneAtATimeAndSpread() {
        List<Voters.Eligible> all = List.of(new Voters.Eligible("a", "x", 0), new Voters.Eligible("b", "y", 0), new Voters.Eligible("c", "y", 70),
                new Voters.Eligible("d", "y", 0), new Voters.Eligible("e", "z", 0), new Voters.Eligible("f", "z", 5));
        assertEquals(List.of("c", "e"), List.of(Voters.replacement(List.of("a", "b", "c"), all, 60)));
        assertEquals(null, Voters.replacement(List.of("a", "b", "f"), all, 60), "five is not long");
        assertEquals(null, Voters.replacement(List.of("a", "c"), all.subList(0, 3).stream().filter(each -> !each.name().equals("b")).toList(), 60), "nobody to take in");
        assertEquals(new Voters.FaultTolerance(1, false), Voters.faultTolerance(Map.of("a", "x", "b", "y", "c", "y")));
        assertEquals(new Voters.FaultTolerance(2, true), Voters.faultTolerance(Map.of("a", "x", "b", "y", "c", "y", "d", "z", "e", "z")));
        assertEquals(new Voters.FaultTolerance(0, false), Voters.faultTolerance(Collections.singletonMap("a", "x")));
    }
}
