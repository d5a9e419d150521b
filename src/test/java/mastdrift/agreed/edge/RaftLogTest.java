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

/**
 * The replicated log on the Raft library with several members in one process: committed decisions stay committed and
 * are read once each, and members with an unusable data directory don't take part.
 */
class RaftLogTest {

    private static final int WAIT_SECONDS = 40;
    private static final long AWAY_MICROS = 2_000_000;

    @TempDir
    private Path directory;

    private final Map<String, BiConsumer<String, byte[]>> receivers = new ConcurrentHashMap<>();
    private final Set<String> partitioned = ConcurrentHashMap.newKeySet();
    // members that receive no AppendEntries requests, but all other messages
    private final Set<String> withoutAppendEntries = ConcurrentHashMap.newKeySet();
    private final Map<String, Member> members = new ConcurrentHashMap<>();
    private final ExecutorService network = Executors.newSingleThreadExecutor();
    // number of snapshot chunks sent, by receiver
    private final Map<String, AtomicInteger> sentChunks = new ConcurrentHashMap<>();
    private final List<Path> fullDiskLinks = new ArrayList<>();  // symbolic links to /dev/full
    private RaftLog.SnapshotSettings snapshotSettings = new RaftLog.SnapshotSettings(RaftLog.SNAPSHOT_INTERVAL_ENTRIES,
            SizeInBytes.valueOf("128KB"));
    private long replaceAfterMicros = 3_600_000_000L;

    private final class Member {
        private final String name;
        private final List<Decision> decisions = new CopyOnWriteArrayList<>();
        private final List<String> events = new CopyOnWriteArrayList<>();
        private final RaftLog log;

        Member(String name, String logId, List<String> voters) {
            this.name = name;
            log = new RaftLog(new RaftLog.Settings(name, "test", logId, voters, directory.resolve(name),
                    replaceAfterMicros), snapshotSettings, new LogTransport() {
                @Override
                public void send(String gateway, byte[] message) {
                    network.execute(() -> {
                        BiConsumer<String, byte[]> to = receivers.get(gateway);
                        if (message[0] == PeerRpc.INSTALL_SNAPSHOT) {
                            sentChunks.computeIfAbsent(gateway, each -> new AtomicInteger()).incrementAndGet();
                        }
                        if (to != null && !partitioned.contains(name) && !partitioned.contains(gateway)
                                && !(withoutAppendEntries.contains(gateway) && message[0] == PeerRpc.APPEND_ENTRIES)) {
                            to.accept(name, message);
                        }
                    });
                }

                @Override
                public void onMessage(BiConsumer<String, byte[]> receiver) {
                    receivers.put(name, receiver);
                }
            }, decisions::add, () -> members.keySet().stream()
                    .map(each -> new Voters.EligibleGateway(each, "z", receivers.containsKey(each)
                    && !partitioned.contains(each) ? 0 : AWAY_MICROS)).toList(),
                    (warning, eventName, text, fields) -> events.add(eventName + " " + text));
            members.put(name, this);
        }

        AppendOutcome append(String id) throws Exception {
            CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
            log.append(id, ("of " + id).getBytes(), outcome::complete);
            return outcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }

        /** Appends until the decision is known to be committed. */
        long commit(String id) throws Exception {
            for (int tries = 0; tries < 8; tries++) {
                if (append(id) instanceof AppendOutcome.Committed committed) {
                    return committed.index();
                }
            }
            throw new AssertionError(name + ": " + id + " is not committed; " + log.status() + " " + events);
        }

        List<String> decisionIds() {
            return decisions.stream().map(Decision::id).toList();
        }

        void kill() {
            receivers.remove(name);
            log.close();
        }
    }

    private void start(String logId, List<String> voters, String... names) {
        for (String name : names) {
            new Member(name, logId, voters);
        }
    }

    private void await(BooleanSupplier condition, String description) throws InterruptedException {
        for (long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
                !condition.getAsBoolean(); Thread.sleep(20)) {
            assertTrue(System.nanoTime() < deadlineNanos, () -> description + "; " + members.values().stream()
                    .map(each -> each.name + " " + each.log.status() + " " + each.decisionIds().size() + " "
                    + each.events).toList());
        }
    }

