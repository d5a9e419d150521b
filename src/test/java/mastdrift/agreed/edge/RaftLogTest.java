package mastdrift.agreed.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import mastdrift.agreed.AgreedLog;
import mastdrift.agreed.AgreedLog.AppendOutcome;
import mastdrift.agreed.AgreedLog.Decision;
import mastdrift.agreed.Voters;
import org.apache.ratis.util.SizeInBytes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The agreed log on the Raft library, several members in one process: what is in stays in, each once, and folders that can't be trusted take no part. */
class RaftLogTest {

    private static final int WAIT_SECONDS = 40;
    private static final long AWAY = 2_000_000;

    @TempDir
    private Path folder;

    private final Map<String, BiConsumer<String, byte[]>> receivers = new ConcurrentHashMap<>();
    private final Set<String> cut = ConcurrentHashMap.newKeySet();
    private final Set<String> noEntries = ConcurrentHashMap.newKeySet();  // who is asked to append nothing, and hears all else
    private final Map<String, Member> members = new ConcurrentHashMap<>();
    private final ExecutorService network = Executors.newSingleThreadExecutor();
    private final Map<String, AtomicInteger> chunks = new ConcurrentHashMap<>();  // of snapshots, by whom they go to
    private final List<Path> links = new ArrayList<>();  // to a disk that is full
    private RaftLog.Snapshots snapshots = new RaftLog.Snapshots(RaftLog.SNAPSHOT_EVERY, SizeInBytes.valueOf("128KB"));
    private long longAway = 3_600_000_000L;

    private final class Member {
        private final String name;
        private final List<Decision> read = new CopyOnWriteArrayList<>();
        private final List<String> said = new CopyOnWriteArrayList<>();
        private final RaftLog log;

        Member(String name, String begin, List<String> voters) {
            this.name = name;
            log = new RaftLog(new RaftLog.Settings(name, "test", begin, voters, folder.resolve(name), longAway), snapshots, new LogTransport() {
                @Override
                public void send(String gateway, byte[] message) {
                    network.execute(() -> {
                        BiConsumer<String, byte[]> to = receivers.get(gateway);
                        if (message[0] == PeerRpc.INSTALL) {
                            chunks.computeIfAbsent(gateway, each -> new AtomicInteger()).incrementAndGet();
                        }
                        if (to != null && !cut.contains(name) && !cut.contains(gateway)
                                && !(noEntries.contains(gateway) && message[0] == PeerRpc.APPEND)) {
                            to.accept(name, message);
                        }
                    });
                }

                @Override
                public void onMessage(BiConsumer<String, byte[]> receiver) {
                    receivers.put(name, receiver);
                }
            }, read::add, () -> members.keySet().stream().map(each -> new Voters.EligibleGateway(each, "z", receivers.containsKey(each) && !cut.contains(each) ? 0 : AWAY)).toList(),
                    (bad, what, text, fields) -> said.add(what + " " + text));
            members.put(name, this);
        }

        AppendOutcome append(String id) throws Exception {
            CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
            log.append(id, ("of " + id).getBytes(), outcome::complete);
            return outcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }

        /** Until it is known to be in. */
        long commit(String id) throws Exception {
            for (int tries = 0; tries < 8; tries++) {
                if (append(id) instanceof AppendOutcome.Committed committed) {
                    return committed.index();
                }
            }
            throw new AssertionError(name + ": " + id + " is not in; " + log.status() + " " + said);
        }

        List<String> ids() {
            return read.stream().map(Decision::id).toList();
        }

        void kill() {
            receivers.remove(name);
            log.close();
        }
    }

    private void start(String begin, List<String> voters, String... names) {
        for (String name : names) {
            new Member(name, begin, voters);
        }
    }