    private void awaitAll(List<String> ids, String... names) throws InterruptedException {
        for (String name : names) {
            await(() -> new HashSet<>(members.get(name).decisionIds()).containsAll(ids), name + " reads all of "
                    + ids.size());
            assertEquals(members.get(names[0]).decisionIds().subList(0, ids.size()), members.get(name).decisionIds()
                    .subList(0, ids.size()), "in the same order");
            assertEquals(new HashSet<>(members.get(name).decisionIds()).size(), members.get(name).decisionIds().size(),
                    "each once");
            List<Long> ordinals = members.get(name).decisions.stream().map(Decision::ordinal).toList();
            assertEquals(LongStream.rangeClosed(1, ordinals.size()).boxed().toList(), ordinals, "counted without a gap");
        }
    }

    private void delete(String name) throws IOException {
        try (Stream<Path> paths = Files.walk(directory.resolve(name))) {
            for (Path each : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }

    private void copy(String from, String to) throws IOException {
        try (Stream<Path> paths = Files.walk(directory.resolve(from))) {
            for (Path each : paths.toList()) {
                Path at = directory.resolve(to).resolve(directory.resolve(from).relativize(each));
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
        for (Path each : fullDiskLinks) {
            Files.deleteIfExists(each);
        }
    }

    /** Three voters and one follower; the leader ends midway and starts again with its data directory. */
    @Test
    void committedDecisionsAreReadByAllInOneOrderAndOnce() throws Exception {
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
        assertEquals(index, members.get("d").commit("first-3"), "the same id has the same index");
        assertInstanceOf(AppendOutcome.Rejected.class, settle("b", "never"));
        assertInstanceOf(AppendOutcome.Rejected.class, members.get("c").append("never"),
                "a settled id can't be committed any more");
        assertInstanceOf(AppendOutcome.Committed.class, settle("b", "first-3"));
        assertInstanceOf(AppendOutcome.Rejected.class, appendTooLarge("a"));

        String leader = members.get("a").log.status().leader();
        members.get(leader).kill();
        Member other = members.get(voters.stream().filter(each -> !each.equals(leader)).findFirst().orElseThrow());
        for (int i = 0; i < 4; i++) {
            other.commit("second-" + i);
            ids.add("second-" + i);
        }
        new Member(leader, "one", voters);
        awaitAll(ids, "a", "b", "c", "d");

        for (String each : voters) {  // a majority is away: the outcome is unknown, and nothing is lost
            if (!each.equals(other.name)) {
                partitioned.add(each);
            }
        }
        assertInstanceOf(AppendOutcome.Unknown.class, other.append("third"));
        partitioned.clear();
        ids.add("third");
        assertEquals(other.commit("third"), members.get("d").commit("third"));
        awaitAll(ids, "a", "b", "c", "d");
    }

    /** Guards against appends whose callers wait for good because their log was closed meanwhile, at a stop. */
    @Test
    void appendsThatArePendingWhenTheLogIsClosedEndAsUnknown() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        members.get("a").commit("first");
        String leader = members.get("a").log.status().leader();
        voters.stream().filter(each -> !each.equals(leader)).forEach(partitioned::add);
        CompletableFuture<AppendOutcome> pending = new CompletableFuture<>();
        members.get(leader).log.append("second", new byte[1], pending::complete);
        members.get(leader).log.close();
        assertInstanceOf(AppendOutcome.Unknown.class, pending.get(WAIT_SECONDS, TimeUnit.SECONDS));
        assertInstanceOf(AppendOutcome.Unknown.class, members.get(leader).append("third"));
    }

    /**
     * Guards against a voter whose own log accepts no entries without anybody noticing: it must fetch decisions from
     * another voter, each once, and go on from its own log later.
     */
    @Test
    void aVoterWhoseLogDoesNotAdvanceFetchesDecisionsFromAnother() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        List<String> ids = new ArrayList<>(List.of("first"));
        members.get("a").commit("first");
        awaitAll(ids, "a", "b", "c");
        String leader = members.get("a").log.status().leader();
        String stuck = voters.stream().filter(each -> !each.equals(leader)).findFirst().orElseThrow();
        withoutAppendEntries.add(stuck);
        for (int i = 0; i < 4; i++) {
            ids.add("second-" + i);
            members.get(leader).commit("second-" + i);
        }
        awaitAll(ids, "a", "b", "c");
        await(() -> members.get(stuck).events.stream().anyMatch(each -> each.startsWith("agreed_behind")),
                "it reports that its log does not advance");
        withoutAppendEntries.clear();
        ids.add("third");
        members.get(leader).commit("third");
        awaitAll(ids, "a", "b", "c");
    }

    /**
     * Guards against a member that keeps its uncommitted entries of a former term: a leader that is cut off accepts
     * appends that are never committed, another one is elected, and the former leader must replace its own entries by
     * those of the new one.
     */
    @Test
    void aFormerLeaderReplacesItsUncommittedEntries() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        List<String> ids = new ArrayList<>(List.of("first"));
        members.get("a").commit("first");
        awaitAll(ids, "a", "b", "c");
        String formerLeader = members.get("a").log.status().leader();
        partitioned.add(formerLeader);
        List<CompletableFuture<AppendOutcome>> uncommittedOutcomes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
            members.get(formerLeader).log.append("lost-" + i, new byte[100], outcome::complete);
            uncommittedOutcomes.add(outcome);
        }
        String other = voters.stream().filter(each -> !each.equals(formerLeader)).findFirst().orElseThrow();
        for (int i = 0; i < 5; i++) {
            members.get(other).commit("second-" + i);
            ids.add("second-" + i);
        }
        partitioned.clear();
        awaitAll(ids, voters.toArray(new String[0]));
        members.get(other).commit("third");
        ids.add("third");
        awaitAll(ids, voters.toArray(new String[0]));
        await(() -> members.get(formerLeader).log.status().lastIndex() >= members.get(other).log.status().lastIndex(),
                "the log of the former leader has all entries");
        for (CompletableFuture<AppendOutcome> each : uncommittedOutcomes) {
            assertInstanceOf(AppendOutcome.class, each.get(WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    private AppendOutcome settle(String at, String id) throws Exception {
        CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
        members.get(at).log.settle(id, outcome::complete);
        return outcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private AppendOutcome appendTooLarge(String at) throws Exception {
        CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
        members.get(at).log.append("large", new byte[AgreedLog.MAX_DECISION_BYTES + 1], outcome::complete);
        return outcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * A member whose data directory is lost rejoins under a new id; members with an older copy or a damaged file don't
     * take part.
     */
    @Test
    void aLostMemberRejoinsAndAnOlderCopyWithdraws() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        members.get("a").commit("one");
        members.get("c").kill();
        copy("c", "c-then");
        new Member("c", "one", voters);
        await(() -> members.get("c").log.status().role().equals("voter"), "c is back");
        await(() -> members.get("c").decisionIds().contains("one"), "c reads");
        Thread.sleep(6_000);  // an epoch interval, after which an older copy can be detected
        members.get("c").kill();
        delete("c");
        copy("c-then", "c");
        new Member("c", "one", voters);
        await(() -> members.get("c").log.status().role().equals("aside"), "an older copy does not take part");
        assertTrue(members.get("c").log.status().reason().contains("older copy"), members.get("c").log.status()
                .reason());

        members.get("c").kill();
        delete("c");
        new Member("c", "one", voters);
        await(() -> members.get("c").log.status().role().equals("voter"),
                "a member that lost its data directory rejoins");
        members.get("c").commit("two");
        awaitAll(List.of("one", "two"), "a", "b", "c");

        members.get("b").kill();
        Files.write(directory.resolve("b").resolve("member.json"), new byte[] {1, 2, 3});
        new Member("b", "one", voters);
        await(() -> members.get("b").log.status().role().equals("aside"), "a damaged file");
        members.get("a").commit("three");
    }

    /**
     * Two of three data directories are lost: no new log starts until the operator sets a new log id. A voter that is
     * away for long is replaced.
     */
    @Test
    void noNewLogStartsAfterALostMajorityUntilTheLogIdChanges() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        members.get("a").commit("one");
        for (String each : voters) {
            members.get(each).kill();
        }
        delete("b");
        delete("c");
        start("one", voters, "a", "b", "c");
        await(() -> members.get("b").log.status().role().equals("aside") && members.get("c").log.status().role()
                .equals("aside"), "both withdraw");
        assertTrue(members.get("b").log.status().reason().contains("to a new value to start a new log"));
        for (String each : voters) {
            members.get(each).kill();
        }
        replaceAfterMicros = AWAY_MICROS;
        start("two", voters, "a", "b", "c", "d");
        members.get("a").commit("new");
        awaitAll(List.of("new"), "a", "b", "c", "d");
        assertEquals(List.of("new"), members.get("a").decisionIds());
        members.get("c").kill();
        members.remove("c");
        await(() -> members.get("d").log.status().role().equals("voter") && members.get("a").log.status().voterIds()
                .containsKey("d"), "d takes the place of c");
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
        try (Stream<Path> paths = Files.walk(directory.resolve(name))) {
            return paths.map(each -> each.getFileName().toString()).filter(each -> each.contains(part)).sorted().toList();
        }
    }

    /**
     * A member without data, whose next entries are already purged from the log: it receives a snapshot in many small
     * chunks, all of them, takes part with it and reads every decision once.
     */
    @Test
    void aSnapshotInManyChunksIsInstalledWhereTheLogWasPurged() throws Exception {
        snapshotSettings = new RaftLog.SnapshotSettings(40, SizeInBytes.valueOf("16KB"));
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
                    return false;  // a file was deleted during the listing
                }
            }, each + " has purged its log");
        }
        new Member("c", "one", voters);
        await(() -> members.get("c").log.status().role().equals("voter"), "c takes part");
        awaitAll(ids, "a", "b", "c");
        assertTrue(sentChunks.get("c").get() > 100, () -> sentChunks + " chunks of 16 KB from 3 MB");
        await(() -> members.get("c").log.status().lastIndex() >= members.get("a").log.status().lastIndex(),
                "its own log continues from there");
        ids.add("later");
        members.get("c").commit("later");
        awaitAll(ids, "a", "b", "c");
    }

    /** Makes every further log file of a member one on a full disk. */
    private void fillDisk(String name) throws IOException {
        Path current;
        try (Stream<Path> paths = Files.walk(directory.resolve(name))) {
            current = paths.filter(each -> each.endsWith("current")).findFirst().orElseThrow();
        }
        for (int i = 1; i < 64; i++) {
            Path next = current.resolve("log_inprogress_" + i);
            if (!Files.exists(next)) {
                fullDiskLinks.add(Files.createSymbolicLink(next, Path.of("/dev/full")));
            }
        }
    }

    /**
     * The disk of a voter is full: entries that it can't store don't count for a majority, it reports that it has
     * withdrawn, and the others go on without it.
     */
    @Test
    void entriesThatAVoterWithAFullDiskCannotStoreAreNotCommitted() throws Exception {
        List<String> voters = List.of("a", "b", "c");
        start("one", voters, "a", "b", "c");
        members.get("a").commit("first");
        awaitAll(List.of("first"), "a", "b", "c");
        String leader = members.get("a").log.status().leader();
        List<String> others = voters.stream().filter(each -> !each.equals(leader)).toList();
        fillDisk(others.get(0));
        List<String> ids = new ArrayList<>(List.of("first"));
        ids.addAll(commitMany(leader, "many-", 40, 50_000));  // 2 MB: two files
        awaitAll(ids, leader, others.get(1));
        await(() -> members.get(others.get(0)).log.status().role().equals("aside"), "it reports that it has withdrawn");
        partitioned.add(others.get(1));
        assertInstanceOf(AppendOutcome.Unknown.class, members.get(leader).append("alone"),
                "of the two connected voters one can't store entries");
        assertTrue(members.get(leader).decisionIds().size() == ids.size() && members.get(others.get(0)).decisionIds()
                .size() <= ids.size(), "the uncommitted decision is not read");
        partitioned.clear();
        ids.add("alone");
        members.get(leader).commit("alone");
        awaitAll(ids, leader, others.get(1));
    }
}