    private void await(BooleanSupplier holds, String what) throws InterruptedException {
        for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS); !holds.getAsBoolean(); Thread.sleep(20)) {
            assertTrue(System.nanoTime() < until, () -> what + "; " + members.values().stream().map(each -> each.name + " " + each.log.status() + " " + each.ids().size() + " "
                    + each.said).toList());
        }
    }

    private void awaitAll(List<String> ids, String... names) throws InterruptedException {
        for (String name : names) {
            await(() -> new HashSet<>(members.get(name).ids()).containsAll(ids), name + " reads all of " + ids.size());
            assertEquals(members.get(names[0]).ids().subList(0, ids.size()), members.get(name).ids().subList(0, ids.size()), "in one order");
            assertEquals(new HashSet<>(members.get(name).ids()).size(), members.get(name).ids().size(), "each once");
            List<Long> ordinals = members.get(name).read.stream().map(Decision::ordinal).toList();
            assertEquals(LongStream.rangeClosed(1, ordinals.size()).boxed().toList(), ordinals, "counted without a gap");
        }
    }

    private void delete(String name) throws IOException {
        try (Stream<Path> paths = Files.walk(folder.resolve(name))) {
            for (Path each : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }

    private void copy(String from, String to) throws IOException {
        try (Stream<Path> paths = Files.walk(folder.resolve(from))) {
            for (Path each : paths.toList()) {
                Path at = folder.resolve(to).resolve(folder.resolve(from).relativize(each));
                if (Files.isDirectory(each)) {
                    Files.createDirectories(at);
                } else if (!each.endsWith("in_use.lock")) {
                    Files.copy(each, at);
                }
            }
        }
    }

    @AfterEach
    void close() throws IOException {
        members.values().forEach(each -> each.log.close());
        network.shutdownNow();
        for (Path each : links) {
            Files.deleteIfExists(each);
        }
    }

    /** Three voters and one who follows; the leader ends in the middle and starts again with its folder. */
    @Test
    void whatIsInIsReadByAllInOneOrderAndOnce() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c", "d");
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String id = "first-" + i;
            members.get(List.of("a", "b", "c", "d").get(i % 4)).commit(id);
            ids.add(id);
        }
        awaitAll(ids, "a", "b", "c", "d");
        long index = members.get("a").commit("first-3");
        assertEquals(index, members.get("d").commit("first-3"), "the same id again is where it was");
        assertInstanceOf(AppendOutcome.Rejected.class, settle("b", "never"));
        assertInstanceOf(AppendOutcome.Rejected.class, members.get("c").append("never"), "and can't come in any more");
        assertInstanceOf(AppendOutcome.Committed.class, settle("b", "first-3"));
        assertInstanceOf(AppendOutcome.Rejected.class, large("a"));

        String leader = members.get("a").log.status().leader();
        members.get(leader).kill();
        Member other = members.get(voters.stream().filter(each -> !each.equals(leader)).findFirst().orElseThrow());
        for (int i = 0; i < 4; i++) {
            other.commit("second-" + i);
            ids.add("second-" + i);
        }
        new Member(leader, "one", voters);
        awaitAll(ids, "a", "b", "c", "d");

        for (String each : voters) {  // a majority is away: nothing is known, and nothing is lost
            if (!each.equals(other.name)) {
                cut.add(each);
            }
        }
        assertInstanceOf(AppendOutcome.Unknown.class, other.append("third"));
        cut.clear();
        ids.add("third");
        assertEquals(other.commit("third"), members.get("d").commit("third"));
        awaitAll(ids, "a", "b", "c", "d");
    }

    /** Guards against a voter that stays behind without knowing it: its own log takes no entry, and it reads what the others have decided behind one of them, each once; and goes on by itself later. */
    @Test
    void aVoterWhoseLogStandsStillReadsBehindAnother() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        List<String> ids = new ArrayList<>(List.of("first"));
        members.get("a").commit("first");
        awaitAll(ids, "a", "b", "c");
        String leader = members.get("a").log.status().leader();
        String stuck = voters.stream().filter(each -> !each.equals(leader)).findFirst().orElseThrow();
        noEntries.add(stuck);
        for (int i = 0; i < 4; i++) {
            ids.add("second-" + i);
            members.get(leader).commit("second-" + i);
        }
        awaitAll(ids, "a", "b", "c");
        await(() -> members.get(stuck).said.stream().anyMatch(each -> each.startsWith("agreed_behind")), "it says so");
        noEntries.clear();
        ids.add("third");
        members.get(leader).commit("third");
        awaitAll(ids, "a", "b", "c");
    }

    /** Guards against a log that keeps what its own lead never agreed on: a leader that is cut off takes appends that come to nothing, another one leads, and the first takes that one's entries in place of its own. */
    @Test
    void whoLostTheLeadTakesTheEntriesOfTheNext() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        List<String> ids = new ArrayList<>(List.of("first"));
        members.get("a").commit("first");
        awaitAll(ids, "a", "b", "c");
        String old = members.get("a").log.status().leader();
        cut.add(old);
        List<CompletableFuture<AppendOutcome>> lost = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
            members.get(old).log.append("lost-" + i, new byte[100], outcome::complete);
            lost.add(outcome);
        }
        String other = voters.stream().filter(each -> !each.equals(old)).findFirst().orElseThrow();
        for (int i = 0; i < 5; i++) {
            members.get(other).commit("second-" + i);
            ids.add("second-" + i);
        }
        cut.clear();
        awaitAll(ids, voters.toArray(new String[0]));
        members.get(other).commit("third");
        ids.add("third");
        awaitAll(ids, voters.toArray(new String[0]));
        await(() -> members.get(old).log.status().last() >= members.get(other).log.status().last(), "its own log has all entries");
        for (CompletableFuture<AppendOutcome> each : lost) {
            assertInstanceOf(AppendOutcome.class, each.get(WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    private AppendOutcome settle(String at, String id) throws Exception {
        CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
        members.get(at).log.settle(id, outcome::complete);
        return outcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private AppendOutcome large(String at) throws Exception {
        CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
        members.get(at).log.append("large", new byte[AgreedLog.MAX_DECISION_BYTES + 1], outcome::complete);
        return outcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** A folder that is lost comes back under another identity; an older copy, and one with spoilt bytes, take no part. */
    @Test
    void aLostFolderJoinsAnewAndAnOlderOneStepsAside() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        members.get("a").commit("one");
        members.get("c").kill();
        copy("c", "c-then");
        new Member("c", "one", voters);
        await(() -> members.get("c").log.status().role().equals("voter"), "c is back");
        await(() -> members.get("c").ids().contains("one"), "c reads");
        Thread.sleep(6_000);  // a epoch, by which an older copy is told from it
        members.get("c").kill();
        delete("c");
        copy("c-then", "c");
        new Member("c", "one", voters);
        await(() -> members.get("c").log.status().role().equals("aside"), "an older copy takes no part");
        assertTrue(members.get("c").log.status().why().contains("older copy"), members.get("c").log.status().why());

        members.get("c").kill();
        delete("c");
        new Member("c", "one", voters);
        await(() -> members.get("c").log.status().role().equals("voter"), "one that was lost joins anew");
        members.get("c").commit("two");
        awaitAll(List.of("one", "two"), "a", "b", "c");

        members.get("b").kill();
        Files.write(folder.resolve("b").resolve("member.json"), new byte[] {1, 2, 3});
        new Member("b", "one", voters);
        await(() -> members.get("b").log.status().role().equals("aside"), "spoilt bytes");
        members.get("a").commit("three");
    }

    /** Two of three folders are lost: no past is invented, until the operator has a new word for it. A voter that is away for long is replaced. */
    @Test
    void aLostMajorityInventsNoPast() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        members.get("a").commit("one");
        for (String each : voters) {
            members.get(each).kill();
        }
        delete("b");
        delete("c");
        start("one", voters, "a", "b", "c");
        await(() -> members.get("b").log.status().role().equals("aside") && members.get("c").log.status().role().equals("aside"), "both step aside");
        assertTrue(members.get("b").log.status().why().contains("to a new value to start a new log"));
        for (String each : voters) {
            members.get(each).kill();
        }
        longAway = AWAY;
        start("two", voters, "a", "b", "c", "d");
        members.get("a").commit("new");
        awaitAll(List.of("new"), "a", "b", "c", "d");
        assertEquals(List.of("new"), members.get("a").ids());
        members.get("c").kill();
        members.remove("c");
        await(() -> members.get("d").log.status().role().equals("voter") && members.get("a").log.status().group().containsKey("d"), "d takes the place of c");
        members.get("d").commit("later");
        awaitAll(List.of("new", "later"), "a", "b", "d");
        new Member("c", "two", voters);
        await(() -> List.of("aside", "following").contains(members.get("c").log.status().role()), "c comes back and finds that it was replaced");
    }

    private List<String> commitMany(String at, String prefix, int count, int bytes) throws Exception {
        List<String> ids = new ArrayList<>();
        List<CompletableFuture<AppendOutcome>> outcomes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] command = new byte[bytes];
            new Random(i).nextBytes(command);
            ids.add(prefix + i);
            CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
            outcomes.add(outcome);
            members.get(at).log.append(prefix + i, command, outcome::complete);
            if (i % 16 == 15) {
                outcomes.get(i).get(WAIT_SECONDS, TimeUnit.SECONDS);
            }
        }
        for (CompletableFuture<AppendOutcome> each : outcomes) {
            assertInstanceOf(AppendOutcome.Committed.class, each.get(WAIT_SECONDS, TimeUnit.SECONDS));
        }
        return ids;
    }

    private List<String> files(String name, String part) throws IOException {
        try (Stream<Path> paths = Files.walk(folder.resolve(name))) {
            return paths.map(each -> each.getFileName().toString()).filter(each -> each.contains(part)).sorted().toList();
        }
    }

    /** A member without a folder, to whom the log no longer reaches back: it is given a snapshot in many small pieces, from the first to the last, takes part by it and reads every decision once. */
    @Test
    void aSnapshotInManyPiecesIsInstalledWhereTheLogWasCut() throws Exception {
        snapshots = new RaftLog.Snapshots(40, SizeInBytes.valueOf("16KB"));
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        members.get("a").commit("first");
        members.get("c").kill();
        members.remove("c");
        delete("c");
        List<String> ids = new ArrayList<>(List.of("first"));
        ids.addAll(commitMany("a", "many-", 150, 20_000));
        for (String each : List.of("a", "b")) {
            await(() -> {
                try {
                    return files(each, "log_").stream().noneMatch(file -> file.startsWith("log_0-")) && !files(each, "snapshot.").isEmpty();
                } catch (IOException e) {
                    return false;  // a file went while it was listed
                }
            }, each + " has cut its log");
        }
        new Member("c", "one", voters);
        await(() -> members.get("c").log.status().role().equals("voter"), "c takes part");
        awaitAll(ids, "a", "b", "c");
        assertTrue(chunks.get("c").get() > 100, () -> chunks + " pieces of 3 MB by 16 KB");
        await(() -> members.get("c").log.status().last() >= members.get("a").log.status().last(), "its own log goes on from there");
        ids.add("later");
        members.get("c").commit("later");
        awaitAll(ids, "a", "b", "c");
    }

    /** Each next file of a member's log is one on a full disk from now on. */
    private void full(String name) throws IOException {
        Path current;
        try (Stream<Path> paths = Files.walk(folder.resolve(name))) {
            current = paths.filter(each -> each.endsWith("current")).findFirst().orElseThrow();
        }
        for (int i = 1; i < 64; i++) {
            Path next = current.resolve("log_inprogress_" + i);
            if (!Files.exists(next)) {
                links.add(Files.createSymbolicLink(next, Path.of("/dev/full")));
            }
        }
    }

    /** The disk of a voter is full: what it can't keep doesn't count for a majority, it says that it is out, and the others go on without it. */
    @Test
    void aVoterWithAFullDiskDecidesNothingByWhatItCannotKeep() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        members.get("a").commit("first");
        awaitAll(List.of("first"), "a", "b", "c");
        String leader = members.get("a").log.status().leader();
        List<String> others = voters.stream().filter(each -> !each.equals(leader)).toList();
        full(others.get(0));
        List<String> ids = new ArrayList<>(List.of("first"));
        ids.addAll(commitMany(leader, "many-", 40, 50_000));  // 2 MB: two files
        awaitAll(ids, leader, others.get(1));
        await(() -> members.get(others.get(0)).log.status().role().equals("aside"), "it says that it is out");
        cut.add(others.get(1));
        assertInstanceOf(AppendOutcome.Unknown.class, members.get(leader).append("alone"), "of the two that hear each other one can keep nothing");
        assertTrue(members.get(leader).ids().size() == ids.size() && members.get(others.get(0)).ids().size() <= ids.size(), "nobody reads it");
        cut.clear();
        ids.add("alone");
        members.get(leader).commit("alone");
        awaitAll(ids, leader, others.get(1));
    }
}
